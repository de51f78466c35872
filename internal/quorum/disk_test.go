package quorum

import (
	"math/rand/v2"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/store"
)

// TestReplacedLogDoesNotReturn guards against entries that come back after a power loss although a
// snapshot has replaced the whole log: the replica would grant its vote to one that lacks what the
// snapshot holds.
func TestReplacedLogDoesNotReturn(t *testing.T) {
	for seed := range uint64(20) {
		fs := &store.Mem{}
		d, _, err := openDisk(fs, "/data", nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, d.save(Output{Snapshot: &Snapshot{Index: 1, Term: 1}}), quicktest.IsNil)
		var old []Entry
		for i := uint64(2); i < 10; i++ {
			old = append(old, Entry{Index: i, Term: 3, Kind: Noop})
		}
		quicktest.Assert(t, d.save(Output{HardState: &HardState{Term: 3}, Entries: old}), quicktest.IsNil)
		quicktest.Assert(t, d.save(Output{HardState: &HardState{Term: 5}, Snapshot: &Snapshot{Index: 5, Term: 5}}), quicktest.IsNil)
		_, got, err := openDisk(fs.CopyAfterPowerLoss(rand.New(rand.NewPCG(seed, 4))), "/data", nil)
		quicktest.Assert(t, err, quicktest.IsNil)
		quicktest.Assert(t, len(got.Entries), quicktest.Equals, 0, quicktest.Commentf("seed %d: the log ends with %+v", seed, got.Entries))
		quicktest.Assert(t, got.HardState, quicktest.Equals, HardState{Term: 5})
		quicktest.Assert(t, got.Snapshot.Index, quicktest.Equals, uint64(5))
	}
}
