// Command slope measures on one machine how the cost of each role grows with the size of
// the installation, and extrapolates it to the largest size in the design.
//
// It runs the real components on loopback addresses with simulated engines, and ends within
// runTimeout.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// runTimeout bounds the whole run.
	runTimeout = 5 * time.Minute
	// memoryDivisor sets the soft memory limit: the memory of the machine divided by it.
	memoryDivisor = 4
)

// measurement is one measurement and the name that selects it in the flag -only.
type measurement struct {
	name string
	run  func(ctx context.Context, r *report) error
}

// measurements returns all measurements in the order in which they run.
func measurements() []measurement {
	return []measurement{
		{"table", measureTables},
		{"view", measureViews},
		{"sched", measureSchedulers},
		{"quota", measureQuota},
		{"ledger", measureLedger},
		{"entry", measureEntry},
		{"announce", measureAnnouncements},
		{"control", measureControl},
		{"parted", measurePartition},
	}
}

func main() {
	only := flag.String("only", "", "run one measurement")
	flag.Parse()
	if err := run(*only); err != nil {
		fmt.Fprintln(os.Stderr, "slope:", err)
		os.Exit(1)
	}
}

func run(only string) error {
	total, err := totalMemory()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(total / memoryDivisor)
	ctx, stop := context.WithTimeout(context.Background(), runTimeout)
	defer stop()
	r := &report{out: os.Stdout}
	for _, m := range measurements() {
		if only != "" && only != m.name {
			continue
		}
		if err := m.run(ctx, r); err != nil {
			return errors.Wrap(err, m.name)
		}
	}
	return nil
}

// totalMemory returns the physical memory of the machine in bytes.
func totalMemory() (int64, error) {
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0, errors.Wrap(err, "read the memory size of the machine")
	}
	var kib int64
	if _, err := fmt.Sscanf(string(b), "MemTotal: %d kB", &kib); err != nil {
		return 0, errors.Wrap(err, "parse MemTotal of /proc/meminfo")
	}
	return kib << 10, nil
}
