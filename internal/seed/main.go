// Package seed runs the tests of a package with a fixed seed.
package seed

import (
	"flag"
	"os"
	"testing"
)

// Main runs tests, the property tests among them with the same draws each time, so
// that every run has the same verdict. It doesn't return.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
