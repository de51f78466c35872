package inst

import (
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestOrganisationConcurrencyLimit sends two concurrent requests of an organisation whose
// limit is one, through two instances. The second must be refused as not run, and one
// that follows the first must be served.
func TestOrganisationConcurrencyLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startInstance(2, "dakar-a")
		s.startEngine(1, "dakar-a")
		time.Sleep(5 * time.Second)
		const body = `{"model":"starter","max_tokens":50,"prompt":"Rye?"}`
		post := func(host string) string {
			return s.do("POST", "http://"+host+":80/v1/completions", body, "Bamboo-Organisation", "small")
		}
		var wg sync.WaitGroup
		var first string
		wg.Go(func() { first = post("10.0.0.1") })
		time.Sleep(100 * time.Millisecond)
		second := post("10.0.0.2")
		wg.Wait()
		time.Sleep(3 * time.Second)
		third := post("10.0.0.2")

		quicktest.Check(t, strings.Contains(first, "< 200"), quicktest.IsTrue, quicktest.Commentf("%s", first))
		quicktest.Check(t, strings.Contains(third, "< 200"), quicktest.IsTrue, quicktest.Commentf("%s", third))
		for _, want := range []string{"< 429", "Retry-After: 1", "Bamboo-Verdict: not-run", "at its limit"} {
			quicktest.Check(t, strings.Contains(second, want), quicktest.IsTrue, quicktest.Commentf("%s", second))
		}
		s.close()
	})
}
