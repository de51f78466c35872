package httpx

import (
	"testing"

	"github.com/bambooproxy/bambooproxy/internal/mutate"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// FuzzDecodeChunk feeds arbitrary bytes to decodeChunk. It must fail as Garbled with the
// verdict MayHaveRun, or return a chunk that passes its own check.
func FuzzDecodeChunk(f *testing.F) {
	mutate.Add(f,
		[]byte(`{"id":"r","offset":3,"text":"rye ","tokens":1}`),
		[]byte(`{"id":"r","offset":4,"end":true,"usage":{"prompt_tokens":9}}`),
		[]byte(`{"id":"","offset":-1}`),
	)
	f.Fuzz(func(t *testing.T, b []byte) {
		c, err := decodeChunk(b)
		if err == nil {
			if err := c.Check(); err != nil {
				t.Fatal(err)
			}
			return
		}
		if _, ok := engine.FailureOf(err).(*engine.Garbled); !ok || verd.From(err).Verdict != verd.MayHaveRun {
			t.Fatalf("%T: %v", engine.FailureOf(err), err)
		}
	})
}
