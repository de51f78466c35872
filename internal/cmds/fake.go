package cmds

import (
	"context"
	"io"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/auth"
	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/internal/inst"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// fakeCommand returns the command that runs a fake engine or service.
func fakeCommand() *cli.Command {
	return &cli.Command{
		Name:  "fake",
		Usage: "run a stand-in for an engine or a service",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "name", Required: true},
			&cli.StringFlag{Name: "addr", Required: true},
			&cli.StringFlag{Name: "data-centre", Required: true},
			&cli.StringFlag{Name: "pool", Required: true},
			&cli.StringFlag{Name: "kind", Value: string(table.Engine)},
			&cli.IntFlag{Name: "memory", Value: 400_000, Usage: "tokens"},
			&cli.DurationFlag{Name: "prefill", Value: 10 * time.Microsecond, Usage: "time a prompt token"},
			&cli.DurationFlag{Name: "decode", Value: 10 * time.Millisecond, Usage: "time an answer token"},
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "callers' address of an instance"},
			&cli.StringFlag{Name: flagToken, Usage: "`FILE` with the token that announcements carry"},
			&cli.StringFlag{Name: "runs", Usage: "`FILE` that gets the idempotency key of every call that a service runs"},
		},
		Action: runFake,
	}
}

func runFake(ctx context.Context, c *cli.Command) error {
	t := engine.Target{
		Name: c.String("name"), Addr: c.String("addr"), DataCentre: c.String("data-centre"),
		Pool: c.String("pool"), Kind: table.Kind(c.String("kind")), Memory: c.Int("memory"),
		Incarnation: uint64(time.Now().UnixNano()),
	}
	if err := t.Check(); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	ln, err := inst.TCP{}.Listen(t.Addr)
	if err != nil {
		return errors.Wrapf(err, "listen on %s", t.Addr)
	}
	client, err := announceClient(c.String(flagToken))
	if err != nil {
		return err
	}
	announcer := fake.Announcer{Client: client, Entries: c.StringSlice("entry"), Target: t}
	var h http.Handler = &fake.Service{Target: t}
	if t.Kind == table.Engine {
		e := &fake.Engine{Target: t, Costs: fake.Costs{Prefill: c.Duration("prefill"), Decode: c.Duration("decode")}}
		announcer.Report, announcer.Pool, h = e.Report, e.Orders.Pool, e
	}
	if path := c.String("runs"); path != "" && t.Kind == table.Service {
		f, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return errors.Mark(err, errBadFile)
		}
		defer f.Close()
		h = recordRuns(h, f)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		announcer.Run(ctx)
		srv.Close()
	}()
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// announceClient returns an HTTP client that sends the token in the file at path. An empty
// path means no token.
func announceClient(path string) (*http.Client, error) {
	if path == "" {
		return &http.Client{}, nil
	}
	secret, err := auth.ReadSecret(path)
	if err != nil {
		return nil, errors.Mark(err, errBadFile)
	}
	return &http.Client{Transport: &auth.BearerTransport{Token: secret, Base: http.DefaultTransport}}, nil
}

// recordRuns writes the idempotency key of each call to w before the service runs it, so
// that a test can count the runs. A call whose key cannot be written does not run.
func recordRuns(h http.Handler, w io.Writer) http.Handler {
	var mu sync.Mutex
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		mu.Lock()
		err := write(w, r.Header.Get("Idempotency-Key")+"\n")
		mu.Unlock()
		if err != nil {
			http.Error(rw, err.Error(), http.StatusInternalServerError)
			return
		}
		h.ServeHTTP(rw, r)
	})
}
