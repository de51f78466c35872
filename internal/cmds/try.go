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

// tryTimeout bounds the whole run of the try command.
const tryTimeout = time.Minute

// try runs a small site in this process, sends it all questions at the same time and prints
// the outcomes.
func try(ctx context.Context, c *cli.Command) error {
	ctx, stop := context.WithTimeout(ctx, tryTimeout)
	defer stop()
	folder, err := os.MkdirTemp("", "bamboo-try-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	site := demo.Site{Folder: folder, Log: &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: os.Stderr}}}
	siteCtx, stopSite := context.WithCancel(ctx)
	done := make(chan error, 1)
	go func() { done <- site.Run(siteCtx) }()
	outs, err := askAll(ctx, &site)
	stopSite()
	if err := errors.CombineErrors(err, <-done); err != nil {
		return err
	}
	// The site has stopped, so all its spans have ended and can be printed.
	site.Print(c.Root().Writer, outs)
	return nil
}

// askAll waits until all instances are ready and then sends all questions concurrently,
// distributed over the instances in turn.
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
