package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/tailscale/hujson"
	"github.com/urfave/cli/v3"

	"github.com/bambooproxy/bambooproxy/internal/auth"
	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// maxCheckedFiles bounds the number of files that one run of check accepts.
const maxCheckedFiles = 1000

// fileKind is a kind of file that operators write.
type fileKind struct {
	name string
	// uniqueKeys are JSON pointers to keys that only files of this kind have.
	uniqueKeys []string
	check      func(b []byte) error
}

// fileKinds returns the kinds in the order in which kindOf tries them. The last one is the
// default.
func fileKinds() []fileKind {
	return []fileKind{
		{"tables", []string{"/routes", "/pools"}, func(b []byte) error { _, err := table.Decode(b); return err }},
		{"tokens", []string{"/tokens"}, func(b []byte) error { _, err := auth.DecodeTokens(b); return err }},
		{"credentials", []string{"/credentials"}, func(b []byte) error { _, err := auth.DecodeCredentials(b); return err }},
		{"settings of a process", []string{"/repeats", "/losses", "/grace", "/directory"}, func(b []byte) error {
			_, err := conf.DecodeProcess(b)
			return err
		}},
		{"settings", nil, func(b []byte) error { _, err := conf.Decode(b); return err }},
	}
}

// check validates each file. It prints the kind of each valid file and returns the first
// error of every invalid one.
func check(_ context.Context, c *cli.Command) error {
	if err := requireArgs(c, 1, maxCheckedFiles, "files"); err != nil {
		return err
	}
	var errs error
	for _, path := range c.Args().Slice() {
		name, err := checkFile(path)
		if err != nil {
			errs = errors.Join(errs, err)
			continue
		}
		if err := write(c.Root().Writer, fmt.Sprintf("%s: %s, no fault\n", path, name)); err != nil {
			return err
		}
	}
	if errs != nil {
		return errors.Mark(errs, errBadFile)
	}
	return nil
}

// checkFile validates a file and returns its kind.
func checkFile(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "read file to check")
	}
	k := kindOf(b)
	if err := k.check(b); err != nil {
		return "", errors.Wrapf(err, "%s: %s", path, k.name)
	}
	return k.name, nil
}

// kindOf detects the kind of a file by its keys. A file that has no key unique to a kind,
// or that cannot be parsed, counts as settings.
func kindOf(b []byte) fileKind {
	kinds := fileKinds()
	if table.CheckNesting(b) != nil {
		return kinds[len(kinds)-1]
	}
	root, err := hujson.Parse(b)
	if err != nil {
		return kinds[len(kinds)-1]
	}
	for _, k := range kinds {
		for _, key := range k.uniqueKeys {
			if root.Find(key) != nil {
				return k
			}
		}
	}
	return kinds[len(kinds)-1]
}
