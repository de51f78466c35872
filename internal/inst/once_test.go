package inst

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/fake"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
)

// slowService is a service that takes 2 s for each call. With truncate set, it closes the
// connection before the end of the answer.
type slowService struct {
	fake.Service
	mu       sync.Mutex
	truncate bool
}

// ServeHTTP reads the whole call, waits and runs it.
func (s *slowService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	time.Sleep(2 * time.Second)
	s.Service.ServeHTTP(w, r)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.truncate {
		w.(http.Flusher).Flush()
		panic(http.ErrAbortHandler)
	}
}

// withSlowService runs a test on two instances and a slow service, once they are ready.
func withSlowService(t *testing.T, run func(t *testing.T, s *site, service *slowService)) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		s.startInstance(1, "dakar-a")
		s.startInstance(2, "dakar-b")
		service := &slowService{}
		s.startTarget(1, "dakar-a", "orders", table.Service, func(t engine.Target) (http.Handler, func() engine.Report) {
			service.Target = t
			return service, nil
		})
		time.Sleep(settleTime)
		run(t, s, service)
		s.close()
	})
}

// postFiling sends a call with the idempotency key k1 to instance n, on a route that runs
// each key once. It returns the exchange as text.
func (s *site) postFiling(n string) string {
	return s.do("POST", "http://10.0.0."+n+":80/filings/switch", "{}", "Bamboo-Organisation", "levain", "Idempotency-Key", "k1")
}

// TestOnceAtTwoInstances sends one call to two instances at once, and again to both
// later. It must run once, and every caller must get the answer of that run.
func TestOnceAtTwoInstances(t *testing.T) {
	withSlowService(t, func(t *testing.T, s *site, service *slowService) {
		var wg sync.WaitGroup
		got := make([]string, 2)
		for i, n := range []string{"1", "2"} {
			wg.Go(func() { got[i] = s.postFiling(n) })
		}
		wg.Wait()
		for _, exchange := range append(got, s.postFiling("1"), s.postFiling("2")) {
			quicktest.Check(t, exchange, quicktest.Contains, "< 200")
			quicktest.Check(t, exchange, quicktest.Contains, `"run":1}`)
		}
		quicktest.Check(t, service.Runs("k1"), quicktest.Equals, 1)
	})
}

// TestOnceEntryIsolated isolates the instance that has sent a call to the service.
// Another instance must answer that the call may have run, each time, and must not run it
// again.
func TestOnceEntryIsolated(t *testing.T) {
	withSlowService(t, func(t *testing.T, s *site, service *slowService) {
		s.wg.Go(func() {
			ctx, disconnect := context.WithTimeout(t.Context(), 5*time.Second)
			defer disconnect()
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://10.0.0.2:80/filings/switch", strings.NewReader("{}"))
			quicktest.Check(t, err, quicktest.IsNil)
			r.Header.Set("Bamboo-Organisation", "levain")
			r.Header.Set("Idempotency-Key", "k1")
			if resp, err := s.clientFrom(callerAddr).Do(r); err == nil {
				resp.Body.Close()
			}
		})
		time.Sleep(time.Second)
		s.net.Cut("10.0.0.2:81", "10.0.0.1:81")
		s.net.Cut("10.0.0.2:81", "10.1.0.1:80")
		for range 2 {
			exchange := s.postFiling("1")
			quicktest.Check(t, exchange, quicktest.Contains, "Bamboo-Verdict: may-have-run")
		}
		quicktest.Check(t, service.Runs("k1"), quicktest.Equals, 1)
		s.net.Heal("10.0.0.2:81", "10.0.0.1:81")
		s.net.Heal("10.0.0.2:81", "10.1.0.1:80")
	})
}

// TestServiceAnswerTruncated has a service close the connection in the middle of an
// answer. The caller's connection must break too, or the truncated answer would look
// complete.
func TestServiceAnswerTruncated(t *testing.T) {
	withSlowService(t, func(t *testing.T, s *site, service *slowService) {
		service.truncate = true
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://10.0.0.1:80/orders/renew", strings.NewReader("{}"))
		quicktest.Assert(t, err, quicktest.IsNil)
		r.Header.Set("Bamboo-Organisation", "levain")
		resp, err := s.clientFrom(callerAddr).Do(r)
		quicktest.Assert(t, err, quicktest.IsNil)
		defer resp.Body.Close()
		quicktest.Check(t, resp.StatusCode, quicktest.Equals, http.StatusOK)
		err = resp.Write(&strings.Builder{})
		quicktest.Check(t, err, quicktest.IsNotNil)
	})
}
