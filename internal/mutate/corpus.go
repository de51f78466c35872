// Package mutate generates deterministic seed corpora for fuzz tests. It derives variants
// of valid inputs by a seeded sequence of edits.
package mutate

import (
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	// variantsPerInput is the number of variants derived from each input.
	variantsPerInput = 500
	// maxEdits bounds the edits that turn an input into a variant.
	maxEdits = 8
)

// Add adds inputs and their variants to the seed corpus of a fuzz test, so that a plain
// test run without fuzzing covers them all.
func Add(f *testing.F, inputs ...[]byte) {
	for _, b := range Corpus(1, inputs...) {
		f.Add(b)
	}
}

// Corpus returns the inputs followed by their variants. The result depends only on the seed
// and the inputs.
func Corpus(seed uint64, inputs ...[]byte) [][]byte {
	rng := rand.New(rand.NewPCG(seed, uint64(len(inputs))))
	out := slices.Clone(inputs)
	for _, in := range inputs {
		for range variantsPerInput {
			out = append(out, variant(rng, in, inputs))
		}
	}
	return out
}

func variant(rng *rand.Rand, in []byte, others [][]byte) []byte {
	b := slices.Clone(in)
	for range 1 + rng.IntN(maxEdits) {
		b = edit(rng, b, others)
	}
	return b
}

// edit makes one random change: it flips a bit, replaces a byte, removes or repeats a range,
// truncates, inserts a token, or splices in the rest of another input.
func edit(rng *rand.Rand, b []byte, others [][]byte) []byte {
	if len(b) == 0 {
		return []byte{byte(rng.Uint32())}
	}
	i := rng.IntN(len(b))
	j := i + rng.IntN(len(b)-i)
	switch rng.IntN(7) {
	case 0:
		b[i] ^= 1 << rng.IntN(8)
	case 1:
		b[i] = byte(rng.Uint32())
	case 2:
		b = slices.Delete(b, i, j)
	case 3:
		b = slices.Insert(b, j, slices.Clone(b[i:j])...)
	case 4:
		b = b[:i]
	case 5:
		tokens := [...]string{"{", "}", "[", "]", ",", ":", `"`, "null", "-1", "1e999", "true", "0", "\x00", "\xff"}
		b = slices.Insert(b, i, []byte(tokens[rng.IntN(len(tokens))])...)
	default:
		other := others[rng.IntN(len(others))]
		b = append(b[:i], other[min(j, len(other)):]...)
	}
	return b
}
