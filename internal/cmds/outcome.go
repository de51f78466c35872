package cmds

import (
	"context"
	"fmt"
	"net/http"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/admin"
)

// flagOrganisation is the flag for the organisation that made the call.
const flagOrganisation = "organisation"

// outcomeCommand returns the command that shows the outcome of a call that runs at most
// once.
func outcomeCommand() *cli.Command {
	return &cli.Command{
		Name: "outcome", Usage: "show what became of a call that runs at most once", ArgsUsage: "KEY", Action: outcome,
		Flags: clientFlags(jsonFlag(), &cli.StringFlag{
			Name: flagOrganisation, Required: true, Usage: "`ORGANISATION` that made the call",
		}),
	}
}

func outcome(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 1, 1, "one idempotency key"); err != nil {
		return err
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	q := url.Values{"organisation": {c.String(flagOrganisation)}, "key": {c.Args().First()}}
	var o admin.Outcome
	if err := cl.call(ctx, http.MethodGet, admin.PathOutcome+"?"+q.Encode(), nil, &o); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return writeJSON(c, &o)
	}
	line := fmt.Sprintf("%s: %s", o.State, o.Verdict)
	if o.Entry != "" {
		line += ", through " + o.Entry
	}
	if o.Status != 0 {
		line += fmt.Sprintf(", the target answered %d", o.Status)
	}
	return write(c.Root().Writer, line+"\n")
}
