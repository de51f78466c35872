// Command rig runs the scripted cases of the review: it starts a small deployment of the project's own
// programs on loopback addresses, with stand-ins for runners, clients and the operator, and checks one rule.
//
//	rig case NAME   plays a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run
//	rig runner ...  is one runner, started by a case
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// maxTime bounds a case.
const maxTime = 110 * time.Second

// errNotRun marks a case that could not run.
var errNotRun = errors.New("the case could not run")

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: rig case NAME | rig runner FLAGS")
		os.Exit(2)
	}
	if os.Args[1] == "runner" {
		if err := runRunner(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, "runner:", err)
			os.Exit(2)
		}
		return
	}
	os.Exit(runCase(os.Args[2], os.Args[3:]))
}

// runCase plays a case and returns the exit code.
func runCase(name string, args []string) int {
	flags := flag.NewFlagSet("case", flag.ExitOnError)
	program := flags.String("program", "target/bamboo", "the program of the deploy file")
	record := flags.String("record", "record.txt", "what was sent, answered and run")
	_ = flags.Parse(args)
	cases := map[string]func(context.Context, *deployment, bool) error{
		"late-heartbeat":   lateHeartbeat,
		"resume-elsewhere": resumeElsewhere,
		"stale-withdrawal": staleWithdrawal,
		"spot-unframed":    spotUnframed,
		"crash-unframed":   crashUnframed,
		"busy-unframed":    busyUnframed,
		"full-unframed":    fullUnframed,
	}
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer os.RemoveAll(dir)
	rec, err := newRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer rec.close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxTime)
	defer cancel()
	d := &deployment{program: *program, dir: dir, rec: rec}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("case %s, disruption %v", name, trouble)
	err = play(ctx, d, trouble)
	// Nothing that was started outlives this process, even if its output is closed.
	d.stop()
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("%w: %w", errNotRun, ctx.Err())
	}
	switch {
	case err != nil:
		rec.line("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	case rec.violations() > 0:
		rec.line("RESULT broken, %d times", rec.violations())
		fmt.Println("rule broken,", rec.violations(), "times; first:", rec.first)
		return 1
	default:
		rec.line("RESULT held")
		fmt.Println("rule held")
		return 0
	}
}
