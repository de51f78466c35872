package inst

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/bambooproxy/bambooproxy/internal/auth"
	"github.com/bambooproxy/bambooproxy/internal/certs"
	"github.com/bambooproxy/bambooproxy/internal/conf"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// logBuffer is a log writer for concurrent use that keeps what is written.
type logBuffer struct {
	mu  sync.Mutex
	buf strings.Builder
}

func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// The secrets of the tests. They may appear only in requests to the party that checks
// them.
const (
	levainSecret   = "secret-of-levain"
	codrescuSecret = "secret-of-codrescu"
	operatorSecret = "secret-of-operator"
	targetSecret   = "secret-of-target"
)

// writeTokens writes a token file and returns its path. pairs holds names and secrets in
// turn.
func writeTokens(t *testing.T, dir, file string, pairs ...string) string {
	t.Helper()
	var f auth.Tokens
	for i := 0; i < len(pairs); i += 2 {
		f.Tokens = append(f.Tokens, auth.Token{Name: pairs[i], SHA256: auth.Hash(pairs[i+1])})
	}
	b, err := json.Marshal(f)
	quicktest.Assert(t, err, quicktest.IsNil)
	path := filepath.Join(dir, file)
	quicktest.Assert(t, os.WriteFile(path, b, 0o600), quicktest.IsNil)
	return path
}

// startSecured starts an instance that requires tokens from callers and operators and
// presents a credential to targets, and an engine. The instance logs to out.
func startSecured(t *testing.T, s *site, out *logBuffer) {
	t.Helper()
	dir := t.TempDir()
	credentials := filepath.Join(dir, "credentials.json")
	quicktest.Assert(t, os.WriteFile(credentials,
		[]byte(`{"credentials": [{"targets": "10.1.0.0/16", "token": "`+targetSecret+`"}]}`), 0o600), quicktest.IsNil)
	l := &log.Logger{Level: log.DebugLevel, Writer: &log.IOWriter{Writer: out}}
	s.startInstanceWith(1, "dakar-a", l, func(set *conf.Settings) {
		set.CallerTokens = writeTokens(t, dir, "callers.json", "levain", levainSecret, "codrescu", codrescuSecret)
		set.OperatorTokens = writeTokens(t, dir, "operators.json", "ana", operatorSecret)
		set.TargetCredentials = credentials
	})
	s.startEngine(1, "dakar-a")
	time.Sleep(5 * time.Second)
}

// TestOrganisationFromToken sends calls whose header names another organisation than the
// token. The token must decide, and one organisation must not get the stored answer of
// another's call.
func TestOrganisationFromToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, out := newSite(t), &logBuffer{}
		s.startService(2, "dakar-a")
		startSecured(t, s, out)
		const entry = "http://10.0.0.1:80"
		renew := func(secret string) string {
			return s.do("POST", entry+"/orders/renew", `{"jar":7}`, "Authorization", "Bearer "+secret,
				"Bamboo-Organisation", "levain", "Idempotency-Key", "k1")
		}
		first, second, again := renew(levainSecret), renew(codrescuSecret), renew(levainSecret)
		quicktest.Check(t, strings.Contains(first, "< 200"), quicktest.IsTrue, quicktest.Commentf(first))
		quicktest.Check(t, strings.Contains(second, "< 200"), quicktest.IsTrue, quicktest.Commentf(second))
		quicktest.Check(t, strings.Contains(second, "Replayed"), quicktest.IsFalse, quicktest.Commentf(second))
		quicktest.Check(t, strings.Contains(again, "< 200"), quicktest.IsTrue, quicktest.Commentf(again))

		for _, bad := range []string{"", "wrong", operatorSecret, targetSecret} {
			got := renew(bad)
			quicktest.Check(t, strings.Contains(got, "< 401"), quicktest.IsTrue, quicktest.Commentf(got))
			quicktest.Check(t, strings.Contains(got, "Bamboo-Verdict: not-run"), quicktest.IsTrue, quicktest.Commentf(got))
		}
	})
}

// TestSecretsNotExposed makes requests with valid and invalid tokens. No secret and no
// hash of one may appear in logs, spans, metrics, the view, the status or error bodies.
func TestSecretsNotExposed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, out := newSite(t), &logBuffer{}
		s.startService(2, "dakar-a")
		startSecured(t, s, out)
		var output strings.Builder
		for _, secret := range []string{levainSecret, operatorSecret, "wrong-secret"} {
			head := []string{"Authorization", "Bearer " + secret}
			for _, call := range []struct{ method, url, body string }{
				{"POST", "http://10.0.0.1:80/v1/completions", `{"model":"starter","max_tokens":2,"prompt":"Rye?"}`},
				{"POST", "http://10.0.0.1:80/orders/renew", `{}`},
				{"GET", "http://10.0.0.1:82/metrics", ""},
				{"GET", "http://10.0.0.1:82/v1/view", ""},
				{"GET", "http://10.0.0.1:82/v1/status", ""},
				{"POST", "http://10.0.0.1:82/v1/nothing", ""},
			} {
				output.WriteString(s.do(call.method, call.url, call.body, head...))
			}
		}
		for _, sp := range s.spans.GetSpans() {
			fmt.Fprintln(&output, sp.Name, sp.Attributes, sp.Events, sp.Status)
		}
		output.WriteString(out.String())
		for _, secret := range []string{levainSecret, codrescuSecret, operatorSecret, targetSecret, "wrong-secret"} {
			quicktest.Check(t, strings.Contains(output.String(), secret), quicktest.IsFalse, quicktest.Commentf(secret))
			quicktest.Check(t, strings.Contains(output.String(), auth.Hash(secret)), quicktest.IsFalse, quicktest.Commentf(secret))
		}
	})
}

