// Package cmds implements the subcommands of the bamboo program.
package cmds

import (
	"context"
	"io"
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// New returns the root command.
func New() *cli.Command {
	return &cli.Command{
		Name:                  "bamboo",
		Usage:                 "serve prompts of very unlike lengths",
		EnableShellCompletion: true,
		HideHelpCommand:       true,
		OnUsageError:          usageError,
		ExitErrHandler:        ignoreExitError,
		CommandNotFound:       nil,
		Action:                rootAction,
		Commands:              commands(),
	}
}

// commands returns the subcommands in the order of the help page.
func commands() []*cli.Command {
	list := []*cli.Command{
		{Name: "serve", Usage: "run one instance", ArgsUsage: "SETTINGS", Action: serve},
		{Name: "node", Usage: "run one process of a site whose entries and control instances are apart", ArgsUsage: "SETTINGS", Action: runNode},
		{Name: "check", Usage: "check files of settings, tables, tokens or credentials", ArgsUsage: "FILE...", Action: check},
		{Name: "explain", Usage: "show what the logs of all processes say of one request", ArgsUsage: "ID FILE...", Action: explain},
		{Name: "status", Usage: "show instances, shards, leases, targets and queues", Flags: clientFlags(jsonFlag()), Action: status},
		{Name: "drain", Usage: "stop an instance, cutting off nothing", ArgsUsage: "[INSTANCE]", Flags: clientFlags(), Action: drain},
		{Name: "token", Usage: "make a token and its line for a token file", ArgsUsage: "NAME", Action: token},
		replicaCommand(),
		loadCommand(),
		{Name: "try", Usage: "run a small site in this process and ask it questions", Action: try},
		fakeCommand(),
		trialCommand(),
		{Name: "help", Usage: "show a page on a topic", ArgsUsage: "[TOPIC]", Action: help, ShellComplete: completeTopics},
	}
	list = slices.Insert(list, 2, append(tablesCommands(), outcomeCommand())...)
	for _, c := range list {
		c.OnUsageError = usageError
		c.HideHelpCommand = true
	}
	return list
}

// errUsage marks errors caused by an invalid command line.
var errUsage = errors.New("invalid arguments")

// usageError marks the errors of the cli library about a command line with errUsage.
func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return errors.Mark(err, errUsage)
}

// ignoreExitError keeps the cli library from exiting the process, which main does.
func ignoreExitError(context.Context, *cli.Command, error) {}

// rootAction runs if the command line names no known subcommand. It prints the main help
// page, or returns an error if there is an argument.
func rootAction(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return errors.Wrapf(errUsage, "no command %q; see \"bamboo help\"", name)
	}
	return printTopic(c.Root().Writer, "bamboo")
}

// requireArgs returns a usage error unless the number of arguments is from lo to hi. The
// error states which arguments the command expects.
func requireArgs(c *cli.Command, lo, hi int, expected string) error {
	if n := c.Args().Len(); n < lo || n > hi {
		return errors.Wrapf(errUsage, "%s takes %s", c.Name, expected)
	}
	return nil
}

// write writes text to an output of the command.
func write(w io.Writer, s string) error {
	_, err := io.WriteString(w, s)
	return errors.Wrap(err, "write output")
}
