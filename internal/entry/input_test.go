package entry

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/mutate"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// FuzzAnnouncement decodes arbitrary input as an announcement: what is accepted passes
// Check, and what is rejected has the verdict NotRun.
func FuzzAnnouncement(f *testing.F) {
	mutate.Add(f,
		[]byte(`{"target":{"name":"t1","addr":"10.0.0.1:80","data_centre":"d","pool":"p","kind":"engine","memory":9},"report":{"used":3}}`),
		[]byte(`{"target":{"name":"t1","addr":"host:80"},"report":{"used":-3}}`),
	)
	f.Fuzz(func(t *testing.T, b []byte) {
		ann, err := readAnnouncement(bytes.NewReader(b))
		if err == nil {
			quicktest.Check(t, ann.Check(), quicktest.IsNil)
			return
		}
		quicktest.Check(t, verd.From(err).Verdict, quicktest.Equals, verd.NotRun)
	})
}

// TestInvalidRequestsAreRejected sends invalid requests. Each must be rejected with the
// verdict NotRun, name the field at fault and not reach the service.
func TestInvalidRequestsAreRejected(t *testing.T) {
	big := strings.Repeat("x", 2<<20)
	for _, tc := range []struct {
		name, method, path, body string
		header                   [2]string
		status                   int
		field                    string
	}{
		{name: "limit", path: "/orders", header: [2]string{HeaderTimeLimit, "soon"}, status: 400, field: HeaderTimeLimit},
		{name: "past limit", path: "/orders", header: [2]string{HeaderTimeLimit, "-3s"}, status: 400, field: HeaderTimeLimit},
		{name: "organisation", path: "/orders", header: [2]string{HeaderOrganisation, ""}, status: 401, field: HeaderOrganisation},
		{name: "key", path: "/orders", header: [2]string{HeaderIdempotencyKey, big[:300]}, status: 400, field: HeaderIdempotencyKey},
		{name: "large body", path: "/orders", body: big, status: 413},
		{name: "large prompt", path: "/v1/completions", body: big, status: 413},
		{name: "no JSON", path: "/v1/completions", body: "rye", status: 400},
		{name: "model", path: "/v1/completions", body: `{"prompt":"x"}`, status: 400, field: "model"},
		{name: "model of numbers", path: "/v1/completions", body: `{"model":1,"prompt":"x"}`, status: 400},
		{name: "prompt", path: "/v1/completions", body: `{"model":"m"}`, status: 400, field: "messages"},
		{name: "tokens", path: "/v1/completions", body: `{"model":"m","prompt":"x","max_tokens":0}`, status: 400, field: "max_tokens"},
		{name: "many tokens", path: "/v1/completions", body: `{"model":"m","prompt":"x","max_tokens":99999999}`, status: 400, field: "max_tokens"},
		{name: "announcement", path: "/targets", body: `{"target":{"name":"t"}}`, status: 400, field: "addr"},
		{name: "large announcement", path: "/targets", body: big, status: 400},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				svc := &faultyService{}
				e := newTestEntry(t, svc)
				r := httptest.NewRequest(http.MethodPost, tc.path, strings.NewReader(tc.body))
				r.Header.Set(HeaderOrganisation, "levain")
				if tc.header[0] != "" {
					r.Header.Set(tc.header[0], tc.header[1])
				}
				w := httptest.NewRecorder()
				e.ServeHTTP(w, r)
				checkResponse(t, w, tc.status, verd.NotRun)
				if tc.field != "" {
					quicktest.Check(t, w.Body.String(), quicktest.Contains, `"param":"`+tc.field+`"`)
				}
				quicktest.Check(t, svc.Runs(""), quicktest.Equals, 0)
			})
		})
	}
}
