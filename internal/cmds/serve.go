package cmds

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/internal/inst"
	"github.com/bambooproxy/bambooproxy/internal/trace"
)

// serve runs one instance until a signal stops it.
func serve(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 1, 1, "one settings file"); err != nil {
		return err
	}
	s, err := conf.Load(c.Args().First())
	if err != nil {
		return errors.Mark(err, errBadFile)
	}
	tp, err := trace.Open(ctx, trace.Place{To: s.TraceDestination, Ratio: s.TraceRatio, Instance: s.Name, DataCentre: s.DataCentre})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer stop()
	instance := inst.Instance{
		Settings:    s,
		Network:     inst.TCP{},
		Log:         logger(s.LogLevel),
		Trace:       tp,
		Incarnation: uint64(time.Now().UnixNano()),
	}
	err = instance.Run(ctx)
	return errors.CombineErrors(err, tp.Shutdown(context.WithoutCancel(ctx)))
}

func logger(level string) *log.Logger {
	return &log.Logger{Level: log.ParseLevel(level), Writer: &log.IOWriter{Writer: os.Stderr}}
}
