package mutate

import (
	"testing"

	"github.com/frankban/quicktest"
)

// TestCorpusIsDeterministic checks that the corpus is the same for the same seed and differs
// for another seed, that most variants differ from their input, and that the input is not
// modified.
func TestCorpusIsDeterministic(t *testing.T) {
	in := []byte(`{"name":"i1","limit":3}`)
	a, b, c := Corpus(1, in), Corpus(1, in), Corpus(2, in)
	quicktest.Check(t, a, quicktest.DeepEquals, b)
	quicktest.Check(t, a, quicktest.Not(quicktest.DeepEquals), c)
	unchanged := 0
	for _, v := range a {
		if string(v) == string(in) {
			unchanged++
		}
	}
	quicktest.Check(t, unchanged < len(a)/10, quicktest.IsTrue, quicktest.Commentf("%d of %d", unchanged, len(a)))
	quicktest.Check(t, string(in), quicktest.Equals, `{"name":"i1","limit":3}`)
}
