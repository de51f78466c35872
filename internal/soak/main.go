// Command soak runs the real programs of a site as processes of their own on loopback
// addresses, breaks them from outside with a seed, and checks what callers, targets and
// operators were promised.
//
// It ends only the processes that it started, by their IDs.
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

// Options are those of one soak.
type Options struct {
	// Program is the path of the program under test.
	Program string
	// Folder holds settings, logs and data of the processes.
	Folder string
	Seed   uint64
	Length time.Duration
	// Net tells soaks on one machine apart.
	Net int
	// Controls, Entries, Targets and Callers are how many there are of each.
	Controls, Entries, Targets, Callers int
	// Bounds says that bounds of time are checked, Planned that there is planned work
	// only.
	Bounds, Planned, Verbose bool
}

// errBroken says that promises were broken.
var errBroken = errors.New("promises were broken")

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
			&cli.StringFlag{Name: "folder", Value: filepath.Join(os.TempDir(), "bamboo-soak"), Destination: &o.Folder, Usage: "for settings, logs and data"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Destination: &o.Seed, Usage: "the first seed; 0 draws one"},
			&cli.IntFlag{Name: "seeds", Value: 1, Destination: &seeds, Usage: "how many seeds in a row"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Destination: &o.Length, Usage: "how long faults are brought about"},
			&cli.IntFlag{Name: "net", Value: 1, Destination: &o.Net, Usage: "second number of the loopback addresses, below 100"},
			&cli.IntFlag{Name: "controls", Value: 3, Destination: &o.Controls, Usage: "control instances"},
			&cli.IntFlag{Name: "entries", Value: 5, Destination: &o.Entries, Usage: "entries"},
			&cli.IntFlag{Name: "targets", Value: 8, Destination: &o.Targets, Usage: "targets, engines and plain services by turns"},
			&cli.IntFlag{Name: "callers", Value: 8, Destination: &o.Callers, Usage: "callers"},
			&cli.BoolFlag{Name: "bounds", Destination: &o.Bounds, Usage: "check bounds of time as well"},
			&cli.BoolFlag{Name: "planned", Destination: &o.Planned, Usage: "planned work only"},
			&cli.BoolFlag{Name: "verbose", Destination: &o.Verbose, Usage: "say each fault"},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return runAll(ctx, o, seeds) },
	}
}

// runAll plays seeds in a row and reports on each.
func runAll(ctx context.Context, o Options, seeds int) error {
	if o.Seed == 0 {
		o.Seed = uint64(time.Now().UnixNano())
	}
	folder, broken := o.Folder, 0
	for range seeds {
		o.Folder = filepath.Join(folder, fmt.Sprintf("%d-%d", o.Net, o.Seed))
		s := &Site{Options: o}
		err := s.Run(ctx)
		if err != nil {
			return errors.Wrapf(err, "seed %d", o.Seed)
		}
		finds := len(s.book.Findings())
		fmt.Printf("seed %d: %d promises broken\n", o.Seed, finds)
		s.book.Report(os.Stdout)
		if finds > 0 {
			broken++
			fmt.Printf("kept: %s\n", o.Folder)
		} else if err := os.RemoveAll(o.Folder); err != nil {
			return errors.Wrap(err, "remove the folder")
		}
		o.Seed++
	}
	if broken > 0 {
		return errors.Wrapf(errBroken, "%d of %d seeds", broken, seeds)
	}
	return nil
}
