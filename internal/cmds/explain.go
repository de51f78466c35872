package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/trail"
)

// errUnknownRequest is returned if no log line belongs to the request.
var errUnknownRequest = errors.New("no log line of the request found")

// explain prints the log lines of one request in order of time. It reports files that
// cannot be read and the number of malformed lines, and continues with the rest.
func explain(_ context.Context, c *cli.Command) error {
	if c.Args().Len() < 2 {
		return errors.Wrapf(errUsage, "%s takes the ID of a request and files", c.Name)
	}
	id, files := c.Args().First(), c.Args().Tail()
	var l trail.Log
	for _, path := range files {
		if err := readLog(&l, path); err != nil {
			fmt.Fprintln(c.Root().ErrWriter, err)
		}
	}
	for _, path := range files {
		if n := l.Malformed[path]; n > 0 {
			fmt.Fprintf(c.Root().ErrWriter, "%s: skipped %d malformed lines\n", path, n)
		}
	}
	lines := l.RequestLines(id)
	if len(lines) == 0 {
		return errors.Mark(errors.Wrapf(errUnknownRequest, "request %s, %d lines searched", id, len(l.Lines)), errBadFile)
	}
	for _, line := range lines {
		if err := write(c.Root().Writer, line.String()+"\n"); err != nil {
			return err
		}
	}
	return nil
}

func readLog(l *trail.Log, path string) error {
	f, err := os.Open(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return l.Read(path, f)
}
