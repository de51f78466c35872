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

// maxCheckedFiles bounds the files of one check.
const maxCheckedFiles = 1000

// fileKind is a kind of file that operators write.
type fileKind struct {
	name string
	// uniqueKeys are keys that only files of this kind have.
	uniqueKeys []string
	check      func(b []byte) error
}

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

// check tells what each file is and the first fault in it.
func check(_ context.Context, c *cli.Command) error {
	if err := requireArgs(c, 1, maxCheckedFiles, "files"); err != nil {
		return err
	}
	var faults error
	for _, path := range c.Args().Slice() {
		name, err := checkFile(path)
		if err != nil {
			faults = errors.Join(faults, err)
			continue
		}
		if err := write(c.Root().Writer, fmt.Sprintf("%s: %s, no fault\n", path, name)); err != nil {
			return err
		}
	}
	if faults != nil {
		return errors.Mark(faults, errBadFile)
	}
	return nil
}

// checkFile returns the kind of a file.
func checkFile(path string) (string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return "", errors.Wrap(err, "check")
	}
	k := kindOf(b)
	if err := k.check(b); err != nil {
		return "", errors.Wrapf(err, "%s: %s", path, k.name)
	}
	return k.name, nil
}

// kindOf tells the kinds apart by their keys; what has none of the marks is
// settings.
func kindOf(b []byte) fileKind {
	kinds := fileKinds()
	root, err := hujson.Parse(b)
	if err != nil {
		return kinds[len(kinds)-1]
	}
	for _, k := range kinds {
		for _, m := range k.uniqueKeys {
			if root.Find(m) != nil {
				return k
			}
		}
	}
	return kinds[len(kinds)-1]
}
