package cmds

import (
	"context"
	"fmt"
	"net/http"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/admin"
	"github.com/bambooproxy/bambooproxy/internal/quorum"
)

// replicaCommand returns the commands that list and change the replicas of the control
// state.
func replicaCommand() *cli.Command {
	return &cli.Command{
		Name:  "replica",
		Usage: "list and change the replicas of the control state",
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the replicas", Flags: clientFlags(), Action: listReplicas},
			{Name: "add", Usage: "add the replica at a peer address", ArgsUsage: "ADDRESS", Flags: clientFlags(), Action: addReplica},
			{Name: "remove", Usage: "remove the replica at a peer address", ArgsUsage: "ADDRESS", Flags: clientFlags(), Action: removeReplica},
			{Name: "replace", Usage: "put a new replica in the place of an old one", ArgsUsage: "OLD NEW", Flags: clientFlags(), Action: replaceReplica},
		},
	}
}

func listReplicas(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 0, 0, "no arguments"); err != nil {
		return err
	}
	return callReplicas(ctx, c, http.MethodGet, nil)
}

func addReplica(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 1, 1, "one address"); err != nil {
		return err
	}
	return callReplicas(ctx, c, http.MethodPost, &quorum.ChangeRequest{Add: c.Args().First()})
}

func removeReplica(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 1, 1, "one address"); err != nil {
		return err
	}
	return callReplicas(ctx, c, http.MethodPost, &quorum.ChangeRequest{Remove: c.Args().First()})
}

func replaceReplica(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 2, 2, "the old address and the new one"); err != nil {
		return err
	}
	return callReplicas(ctx, c, http.MethodPost, &quorum.ChangeRequest{Remove: c.Args().Get(0), Add: c.Args().Get(1)})
}

// callReplicas calls the replicas API, with the order if it is not nil, and prints the list
// of replicas in the response.
func callReplicas(ctx context.Context, c *cli.Command, method string, o *quorum.ChangeRequest) error {
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	var in any
	if o != nil {
		in = o
	}
	var r quorum.Report
	if err := cl.call(ctx, method, admin.PathReplicas, in, &r); err != nil {
		return err
	}
	return write(c.Root().Writer, formatReplicas(r))
}

// formatReplicas returns the term, the commit index and one line per replica.
func formatReplicas(r quorum.Report) string {
	var out strings.Builder
	fmt.Fprintf(&out, "term %d, %d entries committed\n", r.Term, r.Commit)
	for _, m := range r.Replicas {
		role := "learner"
		if m.Voter {
			role = "voter"
		}
		if m.Addr == r.Leader {
			role = "leader"
		}
		fmt.Fprintf(&out, "%016x  %-21s  %s\n", uint64(m.ID), m.Addr, role)
	}
	return out.String()
}
