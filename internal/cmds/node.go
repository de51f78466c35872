package cmds

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/guard"
	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/hub"
	"github.com/bambooproxy/bambooproxy/internal/node"
	"github.com/bambooproxy/bambooproxy/internal/timing"
	"github.com/bambooproxy/bambooproxy/platform"
)

const (
	// maxLoadAttempts bounds the reads of an invalid settings file, which may still be
	// being written. loadRetryDelay is the delay between two reads.
	maxLoadAttempts = 5
	loadRetryDelay  = 50 * time.Millisecond
)

// loadProcess reads the settings of a process and retries if they are invalid.
func loadProcess(ctx context.Context, path string) (conf.Process, error) {
	s, err := conf.LoadProcess(path)
	for attempt := 1; err != nil && attempt < maxLoadAttempts && timing.Sleep(ctx, loadRetryDelay); attempt++ {
		s, err = conf.LoadProcess(path)
	}
	return s, err
}

// runNode runs one process of a site whose entries and control instances are separate
// processes.
func runNode(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 1, 1, "one settings file"); err != nil {
		return err
	}
	// The process polls its settings file for changes, so SIGHUP is not needed to reload it
	// and must not end the process.
	signal.Ignore(syscall.SIGHUP)
	path := c.Args().First()
	s, err := loadProcess(ctx, path)
	if err != nil {
		return errors.Mark(err, errBadFile)
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	out := newLogWriter(os.Stdout)
	nodeLog := &log.Logger{Level: log.ParseLevel(s.Log), Writer: out, Context: log.NewContext(nil).Str("instance", s.Name).Value()}
	p := &node.Process{
		Settings: s, Path: path, HeaderCodec: platform.HeaderCodec{}, Log: nodeLog,
		Handlers: node.Handlers{
			Control:    func(h *hub.Server, b *guard.Bodies) http.Handler { return platform.ControlHandler(h, b) },
			Directory:  platform.DirectoryHandler,
			Ready:      platform.ReadyHandler,
			LoadSource: func(c *hop.Client) hub.LoadReader { return platform.LoadClient{Client: c} },
		},
	}
	return errors.CombineErrors(p.Run(ctx), out.Close())
}
