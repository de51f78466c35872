package load

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/pkg/caller"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// entryServer starts a server that answers like an entry and returns its address. Its
// answers have the given faults in turn; an empty fault is a correct answer.
func entryServer(t *testing.T, faults ...string) string {
	t.Helper()
	var n atomic.Int64
	var srv *httptest.Server
	srv = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/entries" {
			json.NewEncoder(w).Encode(caller.Entries{
				Entries: []caller.Entry{{Addr: strings.TrimPrefix(srv.URL, "http://")}}, Lifetime: 60,
			})
			return
		}
		writeAnswer(w, faults[int(n.Add(1)-1)%len(faults)])
	}))
	t.Cleanup(srv.Close)
	return strings.TrimPrefix(srv.URL, "http://")
}

// writeAnswer writes an answer of three tokens with one fault.
func writeAnswer(w http.ResponseWriter, fault string) {
	const id = "abcdefgh-1"
	switch fault {
	case "refused":
		w.Header().Set(verd.Header, verd.NotRun.String())
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "timeout":
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case "failed":
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	w.Header().Set("Bamboo-Request", id)
	for i := range 3 {
		word := fake.Word(id, i)
		if fault == "wrong" && i == 1 {
			word = fake.Word("zzzzzzzz", i)
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\n", word)
		if fault == "cut" {
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// TestCountsEveryOutcome guards against failures that are counted under a wrong outcome: the
// server answers correctly or with one of five faults, and each must have its own count.
func TestCountsEveryOutcome(t *testing.T) {
	addr := entryServer(t, "", "refused", "timeout", "failed", "wrong", "cut")
	r := Run{Plan: Plan{
		Entries: []string{addr}, Rate: 2000, Duration: 50 * time.Millisecond, Mix: []PromptShare{{10, 1}},
		Output: 3, Model: "m", Limit: time.Minute, AtOnce: 1000, Seed: 1,
	}}
	rep, err := r.Do(t.Context())
	quicktest.Assert(t, err, quicktest.IsNil)
	total := 0
	for _, o := range []Outcome{Completed, Refused, TimedOut, Failed, Corrupt, Truncated} {
		n := rep.Total(o)
		quicktest.Check(t, n > 0, quicktest.IsTrue, quicktest.Commentf("%s", o))
		total += n
	}
	quicktest.Check(t, rep.Total(Overrun)+rep.Total(Unsent), quicktest.Equals, 0)
	quicktest.Check(t, total > 6, quicktest.IsTrue)
	quicktest.Check(t, rep.Classes[0].FirstToken.Count, quicktest.Equals, int64(rep.Total(Completed)))
	quicktest.Check(t, rep.Text(), quicktest.Contains, "2000 requests a second for 50ms, seed 1")
	quicktest.Check(t, rep.SVG(), quicktest.Contains, "<polyline")
}

// TestSameSeedSameRequests guards against runs that can't be compared: two runs of the same
// plan must send the same number of requests of each class.
func TestSameSeedSameRequests(t *testing.T) {
	addr := entryServer(t, "")
	var counts []string
	for range 2 {
		r := Run{Plan: Plan{
			Entries: []string{addr}, Rate: 2000, Duration: 50 * time.Millisecond, Mix: []PromptShare{{10, 3}, {20, 1}},
			Output: 3, Model: "m", Once: 0.3, OncePath: "/orders/renew", Limit: time.Minute, AtOnce: 1000, Seed: 7,
		}}
		rep, err := r.Do(t.Context())
		quicktest.Assert(t, err, quicktest.IsNil)
		var c []int
		for _, class := range rep.Classes {
			n := 0
			for _, v := range class.Outcomes {
				n += v
			}
			c = append(c, n)
		}
		counts = append(counts, fmt.Sprint(c))
	}
	quicktest.Check(t, counts[0], quicktest.Equals, counts[1])
}

// TestParseMix guards against invalid mixes that are accepted, which would make a run send
// prompts of other lengths or in other proportions than specified.
func TestParseMix(t *testing.T) {
	got, err := ParseMix("20000:1,1000:8.5")
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Check(t, got, quicktest.DeepEquals, []PromptShare{{1000, 8.5}, {20000, 1}})
	for _, bad := range []string{"", "5", "x:1", "0:1", "3000000:1", "5:0", "5:-1", "5:NaN", "5:x"} {
		_, err := ParseMix(bad)
		quicktest.Check(t, err, quicktest.IsNotNil, quicktest.Commentf(bad))
	}
}
