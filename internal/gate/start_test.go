package gate

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
)

// TestTablesComeDuringRequest guards against a request that has no tables although this instance serves: they came after
// the request had looked for them.
func TestTablesComeDuringRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestbed(t, []script{respond(200, "done", sealHeader)}, nil)
		r := httptest.NewRequest(http.MethodPost, idempotentPath, nil)
		r.Host = "h"
		for name, value := range map[string]string{"Id": "a1", "Key": "key", "Left": "2000"} {
			r.Header.Set(name, value)
		}
		x := &exchange{server: s.gate, w: httptest.NewRecorder(), r: r, start: time.Now()}
		quicktest.Assert(t, x.prepare(), quicktest.IsTrue)
		quicktest.Check(t, x.view, quicktest.Equals, s.gate.views.load())
	})
}