// TestOperatorTokenRequired checks that the health checks of the operators' listener need
// no token and that everything else there needs an operator's.
func TestOperatorTokenRequired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, out := newSite(t), &logBuffer{}
		startSecured(t, s, out)
		const ops = "http://10.0.0.1:82"
		for _, path := range []string{"/healthz", "/readyz"} {
			got := s.do("GET", ops+path, "")
			quicktest.Check(t, strings.Contains(got, "< 200"), quicktest.IsTrue, quicktest.Commentf(got))
		}
		for _, path := range []string{"/metrics", "/v1/view", "/v1/status"} {
			got := s.do("GET", ops+path, "", "Authorization", "Bearer "+levainSecret)
			quicktest.Check(t, strings.Contains(got, "< 401"), quicktest.IsTrue, quicktest.Commentf(got))
			got = s.do("GET", ops+path, "", "Authorization", "Bearer "+operatorSecret)
			quicktest.Check(t, strings.Contains(got, "< 200"), quicktest.IsTrue, quicktest.Commentf(got))
		}
		text := s.do("GET", ops+"/metrics", "", "Authorization", "Bearer "+operatorSecret)
		for _, want := range []string{`bamboo_sched_targets{shard="advice/dakar-a"} 1`, "bamboo_process_heap_bytes "} {
			quicktest.Check(t, strings.Contains(text, want), quicktest.IsTrue, quicktest.Commentf(text))
		}
		got := s.do("POST", ops+"/v1/drain", "")
		quicktest.Check(t, strings.Contains(got, "< 401"), quicktest.IsTrue, quicktest.Commentf(got))
		status := s.do("GET", ops+"/v1/status", "", "Authorization", "Bearer "+operatorSecret)
		for _, want := range []string{`"holder":"i1"`, `"name":"t1"`, `"waiting":0`, `"state":"serving"`} {
			quicktest.Check(t, strings.Contains(status, want), quicktest.IsTrue, quicktest.Commentf(status))
		}
	})
}

// TestCallerTokenNotForwarded checks that a service gets the target's credential in place
// of the caller's token.
func TestCallerTokenNotForwarded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, out := newSite(t), &logBuffer{}
		startSecured(t, s, out)
		var mu sync.Mutex
		var got http.Header
		record := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			got = r.Header.Clone()
		})
		s.startTarget(3, "dakar-a", "orders", table.Service, func(engine.Target) (http.Handler, func() engine.Report) {
			return record, nil
		})
		time.Sleep(2 * time.Second)
		for range 12 {
			s.do("POST", "http://10.0.0.1:80/orders/renew", `{}`, "Authorization", "Bearer "+levainSecret)
		}
		mu.Lock()
		defer mu.Unlock()
		quicktest.Check(t, got.Get("Authorization"), quicktest.Equals, "Bearer "+targetSecret)
		quicktest.Check(t, got.Get("Bamboo-Organisation"), quicktest.Equals, "levain")
		quicktest.Check(t, got.Get("Traceparent"), quicktest.Not(quicktest.Equals), "")
	})
}

// TestTargetTokenRequired checks that a target may announce itself only in the pool that
// its token names; the name * means any pool.
func TestTargetTokenRequired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		dir := t.TempDir()
		s.startInstanceWith(1, "dakar-a", &log.Logger{Level: log.PanicLevel}, func(set *conf.Settings) {
			set.TargetTokens = writeTokens(t, dir, "targets.json", "advice", targetSecret, "*", operatorSecret)
		})
		time.Sleep(5 * time.Second)
		announce := func(pool, secret string) string {
			body := `{"target":{"name":"t","addr":"10.1.0.9:80","data_centre":"dakar-a","pool":"` + pool +
				`","kind":"engine","incarnation":1,"memory":1000},"report":{}}`
			return s.do("POST", "http://10.0.0.1:80/targets", body, "Authorization", "Bearer "+secret)
		}
		for _, c := range []struct{ pool, secret, want string }{
			{"advice", targetSecret, "< 204"},
			{"advice", operatorSecret, "< 204"},
			{"orders", targetSecret, "< 401"},
			{"advice", "wrong", "< 401"},
			{"advice", "", "< 401"},
		} {
			got := announce(c.pool, c.secret)
			quicktest.Check(t, strings.Contains(got, c.want), quicktest.IsTrue, quicktest.Commentf("%v: %s", c, got))
		}
	})
}

// TestPeerCertificateRequired checks that instances work together over mutual TLS, and
// that one with a certificate of another authority can't join.
func TestPeerCertificateRequired(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		siteCA, otherCA := certs.New(t), certs.New(t)
		start := func(n int, a *certs.Authority) *Instance {
			return s.startInstanceWith(n, "dakar-a", &log.Logger{Level: log.PanicLevel}, func(set *conf.Settings) {
				set.TLSCert, set.TLSKey, set.TLSCA = a.Write(t.TempDir(), fmt.Sprintf("10.0.0.%d", n))
			})
		}
		first := start(1, siteCA)
		start(2, siteCA)
		untrusted := start(3, otherCA)
		s.startEngine(1, "dakar-a")
		time.Sleep(8 * time.Second)
		for _, host := range []string{"10.0.0.1", "10.0.0.2"} {
			got := s.do("POST", "http://"+host+":80/v1/completions", `{"model":"starter","max_tokens":2,"prompt":"Rye?"}`,
				"Bamboo-Organisation", "levain")
			quicktest.Check(t, strings.Contains(got, "< 200"), quicktest.IsTrue, quicktest.Commentf(got))
		}
		quicktest.Check(t, first.agent.View().Members, quicktest.HasLen, 2)
		quicktest.Check(t, untrusted.agent.Live(), quicktest.IsFalse)
	})
}
