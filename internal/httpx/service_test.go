package httpx

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/frankban/quicktest"

	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	clientAddr = "10.0.0.1:1"
	serverAddr = "10.0.0.2:80"
)

// startServer serves h on an in-memory network and returns a function that dials from
// clientAddr.
func startServer(t *testing.T, n *memnet.Network, h http.HandlerFunc) DialFunc {
	t.Helper()
	ln, err := n.Listen(serverAddr)
	quicktest.Assert(t, err, quicktest.IsNil)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { srv.Close() })
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return n.Dialer(clientAddr)(ctx, addr) }
}

// idempotentPost returns a request of the kind that net/http resends by itself: it has an
// idempotency key and no body.
func idempotentPost(t *testing.T) *http.Request {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+serverAddr+"/orders", http.NoBody)
	quicktest.Assert(t, err, quicktest.IsNil)
	r.Header.Set("Idempotency-Key", "k1")
	return r
}

// TestServicesNoReplay has a service close the connection on its second call. A transport
// that reuses connections resends that call, so that it runs twice; Services must send it
// once.
func TestServicesNoReplay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var runs atomic.Int64
		dial := startServer(t, &memnet.Network{}, func(w http.ResponseWriter, _ *http.Request) {
			if runs.Add(1) == 2 {
				panic(http.ErrAbortHandler)
			}
			w.WriteHeader(http.StatusNoContent)
		})
		pooled := PooledTransport(dial)
		defer pooled.CloseIdleConnections()
		for range 2 {
			resp, err := pooled.RoundTrip(idempotentPost(t))
			quicktest.Assert(t, err, quicktest.IsNil)
			resp.Body.Close()
		}
		quicktest.Check(t, runs.Load(), quicktest.Equals, int64(3))

		runs.Store(0)
		s := Services{Fresh: Fresh(dial)}
		resp, err := s.Call(t.Context(), serverAddr, idempotentPost(t), time.Time{})
		quicktest.Assert(t, err, quicktest.IsNil)
		resp.Body.Close()
		_, err = s.Call(t.Context(), serverAddr, idempotentPost(t), time.Time{})
		quicktest.Check(t, verd.From(err).Verdict, quicktest.Equals, verd.MayHaveRun)
		quicktest.Check(t, runs.Load(), quicktest.Equals, int64(2))
	})
}

// TestServicesVerdict checks that a failed call has the verdict NotRun only where nothing
// was sent or the response has this verdict, as a caller may safely repeat such a call.
func TestServicesVerdict(t *testing.T) {
	type testCase struct {
		name    string
		handler http.HandlerFunc
		prepare func(*memnet.Network)
		useBy   time.Duration
		verdict verd.Verdict
		failure engine.Failure
	}
	cases := []testCase{
		{name: "refused", verdict: verd.NotRun, failure: &engine.Refused{}, handler: func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(verd.Header, verd.NotRun.String())
			w.WriteHeader(http.StatusServiceUnavailable)
		}},
		{name: "cut", verdict: verd.MayHaveRun, failure: &engine.Broken{}, handler: func(http.ResponseWriter, *http.Request) {
			panic(http.ErrAbortHandler)
		}},
		{name: "hanging dial", verdict: verd.NotRun, failure: &engine.Unreachable{}, prepare: func(n *memnet.Network) {
			n.Cut(clientAddr, serverAddr)
		}},
		{name: "past its use-by", useBy: -time.Second, verdict: verd.NotRun, failure: &engine.Unreachable{}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var n memnet.Network
				dial := startServer(t, &n, tc.handler)
				if tc.prepare != nil {
					tc.prepare(&n)
				}
				var useBy time.Time
				if tc.useBy != 0 {
					useBy = time.Now().Add(tc.useBy)
				}
				s := Services{Fresh: Fresh(dial)}
				_, err := s.Call(t.Context(), serverAddr, idempotentPost(t), useBy)
				quicktest.Check(t, verd.From(err).Verdict, quicktest.Equals, tc.verdict)
				quicktest.Check(t, engine.FailureOf(err), quicktest.Satisfies, func(f engine.Failure) bool {
					return sameType(f, tc.failure)
				})
				time.Sleep(2 * Silence) // A hanging dial ends after Silence.
			})
		})
	}
}

func sameType(a, b engine.Failure) bool {
	switch a.(type) {
	case *engine.Refused:
		_, ok := b.(*engine.Refused)
		return ok
	case *engine.Broken:
		_, ok := b.(*engine.Broken)
		return ok
	case *engine.Unreachable:
		_, ok := b.(*engine.Unreachable)
		return ok
	default:
		return false
	}
}
