// Package seed runs the property tests of a package with a fixed seed.
package seed

import (
	"flag"
	"os"
	"testing"
)

// Main runs the tests of a package. It fixes the seed of rapid, so that property tests draw
// the same values and have the same result in every run. It does not return.
func Main(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
