package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/auth"
	"github.com/bambooproxy/bambooproxy/internal/load"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests at a fixed rate to loopback addresses",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "entry", Required: true, Usage: "callers' `ADDRESS` of an instance"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "requests a second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second},
			&cli.StringFlag{Name: "mix", Value: "1000:80,20000:15,200000:5", Usage: "prompt lengths in tokens and their weights"},
			&cli.IntFlag{Name: "output", Value: 16, Usage: "answer length in tokens"},
			&cli.StringFlag{Name: "model", Value: "starter-advice"},
			&cli.FloatFlag{Name: "once", Usage: "share of calls to --once-path, 0 to 1"},
			&cli.StringFlag{Name: "once-path", Value: "/orders/renew"},
			&cli.DurationFlag{Name: "limit", Value: 30 * time.Second, Usage: "time limit of a request"},
			&cli.StringFlag{Name: "organisation", Value: "load"},
			&cli.StringFlag{Name: flagToken, Usage: "`FILE` with the caller's token"},
			&cli.IntFlag{Name: "at-once", Value: 512, Usage: "bound of requests in progress"},
			&cli.Uint64Flag{Name: "seed", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "`FILE` for the report as JSON"},
			&cli.StringFlag{Name: "svg", Usage: "`FILE` for the report as a chart"},
			&cli.StringFlag{Name: "keys", Usage: "`FILE` for the key and outcome of each call"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 0, 0, "no arguments"); err != nil {
		return err
	}
	p, err := parsePlan(c)
	if err != nil {
		return err
	}
	r := load.Run{Plan: *p}
	if path := c.String("keys"); path != "" {
		f, err := os.Create(path)
		if err != nil {
			return errors.Mark(err, errBadFile)
		}
		defer f.Close()
		r.Call = func(key string, o load.Outcome) { _ = write(f, fmt.Sprintf("%s %s\n", key, o)) }
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	rep, err := r.Do(ctx)
	if err != nil {
		return err
	}
	return writeReport(c, rep)
}

// parsePlan builds the plan from the flags. It returns a usage error for an invalid flag.
func parsePlan(c *cli.Command) (*load.Plan, error) {
	mix, err := load.ParseMix(c.String("mix"))
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "--mix"), errUsage)
	}
	p := &load.Plan{
		Entries: c.StringSlice("entry"), Rate: c.Float("rate"), Duration: c.Duration("duration"), Mix: mix,
		Output: c.Int("output"), Model: c.String("model"), Once: c.Float("once"), OncePath: c.String("once-path"),
		Limit: c.Duration("limit"), Organisation: c.String("organisation"), AtOnce: c.Int("at-once"), Seed: c.Uint64("seed"),
	}
	if path := c.String(flagToken); path != "" {
		if p.Token, err = auth.ReadSecret(path); err != nil {
			return nil, errors.Mark(err, errBadFile)
		}
	}
	if err := p.Check(); err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return p, nil
}

// writeReport writes the report to standard output and, if requested by flags, to a JSON file
// and an SVG chart.
func writeReport(c *cli.Command, rep *load.Report) error {
	if err := write(c.Root().Writer, rep.Text()+formatDetails(rep)); err != nil {
		return err
	}
	if path := c.String("json"); path != "" {
		b, err := json.MarshalIndent(rep, "", "  ")
		if err != nil {
			return errors.Wrap(err, "encode report")
		}
		if err := writeFile(path, string(b)+"\n"); err != nil {
			return err
		}
	}
	if path := c.String("svg"); path != "" {
		return writeFile(path, rep.SVG())
	}
	return nil
}

func writeFile(path, s string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Mark(err, errBadFile)
	}
	_, err = io.WriteString(f, s)
	return errors.CombineErrors(err, f.Close())
}

// formatDetails returns one line for each error detail of each length class.
func formatDetails(rep *load.Report) string {
	var b strings.Builder
	for _, c := range rep.Classes {
		for detail, n := range c.Details {
			fmt.Fprintf(&b, "%d of %d tokens: %s\n", n, c.Tokens, detail)
		}
	}
	return b.String()
}
