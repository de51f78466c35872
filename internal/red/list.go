// Package red handles known failures: checks listed in KNOWN-RED.txt at the root of the
// repository may fail without failing their test. All others must pass.
package red

import (
	"bufio"
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// listFile is the name of the file that lists known failures.
const listFile = "KNOWN-RED.txt"

// Check fails the test if ok is false, unless the check is a listed known failure, which is
// only logged. An entry of the list starts with the name of the test, a colon and the name
// of the check.
func Check(t testing.TB, name string, ok bool, format string, args ...any) {
	t.Helper()
	switch known := isListed(t, t.Name()+":"+name); {
	case ok:
	case known:
		t.Logf("known red %s: "+format, append([]any{name}, args...)...)
	default:
		t.Errorf("%s: "+format, append([]any{name}, args...)...)
	}
}

// isListed reports whether the list has an entry for the check.
func isListed(t testing.TB, check string) bool {
	t.Helper()
	path, err := findList()
	if err != nil {
		t.Fatal(err)
	}
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for lines := bufio.NewScanner(f); lines.Scan(); {
		entry, _, _ := strings.Cut(lines.Text(), " ")
		if entry == check {
			return true
		}
	}
	return false
}

// findList returns the path of the list in the working directory or the closest directory
// above it that has one.
func findList() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for {
		path := filepath.Join(dir, listFile)
		if _, err := os.Stat(path); err == nil {
			return path, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no " + listFile + " in the working directory or above it")
		}
		dir = parent
	}
}
