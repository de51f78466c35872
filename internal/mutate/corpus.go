// Package mutate makes corpora for fuzz targets that are the same on every
// run: inputs derived from good ones by a seeded sequence of edits.
package mutate

import (
	"math/rand/v2"
	"slices"
	"testing"
)

const (
	// variantsPerInput is the number of variants made of each input.
	variantsPerInput = 500
	// maxEdits bounds the edits between an input and its variant.
	maxEdits = 8
)

// Add adds inputs and their variants to a fuzz target, so that a plain test
// run tries them all.
func Add(f *testing.F, inputs ...[]byte) {
	for _, b := range Corpus(1, inputs...) {
		f.Add(b)
	}
}

// Corpus returns inputs and their variants, which depend on the seed alone.
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

// edit flips, replaces, removes, repeats or inserts bytes, or splices in
// another input.
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
		o := others[rng.IntN(len(others))]
		b = append(b[:i], o[min(j, len(o)):]...)
	}
	return b
}
