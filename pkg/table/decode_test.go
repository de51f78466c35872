package table

import (
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/mutate"
)

// TestDecodeAbsentLists guards against tables that lack a list and so remove all rows. Empty lists remove them knowingly.
func TestDecodeAbsentLists(t *testing.T) {
	for in, want := range map[string]string{
		`{}`:                               "routes: missing",
		`null`:                             "routes: missing",
		`{"pools":[]}`:                     "routes: missing",
		`{"routes":[]}`:                    "pools: missing",
		"{\n\"routes\":null,\"pools\":[]}": "line 2: routes: missing",
	} {
		_, err := Decode([]byte(in))
		quicktest.Check(t, err, quicktest.ErrorMatches, "(line 1: )?"+want, quicktest.Commentf("%s", in))
	}
	empty, err := Encode(&Tables{})
	quicktest.Assert(t, err, quicktest.IsNil)
	_, err = Decode(empty)
	quicktest.Check(t, err, quicktest.IsNil)
}

// FuzzDecode guards against panics and untyped errors on malformed input, and against decoded
// tables that fail their own check or can't be encoded and decoded again.
func FuzzDecode(f *testing.F) {
	mutate.Add(f,
		[]byte(`{"routes":[{"name":"r","pool":"p","limit":"5s"}],"pools":[{"name":"p","kind":"engine"}]}`),
		[]byte("{\n// comment\n\"pools\": [{\"name\":\"p\",\"kind\":\"service\",},],}"),
		[]byte(`{"routes":[{"name":"r","pool":"q","limit":"-5s"}]}`),
		[]byte(`{"pools":[{"name":"p","kind":"engine","blocking":1e999}]}`),
	)
	f.Fuzz(func(t *testing.T, b []byte) {
		got, err := Decode(b)
		if err != nil {
			var fe *FieldError
			if !errors.As(err, &fe) {
				t.Fatalf("not a *FieldError: %v", err)
			}
			return
		}
		quicktest.Assert(t, got.Check(), quicktest.IsNil)
		text, err := Encode(got)
		quicktest.Assert(t, err, quicktest.IsNil)
		_, err = Decode(text)
		quicktest.Assert(t, err, quicktest.IsNil)
	})
}
