package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/trail"
)

// errUnknownRequest says that no line names a request.
var errUnknownRequest = errors.New("no line names the request")

// explain prints the log lines of one request in order of time. Files that can't
// be read and torn lines are named, and the rest is read.
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
			fmt.Fprintf(c.Root().ErrWriter, "%s: %d torn lines left out\n", path, n)
		}
	}
	story := l.RequestLines(id)
	if len(story) == 0 {
		return errors.Mark(errors.Wrapf(errUnknownRequest, "%s in %d lines", id, len(l.Lines)), errBadFile)
	}
	for _, x := range story {
		if err := write(c.Root().Writer, x.String()+"\n"); err != nil {
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
