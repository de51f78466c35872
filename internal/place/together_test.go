package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/red"
)

// TestLongPromptsTogether guards against engines that stand idle while all of many long prompts that come together are refused. As many
// must be served as the engines can prefill within the time limit, less one for each engine.
func TestLongPromptsTogether(t *testing.T) {
	const engines, prompts = 4, 36
	class := &simClass{name: "long", ttftTarget: 6 * time.Second, maxPause: time.Second, limit: 15 * time.Second, value: 1}
	for _, prompt := range []int{100_000, 200_000, 300_000} {
		for _, fair := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d tokens/fair=%v", prompt, fair), func(t *testing.T) {
				s := newSim(1, engines, &Core{Fair: fair})
				s.comeBack = true
				served := s.playTogether(class, prompt, prompts)
				prefill := costModel{s.declared}.prefillTime(prompt)
				want := min(prompts, int(engines*class.limit/prefill)) - engines
				red.Check(t, "served", served >= want, "%d of %d served, wanted %d", served, prompts, want)
			})
		}
	}
}

// playTogether plays prompts of the same size that come at the same moment, and returns how many are served within the time limit.
func (s *sim) playTogether(class *simClass, prompt, count int) (served int) {
	for range count {
		j := &simJob{class: class, prompt: prompt, output: 400, outputEstimate: 400}
		s.events.add(0, func() { s.arrive(j) })
	}
	s.run(class.limit + 10*time.Second)
	for _, j := range s.all {
		if j.ended && !j.failed && j.ttft <= class.limit {
			served++
		}
	}
	return served
}
