package mutate

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestCorpusIsDeterministic wants the same corpus on every run, another one for
// another seed, and variants that differ from their input.
func TestCorpusIsDeterministic(t *testing.T) {
	in := []byte(`{"name":"i1","limit":3}`)
	a, b, c := Corpus(1, in), Corpus(1, in), Corpus(2, in)
	quicktest.Check(t, a, quicktest.DeepEquals, b)
	quicktest.Check(t, a, quicktest.Not(quicktest.DeepEquals), c)
	same := 0
	for _, v := range a {
		if string(v) == string(in) {
			same++
		}
	}
	quicktest.Check(t, same < len(a)/10, quicktest.IsTrue, quicktest.Commentf("%d of %d", same, len(a)))
	quicktest.Check(t, string(in), quicktest.Equals, `{"name":"i1","limit":3}`)
}
