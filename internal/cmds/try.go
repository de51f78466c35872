package cmds

import (
	"context"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/demo"
)

// tryTimeout bounds the whole demo.
const tryTimeout = time.Minute

// try runs a small site in this process, all questions at once, and prints
// what became of them.
func try(ctx context.Context, c *cli.Command) error {
	ctx, stop := context.WithTimeout(ctx, tryTimeout)
	defer stop()
	folder, err := os.MkdirTemp("", "bamboo-try-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	site := demo.Site{Folder: folder, Log: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: os.Stderr}}}
	sctx, halt := context.WithCancel(ctx)
	ended := make(chan error, 1)
	go func() { ended <- site.Run(sctx) }()
	outs, err := askAll(ctx, &site)
	halt()
	if err := errors.CombineErrors(err, <-ended); err != nil {
		return err
	}
	// All spans have ended by now.
	site.Print(c.Root().Writer, outs)
	return nil
}

// askAll sends all questions at once, to one instance after another.
func askAll(ctx context.Context, site *demo.Site) ([]demo.Outcome, error) {
	for n := range demo.Instances {
		if err := demo.WaitReady(ctx, site.Entry(n)); err != nil {
			return nil, err
		}
	}
	qs := demo.Questions()
	outs := make([]demo.Outcome, len(qs))
	errs := make([]error, len(qs))
	var wg sync.WaitGroup
	for i, q := range qs {
		wg.Go(func() { outs[i], errs[i] = demo.Send(ctx, site.Entry(i%demo.Instances), q) })
	}
	wg.Wait()
	return outs, errors.Join(errs...)
}
