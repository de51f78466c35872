package inst

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// TestSpanTree compares the spans of four requests with a golden file: a completion, a
// call to a service, the same call repeated, and a refused request.
func TestSpanTree(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startEngine(1, "dakar-a")
		s.startService(2, "dakar-a")
		time.Sleep(5 * time.Second)
		const entry = "http://10.0.0.1:80"
		var out strings.Builder
		for i, call := range []struct{ path, body string }{
			{"/v1/completions", `{"model":"starter","max_tokens":2,"prompt":"Rye?"}`},
			{"/orders/renew", `{"jar":7}`},
			{"/orders/renew", `{"jar":7}`},
			{"/v1/completions", `{"model":"rice","max_tokens":2,"prompt":"Rye?"}`},
		} {
			s.spans.Reset()
			parent := fmt.Sprintf("00-0af7651916cd43dd8448eb211c8031%02x-b7ad6b7169203331-01", i)
			s.do("POST", entry+call.path, call.body, "Bamboo-Organisation", "levain", "Traceparent", parent, "Idempotency-Key", "k1")
			synctest.Wait() // The span of the entry ends after the answer has been sent.
			fmt.Fprintf(&out, "%s %s\n%s", call.path, call.body, spanTree(t, s.spans.GetSpans(), parent))
		}
		checkGolden(t, "trace.golden", out.String())
	})
}

// spanTree returns the spans below the span that parent, a trace parent, names, one a
// line and indented by depth. It checks that all are of parent's trace.
func spanTree(t *testing.T, spans tracetest.SpanStubs, parent string) string {
	t.Helper()
	slices.SortStableFunc(spans, func(a, b tracetest.SpanStub) int { return a.StartTime.Compare(b.StartTime) })
	var out strings.Builder
	var writeChildren func(id string, depth int)
	writeChildren = func(id string, depth int) {
		for _, sp := range spans {
			if sp.Parent.SpanID().String() != id {
				continue
			}
			quicktest.Check(t, sp.SpanContext.TraceID().String(), quicktest.Equals, parent[3:35])
			fmt.Fprintf(&out, "%s%s%s\n", strings.Repeat("  ", depth), sp.Name, formatAttributes(sp))
			writeChildren(sp.SpanContext.SpanID().String(), depth+1)
		}
	}
	writeChildren(parent[36:52], 1)
	return out.String()
}

// formatAttributes returns the attributes of a span, except the request ID, which differs
// between runs.
func formatAttributes(sp tracetest.SpanStub) string {
	var out strings.Builder
	for _, a := range sp.Attributes {
		if a.Key != "bamboo.request" {
			fmt.Fprintf(&out, " %s=%s", a.Key, a.Value.String())
		}
	}
	return out.String()
}
