package verd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

var verdictGen = rapid.SampledFrom([]verd.Verdict{verd.MayHaveRun, verd.NotRun, verd.Ran})

// TestJoin guards against a join that loses the information that a request may have run. Join
// must be commutative, associative and idempotent, with NotRun as its neutral and Ran as its
// absorbing element.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := verdictGen.Draw(t, "a"), verdictGen.Draw(t, "b"), verdictGen.Draw(t, "c")
		for property, ok := range map[string]bool{
			"order":    a.Join(b) == b.Join(a),
			"grouping": a.Join(b).Join(c) == a.Join(b.Join(c)),
			"itself":   a.Join(a) == a,
			"neutral":  a.Join(verd.NotRun) == a,
			"last":     a.Join(verd.Ran) == verd.Ran,
		} {
			if !ok {
				t.Fatalf("property %q does not hold for a = %s, b = %s, c = %s", property, a, b, c)
			}
		}
	})
}

// TestWrapJoinsVerdicts guards against a wrapped error that claims NotRun although an inner
// error doesn't. It wraps errors several times, with and without verdicts in between.
func TestWrapJoinsVerdicts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vs := rapid.SliceOfN(verdictGen, 1, 6).Draw(t, "verdicts")
		var err error = verd.New(vs[0], verd.Internal, "innermost")
		want := vs[0]
		for _, v := range vs[1:] {
			if rapid.Bool().Draw(t, "plain") {
				err = errors.Wrap(err, "plain")
			}
			err = verd.Wrap(err, v, verd.Target, "outer")
			want = want.Join(v)
		}
		if got := verd.From(err).Verdict; got != want {
			t.Fatalf("got %s, want %s", got, want)
		}
	})
}

// TestFromWithoutVerdict guards against a definite verdict for errors that carry none.
func TestFromWithoutVerdict(t *testing.T) {
	for _, err := range []error{errors.New("any"), context.Canceled, context.DeadlineExceeded} {
		quicktest.Check(t, verd.From(err).Verdict, quicktest.Equals, verd.MayHaveRun)
	}
}

// TestVerdictTextRoundTrip checks that verdicts survive encoding and decoding, and that an
// unknown name is rejected.
func TestVerdictTextRoundTrip(t *testing.T) {
	for _, v := range []verd.Verdict{verd.MayHaveRun, verd.NotRun, verd.Ran} {
		b, err := json.Marshal(v)
		quicktest.Assert(t, err, quicktest.IsNil)
		var got verd.Verdict
		quicktest.Assert(t, json.Unmarshal(b, &got), quicktest.IsNil)
		quicktest.Check(t, got, quicktest.Equals, v)
	}
	var v verd.Verdict
	quicktest.Check(t, v.UnmarshalText([]byte("maybe")), quicktest.IsNotNil)
}

// The first attempt was never sent; the outcome of the second is unknown.
func ExampleVerdict_Join() {
	fmt.Println(verd.NotRun.Join(verd.MayHaveRun))
	// Output: may-have-run
}
