package link

import (
	"fmt"
	"math"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// TestSpreadEntries guards against answers that send another part of the callers away than was decided,
// that load some instances of the other data centre more than others, that hold more than 64 addresses, and
// that name the same few in each answer.
func TestSpreadEntries(t *testing.T) {
	spreads := []Spread{{DataCentre: "a", Parts: []SpreadPart{{"b", 300}, {"c", 100}}}}
	for _, size := range []int{10, 28, 65} {
		var all []Entry
		for i := range 3 * size {
			all = append(all, Entry{Name: fmt.Sprintf("e%03d", i), DataCentre: string("abc"[i%3])})
		}
		weight, centres := make(map[string]float64), make(map[string]float64)
		const answers = 300
		for i := range answers {
			list := SpreadEntries(all, "a", nil, spreads, fmt.Sprint(i))
			quicktest.Assert(t, len(list) <= maxEntries, quicktest.IsTrue)
			for _, e := range list {
				weight[e.Name] += 1 / float64(len(list)*answers)
				centres[e.DataCentre] += 1 / float64(len(list)*answers)
			}
		}
		for dc, want := range map[string]float64{"a": 0.6, "b": 0.3, "c": 0.1} {
			quicktest.Check(t, math.Abs(centres[dc]-want) < 0.03, quicktest.IsTrue, quicktest.Commentf("%d instances: %v", size, centres))
		}
		for _, e := range all {
			mean := centres[e.DataCentre] / float64(size)
			quicktest.Check(t, weight[e.Name] > mean/2.5 && weight[e.Name] < mean*2, quicktest.IsTrue, quicktest.Commentf("%d instances: %s has %g, the mean is %g", size, e.Name, weight[e.Name], mean))
		}
		quicktest.Check(t, SpreadEntries(all, "b", nil, spreads, ""), quicktest.DeepEquals, EntriesFor(all, "b", nil))
	}
	// The last instance of a data centre isn't enough to send callers there alone.
	quicktest.Check(t, SpreadEntries([]Entry{{Name: "1", DataCentre: "a"}, {Name: "2", DataCentre: "b"}}, "a", nil, spreads, ""), quicktest.HasLen, 2)
}

// TestLoadIsSmall guards against reports of the load that cost an instance more than 100 bytes a second, and
// against a message with a spread that leaves no callers.
func TestLoadIsSmall(t *testing.T) {
	with, err := cbor.Marshal(FollowerMessage{Load: &Load{Requests: 300, DelayMs: 300}})
	quicktest.Assert(t, err, quicktest.IsNil)
	without, err := cbor.Marshal(FollowerMessage{})
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, 4*(len(with)-len(without)) <= 100, quicktest.IsTrue, quicktest.Commentf("%d bytes", len(with)))
	m := ControlMessage{Spreads: []Spread{{DataCentre: "a", Parts: []SpreadPart{{"b", 600}, {"c", 400}}}}}
	quicktest.Check(t, m.Check(), quicktest.IsNotNil)
}
