package inst

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/fake"
)

var update = flag.Bool("update", false, "write golden files anew")

// checkGolden compares got with a file in testdata, or writes the file if -update is set.
func checkGolden(t *testing.T, file, got string) {
	t.Helper()
	path := "testdata/" + file
	if *update {
		quicktest.Assert(t, os.WriteFile(path, []byte(got), 0o644), quicktest.IsNil)
	}
	want, err := os.ReadFile(path)
	quicktest.Assert(t, err, quicktest.IsNil)
	quicktest.Assert(t, got, quicktest.Equals, string(want))
}

// TestCallerSession compares the exchanges of one caller with a golden file: the list of
// entries, completions whole and streamed, a call to a service, and refused requests.
func TestCallerSession(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		e := s.startEngine(1, "dakar-a")
		s.startService(2, "dakar-a")
		time.Sleep(3 * time.Second)

		const entry = "http://10.0.0.1:80"
		org := []string{"Bamboo-Organisation", "levain"}
		chat := `{"model":"starter","max_tokens":3,"messages":[{"role":"user","content":"How often do I feed it?"}]}`
		var out strings.Builder
		out.WriteString(s.do("GET", entry+"/entries", ""))
		out.WriteString(s.do("POST", entry+"/v1/chat/completions", chat, org...))
		out.WriteString(s.do("POST", entry+"/v1/chat/completions", strings.Replace(chat, "{", `{"stream":true,`, 1), org...))
		out.WriteString(s.do("POST", entry+"/v1/completions", `{"model":"starter","max_tokens":2,"prompt":"Rye?"}`, org...))
		out.WriteString(s.do("POST", entry+"/orders/renew", `{"jar":7}`, append(org, "Idempotency-Key", "k1")...))
		out.WriteString(s.do("POST", entry+"/v1/chat/completions", chat))
		out.WriteString(s.do("POST", entry+"/v1/chat/completions", `{"model":"starter"`, org...))
		out.WriteString(s.do("POST", entry+"/v1/chat/completions", strings.Replace(chat, "starter", "rice", 1), org...))
		out.WriteString(s.do("POST", entry+"/v1/chat/completions", strings.Replace(chat, "3", "-3", 1), org...))
		checkGolden(t, "session.golden", out.String())
		quicktest.Check(t, e.Held(), quicktest.Equals, 0)
		s.close()
	})
}

// TestCallerSessionWithFailures compares the exchanges of one caller with a golden file
// while engines fail and time limits pass.
func TestCallerSessionWithFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		engines := []*fake.Engine{s.startEngine(1, "dakar-a"), s.startEngine(2, "dakar-a")}
		time.Sleep(settleTime)
		const url = "http://10.0.0.1:80/v1/completions"
		body := `{"model":"starter","stream":true,"max_tokens":4,"prompt":"Rye?"}`
		org := []string{"Bamboo-Organisation", "levain"}
		var out strings.Builder
		record := func(title string, change func(*fake.Faults)) {
			for _, e := range engines {
				e.Fault(change)
			}
			out.WriteString("# " + title + "\n" + s.do("POST", url, body, org...))
		}
		record("A connection breaks in the stream.", func(f *fake.Faults) { f.BreakAfter = 2 })
		record("Chunks come twice, swapped, and mixed with another request's.", func(f *fake.Faults) {
			f.Duplicate, f.Reorder, f.Foreign = true, true, true
		})
		out.WriteString("# The time limit passes in the stream.\n")
		out.WriteString(s.do("POST", url, strings.Replace(body, "4", "400", 1), append(org, "Bamboo-Time-Limit", "35ms")...))
		out.WriteString("# The time limit passes before the first token.\n")
		out.WriteString(s.do("POST", url, body, append(org, "Bamboo-Time-Limit", "1ms")...))
		record("All engines have died.", func(f *fake.Faults) { f.Dead = true })
		checkGolden(t, "failures.golden", out.String())
		s.close()
	})
}

// TestOneSpanPerHop checks that a request yields spans of the caller's trace only, one
// for each of the entry, the grant and the target.
func TestOneSpanPerHop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startEngine(1, "dakar-a")
		time.Sleep(3 * time.Second)
		const parent = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"
		s.do("POST", "http://10.0.0.1:80/v1/completions", `{"model":"starter","max_tokens":2,"prompt":"Rye?"}`,
			"Bamboo-Organisation", "levain", "Traceparent", parent)
		synctest.Wait() // The span of the entry ends after the answer has been sent.
		var names []string
		for _, sp := range s.spans.GetSpans() {
			quicktest.Check(t, sp.SpanContext.TraceID().String(), quicktest.Equals, parent[3:35])
			names = append(names, sp.Name)
		}
		slices.Sort(names)
		quicktest.Check(t, names, quicktest.DeepEquals, []string{"entry", "grant", "target"})
		s.close()
	})
}
