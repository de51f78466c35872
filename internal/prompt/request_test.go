package prompt

import (
	"slices"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/mutate"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// FuzzParse parses arbitrary input: Parse must return an error with the verdict NotRun, or
// token counts within their bounds.
func FuzzParse(f *testing.F) {
	mutate.Add(f,
		[]byte(`{"model":"starter","messages":[{"role":"user","content":"Rye?"}],"max_tokens":3}`),
		[]byte(`{"model":"starter","prompt":["a",1,null],"max_completion_tokens":9,"stream":true}`),
		[]byte(`{"model":"starter","prompt":"`+strings.Repeat("x", 3000)+`"}`),
		[]byte(`{"model":1}`),
	)
	f.Fuzz(func(t *testing.T, b []byte) {
		r, err := Parse(b)
		if err != nil {
			quicktest.Check(t, verd.From(err).Verdict, quicktest.Equals, verd.NotRun)
			return
		}
		if r.Tokens <= 0 || r.Tokens > len(b) || r.Output <= 0 || r.Output > MaxOutputTokens || len(r.Prefix) > maxPrefixBlocks {
			t.Fatalf("token counts or prefix out of bounds: %+v", r)
		}
	})
}

// TestPrefix checks that two prompts share the hashes of their common leading blocks and no
// others. Otherwise a request could be routed for a cached prefix that it doesn't have.
func TestPrefix(t *testing.T) {
	parse := func(text string) *Request {
		r, err := Parse([]byte(`{"model":"m","prompt":"` + text + `"}`))
		quicktest.Assert(t, err, quicktest.IsNil)
		return r
	}
	a := parse(strings.Repeat("a", 5000))
	b := parse(strings.Repeat("a", 2500) + strings.Repeat("b", 2500))
	quicktest.Check(t, a.Prefix[:2], quicktest.DeepEquals, b.Prefix[:2])
	for _, h := range a.Prefix[2:] {
		quicktest.Check(t, slices.Contains(b.Prefix, h), quicktest.IsFalse)
	}
}

// BenchmarkParse parses a request with a prompt of a million tokens.
func BenchmarkParse(b *testing.B) {
	body := []byte(`{"model":"m","prompt":"` + strings.Repeat("log ", 1_000_000) + `"}`)
	b.SetBytes(int64(len(body)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Parse(body); err != nil {
			b.Fatal(err)
		}
	}
}
