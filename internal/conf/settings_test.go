package conf

import (
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/bambooproxy/bambooproxy/internal/mutate"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// FuzzDecode checks that Decode, for any input, either fails with a *table.FieldError or
// returns settings that pass Check.
func FuzzDecode(f *testing.F) {
	mutate.Add(f,
		[]byte(`{"name":"i1","data_centre":"d","callers":"1.2.3.4:1","peers":"1.2.3.4:2","operators":"1.2.3.4:3","seeds":["1.2.3.4:2"]}`),
		[]byte(`{"name":"i1", /* c */ "max_body": -1}`),
		[]byte(`{"drain":"1h","seeds":[""]}`),
	)
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := Decode(b)
		if err == nil {
			err = s.Check()
			if err != nil {
				t.Fatalf("decoded settings fail Check: %v", err)
			}
			return
		}
		var fe *table.FieldError
		if !errors.As(err, &fe) {
			t.Fatalf("not a *table.FieldError: %v", err)
		}
	})
}
