package cmds

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/admin"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// The flags of apply.
const (
	flagBase     = "base"
	flagID       = "id"
	flagOperator = "operator"
)

// tablesCommands change and show the tables at any instance.
func tablesCommands() []*cli.Command {
	return []*cli.Command{
		{
			Name: "apply", Usage: "change the tables", ArgsUsage: "FILE", Action: apply,
			Flags: clientFlags(
				jsonFlag(),
				&cli.Uint64Flag{Name: flagBase, Usage: "`REVISION` that the change is based on; default: the file's first line"},
				&cli.StringFlag{Name: flagID, Usage: "`ID` of the change; send a change again with the same"},
				&cli.StringFlag{Name: flagOperator, Usage: "`NAME` of who makes the change", Sources: cli.EnvVars("USER")},
			),
		},
		{Name: "get", Usage: "print the tables in force", Action: get, Flags: clientFlags(jsonFlag())},
		{
			Name: "diff", Usage: "compare a file with the tables in force", ArgsUsage: "FILE",
			Action: diff, Flags: clientFlags(jsonFlag()),
		},
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	t, base, err := readTables(c)
	if err != nil {
		return err
	}
	if c.IsSet(flagBase) {
		n := c.Uint64(flagBase)
		base = &n
	}
	if base == nil {
		return errors.Wrap(errUsage, "neither --base nor a first line // revision N says what the change is based on")
	}
	id := c.String(flagID)
	if id == "" {
		id = uuid.NewString()
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	var out admin.ChangeResult
	in := admin.Change{ID: id, Operator: c.String(flagOperator), Base: base, Tables: *t}
	if err := cl.callIdempotent(ctx, http.MethodPut, admin.PathTables, &in, &out); err != nil {
		return withResendHint(err, id)
	}
	if c.Bool(flagJSON) {
		return writeJSON(c, &out)
	}
	return write(c.Root().Writer, fmt.Sprintf("revision %d is in force, change %s\n", out.Revision, out.ID))
}

// withResendHint adds to an error that leaves a change in doubt how to go on.
func withResendHint(err error, id string) error {
	var e *verd.Error
	if errors.As(err, &e) && e.Verdict != verd.NotRun {
		return errors.Mark(err, errNoAnswer)
	}
	if !errors.Is(err, errNoAnswer) || isDialError(err) {
		return err
	}
	return errors.Wrapf(err, "the change may be accepted, send it again with --id %s", id)
}

// isDialError says that an address was not even reached.
func isDialError(err error) bool {
	var oe *net.OpError
	return errors.As(err, &oe) && oe.Op == "dial"
}

// callIdempotent makes a call that may run more than once at each address until one
// answers. An error that leaves the call in doubt goes before one that does not.
func (cl *client) callIdempotent(ctx context.Context, method, path string, in, out any) error {
	var last, doubt error
	for _, a := range cl.addrs {
		last = cl.callAddr(ctx, a, method, path, in, out)
		var e *verd.Error
		refused := errors.As(last, &e) && e.Verdict == verd.NotRun
		if last == nil || refused && e.Reason != verd.Unavailable {
			return last
		}
		if !refused && !isDialError(last) {
			doubt = last
		}
	}
	return cmp.Or(doubt, last)
}

func get(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 0, 0, "no arguments"); err != nil {
		return err
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	var cur admin.CurrentTables
	if err := cl.call(ctx, http.MethodGet, admin.PathTables, nil, &cur); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return writeJSON(c, &cur)
	}
	b, err := table.Encode(&cur.Tables)
	if err != nil {
		return err
	}
	return write(c.Root().Writer, fmt.Sprintf("// revision %d\n%s", cur.Revision, b))
}

func diff(ctx context.Context, c *cli.Command) error {
	t, _, err := readTables(c)
	if err != nil {
		return err
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	var d admin.DiffResult
	if err := cl.call(ctx, http.MethodPost, admin.PathDiff, t, &d); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return writeJSON(c, &d)
	}
	page := fmt.Sprintf("compared with revision %d: %d rows differ\n", d.Revision, len(d.Changes))
	for _, line := range d.Changes {
		page += line + "\n"
	}
	return write(c.Root().Writer, page)
}

// readTables reads the one file that a command takes, and the revision in
// its first line, which get writes.
func readTables(c *cli.Command) (*table.Tables, *uint64, error) {
	if err := requireArgs(c, 1, 1, "one file of tables"); err != nil {
		return nil, nil, err
	}
	path := c.Args().First()
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Mark(err, errBadFile)
	}
	t, err := table.Decode(b)
	if err != nil {
		return nil, nil, errors.Wrap(err, path)
	}
	return t, revisionOf(b), nil
}

// revisionOf returns the revision that the first line names, or nil.
func revisionOf(b []byte) *uint64 {
	m := regexp.MustCompile(`^// revision (\d+)\r?\n`).FindSubmatch(b)
	if m == nil {
		return nil
	}
	n, err := strconv.ParseUint(string(m[1]), 10, 64)
	if err != nil {
		return nil
	}
	return &n
}

func writeJSON(c *cli.Command, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return write(c.Root().Writer, string(b)+"\n")
}
