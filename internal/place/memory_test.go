package place

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/internal/site"
)

// TestGrantsFitMemory guards against engines that crash because they were granted more than their
// memory: with random requests, ends and failures, what the requests at an engine can take, answers
// of their full length included, never exceeds it.
func TestGrantsFitMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		c := &Core{Standalone: rapid.Bool().Draw(t, "standalone")}
		f := Fleet{Engine: publishedEngine()}
		f.Engine.Memory, f.Engine.Slots = 197_200, 12
		for i := range rapid.IntRange(1, 4).Draw(t, "engines") {
			f.Targets = append(f.Targets, site.Target{ID: fmt.Sprint(i), Pool: "p", State: site.Ready, Slots: 12})
		}
		c.Step(now, f)
		requests, used := make(map[string]Request), make(map[string]int)
		held := make(map[string]map[string]int)
		end := func(id string) {
			for engine, n := range held[id] {
				used[engine] -= n
			}
			delete(held, id)
		}
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * time.Millisecond)
			for _, e := range f.Targets {
				c.Step(now, Heartbeat{Target: e.ID})
			}
			var decisions []Decision
			id := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "request"))
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				c.Step(now, FirstEvent{ID: id, Elapsed: 100 * time.Millisecond})
			case 1:
				c.Step(now, End{ID: id})
				end(id)
			default:
				r := shortRequest(fmt.Sprint(i))
				r.Prompt = rapid.SampledFrom([]int{500, 5_000, 45_000, 190_000, 195_900, 400_000}).Draw(t, "prompt")
				r.Output = rapid.IntRange(1, 1500).Draw(t, "output")
				r.MaxOutput = r.Output + rapid.IntRange(0, 3000).Draw(t, "beyond")
				r.TTFTLeft, r.TTFTTarget, r.TimeLeft, r.PauseTimeout = 6*time.Second, 6*time.Second, 9*time.Second, 9*time.Second
				requests[r.ID] = r
				decisions = c.Step(now, Arrive{r})
			}
			for _, d := range append(decisions, c.Step(now, Tick{})...) {
				g, ok := d.(Grant)
				if !ok {
					continue
				}
				lead := requests[g.ID].Prompt + requests[g.ID].MaxOutput
				held[g.ID] = make(map[string]int)
				for i, n := range g.Memory {
					held[g.ID][g.Helpers[i]] = n
					lead -= n
				}
				held[g.ID][g.Lead] = lead
				for engine, n := range held[g.ID] {
					if used[engine] += n; used[engine] > f.Engine.Memory {
						t.Fatalf("engine %s holds %d tokens of %d", engine, used[engine], f.Engine.Memory)
					}
				}
			}
		}
	})
}
