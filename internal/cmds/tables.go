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

// Flags of the apply command.
const (
	flagBase     = "base"
	flagID       = "id"
	flagOperator = "operator"
)

// tablesCommands returns the commands that change, print and compare the tables.
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
		tablesCommand(),
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
		return errors.Wrap(errUsage, "base revision missing: set --base or start the file with the line \"// revision N\"")
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

// withResendHint handles an error after which a change may nevertheless have been accepted.
// It marks the error with errNoAnswer and ensures that the message names the id for sending
// the change again. Other errors are returned unchanged.
func withResendHint(err error, id string) error {
	var e *verd.Error
	if errors.As(err, &e) && e.Verdict != verd.NotRun {
		return errors.Mark(err, errNoAnswer)
	}
	if !errors.Is(err, errNoAnswer) || isDialError(err) {
		return err
	}
	return errors.Wrapf(err, "the change may have been accepted, send it again with --id %s", id)
}

// isDialError reports whether the connection could not be opened, so that nothing was sent.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// callIdempotent makes a call that may safely run more than once. It tries each address
// until one answers with something other than unavailable. If all attempts fail, an error
// with an uncertain outcome takes precedence over one that proves that the call did not run.
func (cl *client) callIdempotent(ctx context.Context, method, path string, in, out any) error {
	var last, uncertain error
	for _, addr := range cl.addrs {
		last = cl.callAddr(ctx, addr, method, path, in, out)
		var e *verd.Error
		notRun := errors.As(last, &e) && e.Verdict == verd.NotRun
		if last == nil || notRun && e.Reason != verd.Unavailable {
			return last
		}
		if !notRun && !isDialError(last) {
			uncertain = last
		}
	}
	return cmp.Or(uncertain, last)
}

func get(ctx context.Context, c *cli.Command) error {
	if err := requireArgs(c, 0, 0, "no arguments"); err != nil {
		return err
	}
	cl, err := newClient(c)
	if err != nil {
		return err
	}
	var current admin.CurrentTables
	if err := cl.call(ctx, http.MethodGet, admin.PathTables, nil, &current); err != nil {
		return err
	}
	if c.Bool(flagJSON) {
		return writeJSON(c, &current)
	}
	b, err := table.Encode(&current.Tables)
	if err != nil {
		return err
	}
	return write(c.Root().Writer, fmt.Sprintf("// revision %d\n%s", current.Revision, b))
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
	text := fmt.Sprintf("compared with revision %d: %d rows differ\n", d.Revision, len(d.Changes))
	for _, line := range d.Changes {
		text += line + "\n"
	}
	return write(c.Root().Writer, text)
}

// readTables decodes the tables file that is the only argument of a command. It also
// returns the revision in the first line, which the get command writes, or nil.
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

// revisionOf returns the revision in the first line of a tables file, or nil.
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

// writeJSON writes v to standard output as indented JSON.
func writeJSON(c *cli.Command, v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode JSON output")
	}
	return write(c.Root().Writer, string(b)+"\n")
}
