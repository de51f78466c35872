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

// try runs a small site in this process, sends it all requests of the demo concurrently and
// prints the outcomes.
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
	outs, err := sendAll(ctx, &site)
	stopSite()
	if err := errors.CombineErrors(err, <-done); err != nil {
		return err
	}
	// The site has stopped, so all its spans have ended and can be printed.
	site.Print(c.Root().Writer, outs)
	return nil
}

// sendAll waits until all instances are ready and then sends all requests concurrently,
// distributed over the instances in turn.
func sendAll(ctx context.Context, site *demo.Site) ([]demo.Outcome, error) {
	for n := range demo.Instances {
		if err := demo.WaitReady(ctx, site.Entry(n)); err != nil {
			return nil, err
		}
	}
	reqs := demo.Requests()
	outs := make([]demo.Outcome, len(reqs))
	errs := make([]error, len(reqs))
	var wg sync.WaitGroup
	for i, r := range reqs {
		wg.Go(func() { outs[i], errs[i] = demo.Send(ctx, site.Entry(i%demo.Instances), r) })
	}
	wg.Wait()
	return outs, errors.Join(errs...)
}
