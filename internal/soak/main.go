// Command soak runs a site as separate processes on loopback addresses, injects faults
// that are drawn from a seed, and checks the promises that the platform makes to callers,
// targets and operators.
//
// It ends only the processes that it started, by their process IDs.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Options configures one soak.
type Options struct {
	// Program is the path of the program under test.
	Program string
	// Other is the path of another build of it. If it is set, all processes are replaced by it one after
	// the other, and then back, while faults are injected.
	Other string
	// Dir holds the settings, logs and data of the processes.
	Dir    string
	Seed   uint64
	Length time.Duration
	// Net is the second octet of the loopback addresses. Soaks that run at the same time on
	// one machine need different ones.
	Net int
	// Controls, Entries, Targets and Callers are the numbers of control instances, entry
	// instances, targets and callers.
	Controls, Entries, Targets, Callers int
	// CheckTimeBounds enables the checks of time bounds, PlannedOnly injects planned work
	// only, Verbose logs every fault.
	CheckTimeBounds, PlannedOnly, Verbose bool
}

// errPromisesBroken is returned if a seed had violations.
var errPromisesBroken = errors.New("promises were broken")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	var o Options
	var seeds int
	return &cli.Command{
		Name:  "soak",
		Usage: "break a site of real processes, and check what it promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Value: "bin/bamboo", Destination: &o.Program, Usage: "path of the program"},
			&cli.StringFlag{Name: "other", Destination: &o.Other, Usage: "path of another build, which takes the place of the program for a while"},
			&cli.StringFlag{Name: "folder", Value: filepath.Join(os.TempDir(), "bamboo-soak"), Destination: &o.Dir, Usage: "for settings, logs and data"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &o.Seed, Usage: "the first seed; 0 draws one"},
			&cli.IntFlag{Name: "seeds", Value: 1, Destination: &seeds, Usage: "how many seeds in a row"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Destination: &o.Length, Usage: "how long faults are brought about"},
			&cli.IntFlag{Name: "net", Value: 1, Destination: &o.Net, Usage: "second number of the loopback addresses, below 100"},
			&cli.IntFlag{Name: "controls", Value: 3, Destination: &o.Controls, Usage: "control instances"},
			&cli.IntFlag{Name: "entries", Value: 5, Destination: &o.Entries, Usage: "entries"},
			&cli.IntFlag{Name: "targets", Value: 8, Destination: &o.Targets, Usage: "targets, engines and plain services by turns"},
			&cli.IntFlag{Name: "callers", Value: 8, Destination: &o.Callers, Usage: "callers"},
			&cli.BoolFlag{Name: "bounds", Destination: &o.CheckTimeBounds, Usage: "check bounds of time as well"},
			&cli.BoolFlag{Name: "planned", Destination: &o.PlannedOnly, Usage: "planned work only"},
			&cli.BoolFlag{Name: "verbose", Destination: &o.Verbose, Usage: "say each fault"},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return runAll(ctx, o, seeds) },
	}
}

// runAll runs one soak for each of several consecutive seeds and prints a report on each.
func runAll(ctx context.Context, o Options, seeds int) error {
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	baseDir, brokenSeeds := o.Dir, 0
	for range seeds {
		o.Dir = filepath.Join(baseDir, fmt.Sprintf("%d-%d", o.Net, o.Seed))
		s := &Site{Options: o}
		err := s.Run(ctx)
		if err != nil {
			return errors.Wrapf(err, "seed %d", o.Seed)
		}
		violations := len(s.recorder.Violations())
		fmt.Printf("seed %d: %d promises broken\n", o.Seed, violations)
		s.recorder.WriteReport(os.Stdout)
		if violations > 0 {
			brokenSeeds++
			fmt.Printf("kept: %s\n", o.Dir)
		} else if err := os.RemoveAll(o.Dir); err != nil {
			return errors.Wrapf(err, "remove directory %s", o.Dir)
		}
		o.Seed++
	}
	if brokenSeeds > 0 {
		return errors.Wrapf(errPromisesBroken, "%d of %d seeds", brokenSeeds, seeds)
	}
	return nil
}
