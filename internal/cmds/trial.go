package cmds

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/trial"
)

func trialCommand() *cli.Command {
	return &cli.Command{
		Name:  "trial",
		Usage: "compare scheduling policies on small fake engines in virtual time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "folder", Usage: "where the table, figures and plots go", Value: "trials"},
			&cli.StringSliceFlag{Name: "scenario", Usage: "run only these scenarios"},
			&cli.StringSliceFlag{Name: "policy", Usage: "run only these policies"},
			&cli.StringSliceFlag{Name: "workload", Usage: "run only these workloads"},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the traces", Value: 1},
			&cli.DurationFlag{Name: "length", Usage: "virtual time in which requests arrive", Value: 10 * time.Minute},
			&cli.IntFlag{Name: "parallel", Usage: "runs at a time", Value: 3},
		},
		Action: runTrials,
	}
}

func runTrials(_ context.Context, c *cli.Command) error {
	p := trial.Plan{
		Workloads:  filterByName(c.StringSlice("workload"), trial.Workloads(), func(w trial.Workload) string { return w.Name }),
		Scenarios:  filterByName(c.StringSlice("scenario"), trial.Scenarios(), func(s trial.Scenario) string { return s.Name }),
		Contenders: filterByName(c.StringSlice("policy"), trial.Contenders(), func(x trial.Contender) string { return x.Name }),
		Seed:       c.Uint64("seed"),
		Length:     c.Duration("length"),
		Parallel:   c.Int("parallel"),
	}
	if len(p.Workloads) == 0 || len(p.Scenarios) == 0 || len(p.Contenders) == 0 {
		return errors.Wrap(errUsage, "--workload, --scenario or --policy matches nothing")
	}
	trials := p.Run()
	if err := trial.Print(c.Root().Writer, trials); err != nil {
		return err
	}
	fmt.Fprintf(c.Root().Writer, "\nwritten to %s\n", c.String("folder"))
	return trial.Write(c.String("folder"), trials)
}

// filterByName returns the items whose name is in names, or all if names is empty.
func filterByName[T any](names []string, all []T, name func(T) string) []T {
	if len(names) == 0 {
		return all
	}
	return slices.DeleteFunc(all, func(x T) bool { return !slices.Contains(names, name(x)) })
}
