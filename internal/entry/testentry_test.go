package entry

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/memnet"
	"github.com/bambooproxy/bambooproxy/internal/policy"
	"github.com/bambooproxy/bambooproxy/internal/quota"
	"github.com/bambooproxy/bambooproxy/internal/sched"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	selfAddr    = "10.0.0.1:81"
	serviceAddr = "10.1.0.1:80"
)

// fakeScheduler is a scheduler that grants every request, or fails every call with err.
type fakeScheduler struct {
	mu       sync.Mutex
	err      error
	requests int
}

// Call replies to a request for a grant.
func (f *fakeScheduler) Call(_ context.Context, _, _ string, in, out any) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	call, ok := in.(*sched.AskCall)
	if !ok {
		return nil
	}
	f.requests++
	if f.err != nil {
		return f.err
	}
	*out.(*sched.AskReply) = sched.AskReply{Grant: &policy.Grant{
		ID: call.Ask.ID, UseBy: policy.UseBy, Lease: policy.LeaseTime,
		Targets: []engine.Target{{Name: "t1", Addr: serviceAddr, Kind: table.Service}},
	}}
	return nil
}

func (f *fakeScheduler) setError(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.err = err
}

// View returns the view of a site with one instance and one pool of services.
func (f *fakeScheduler) View() *member.View {
	sh := member.Shard{Pool: "orders", DataCentre: "dakar-a"}
	return &member.View{
		Tables: table.Tables{
			Routes: []table.Route{{Name: "orders", Pool: "orders", Limit: table.Duration(10 * time.Second), Once: true}},
			Pools:  []table.Pool{{Name: "orders", Kind: table.Service}},
		},
		Members: []member.Member{{Name: "i1", DataCentre: "dakar-a", PeerAddr: selfAddr, State: member.Serving}},
		Leases:  []member.Lease{{Shard: sh, Holder: "i1", Epoch: 1}},
	}
}

// Live reports that the configuration lease is valid.
func (*fakeScheduler) Live() bool { return true }

// testEntry is an entry in front of one service, with a fake scheduler and ledger.
type testEntry struct {
	*Server
	t         *testing.T
	net       *memnet.Network
	scheduler *fakeScheduler
	ledger    *memLedger
}

// newTestEntry starts an entry and a service that is served by h.
func newTestEntry(t *testing.T, h http.Handler) *testEntry {
	t.Helper()
	e := &testEntry{t: t, net: &memnet.Network{}, scheduler: &fakeScheduler{}, ledger: &memLedger{}}
	dial := func(ctx context.Context, _, addr string) (net.Conn, error) { return e.net.Dialer(selfAddr)(ctx, addr) }
	e.Server = &Server{
		Self: "i1", Incarnation: 1, Members: e.scheduler, Sched: &sched.Client{Members: e.scheduler, Calls: e.scheduler},
		Quota: &quota.Client{Members: e.scheduler, Calls: e.scheduler}, Services: &httpx.Services{Fresh: httpx.Fresh(dial)},
		Ledger: e.ledger, Metrics: metrics.NewRegistry(), Tracer: noop.NewTracerProvider().Tracer("test"), MaxBody: 1 << 20,
	}
	ln, err := e.net.Listen(serviceAddr)
	quicktest.Assert(t, err, quicktest.IsNil)
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() {
		srv.Close()
		e.inFlight.Wait()
		time.Sleep(2 * httpx.Silence)
	})
	return e
}

// send sends one call with an idempotency key, if it isn't empty, and returns the response.
func (e *testEntry) send(ctx context.Context, key, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/orders/renew", strings.NewReader(body))
	r.Header.Set(HeaderOrganisation, "levain")
	if key != "" {
		r.Header.Set(HeaderIdempotencyKey, key)
	}
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

// memLedger is an in-memory ledger with faults to switch on.
type memLedger struct {
	mu    sync.Mutex
	calls map[string]*ledgerRecord
	// failCalls is the number of next calls that fail without effect. loseReplies is the
	// number of calls after them that take effect but return an error.
	failCalls, loseReplies int
}

type ledgerRecord struct {
	call   ledger.Call
	status ledger.CallStatus
}

// setFaults sets how many of the next calls fail, and how many replies after them are lost.
func (m *memLedger) setFaults(failCalls, loseReplies int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.failCalls, m.loseReplies = failCalls, loseReplies
}

// nextFault returns whether this call takes effect, and the error that it returns.
func (m *memLedger) nextFault() (applied bool, err error) {
	switch {
	case m.failCalls > 0:
		m.failCalls--
		return false, verd.New(verd.NotRun, verd.Unreached, "control plane unreachable")
	case m.loseReplies > 0:
		m.loseReplies--
		return true, verd.New(verd.MayHaveRun, verd.Unreached, "reply lost")
	default:
		return true, nil
	}
}

// Begin registers an attempt unless the key has one already.
func (m *memLedger) Begin(_ context.Context, c ledger.Call) (ledger.CallStatus, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied, err := m.nextFault()
	if !applied {
		return ledger.CallStatus{}, err
	}
	if m.calls == nil {
		m.calls = make(map[string]*ledgerRecord)
	}
	r := m.calls[c.Key]
	if r == nil {
		r = &ledgerRecord{call: c, status: ledger.CallStatus{State: ledger.Acquired}}
		m.calls[c.Key] = r
	}
	switch {
	case err != nil:
		return ledger.CallStatus{}, err
	case r.call.Digest != c.Digest:
		return ledger.CallStatus{State: ledger.KeyReused}, nil
	case r.status.State == ledger.Acquired && r.call.Attempt != c.Attempt:
		return ledger.CallStatus{State: ledger.InProgress}, nil
	default:
		return r.status, nil
	}
}

// End records the outcome of an attempt.
func (m *memLedger) End(_ context.Context, c ledger.Call, v verd.Verdict, a *ledger.Response) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	applied, err := m.nextFault()
	r := m.calls[c.Key]
	if !applied || r == nil || r.call.Attempt != c.Attempt {
		return err
	}
	if v == verd.NotRun {
		delete(m.calls, c.Key)
	} else {
		r.status = ledger.CallStatus{State: ledger.Completed, Verdict: v, Response: a}
	}
	return err
}

// Wait waits until the call has ended or ctx ends.
func (m *memLedger) Wait(ctx context.Context, c ledger.Call) (ledger.CallStatus, error) {
	for ctx.Err() == nil {
		m.mu.Lock()
		r := m.calls[c.Key]
		open := r != nil && r.status.State == ledger.Acquired
		m.mu.Unlock()
		if !open {
			return ledger.CallStatus{}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return ledger.CallStatus{}, ctx.Err()
}

// markLost sets the state of a call to orphaned, as after its process has failed.
func (m *memLedger) markLost(key string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.calls[key].status.State = ledger.Orphaned
}
