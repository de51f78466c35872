// Package entry serves the HTTP API for callers and targets. It routes requests, acquires
// grants from the schedulers, proxies the requests to targets and relays the responses.
package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"

	"github.com/bambooproxy/bambooproxy/internal/ledger"
	"github.com/bambooproxy/bambooproxy/internal/member"
	"github.com/bambooproxy/bambooproxy/internal/quota"
	"github.com/bambooproxy/bambooproxy/internal/sched"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/table"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// HeaderOrganisation carries the caller's organisation.
	HeaderOrganisation = "Bamboo-Organisation"
	// HeaderTimeLimit carries the caller's time limit as a duration, such as 30s.
	HeaderTimeLimit = "Bamboo-Time-Limit"
	// HeaderRequestID carries the request id in the response.
	HeaderRequestID = "Bamboo-Request"
	// maxAnnouncement bounds the body of an announcement in bytes.
	maxAnnouncement = 64 << 10
	// announceTimeout bounds the forwarding of an announcement to its scheduler. A target
	// that leaves may get new work for as long as that takes.
	announceTimeout = 2 * time.Second
)

// Server is the HTTP handler of one instance for callers and targets.
type Server struct {
	// Self is the name of this instance.
	Self string
	// Incarnation distinguishes this process from earlier ones of the same instance.
	Incarnation uint64
	Members     member.ViewSource
	Sched       *sched.Client
	Engine      engine.Engine
	// Quota enforces the limits of organisations.
	Quota *quota.Client
	// Services sends calls to services.
	Services engine.Services
	// Ledger records the calls that run at most once.
	Ledger  ledger.Ledger
	Metrics metrics.Registry
	Tracer  trace.Tracer
	Log     *log.Logger
	// CallerAuth and TargetAuth authenticate callers and targets; nil accepts any.
	CallerAuth, TargetAuth Authenticator
	// MaxBody bounds the body of a request in bytes.
	MaxBody int64

	// inFlight counts the requests in flight and the background tasks.
	inFlight    sync.WaitGroup
	draining    atomic.Bool
	grants      activeGrants
	digests     digestCache
	retryBudget retryBudget
}

// StartDraining removes this instance from the list of entries for callers and closes connections
// after the response in progress. Requests are still served.
func (s *Server) StartDraining() { s.draining.Store(true) }

// WaitIdle waits until no request and no background task is in flight, or ctx ends.
func (s *Server) WaitIdle(ctx context.Context) {
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		s.inFlight.Wait()
	}()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// ServeHTTP serves requests of callers and announcements of targets.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(r.Header))
	r = r.WithContext(ctx)
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	switch {
	case r.URL.Path == "/entries" && r.Method == http.MethodGet:
		s.handleEntries(w, r)
	case r.URL.Path == "/targets" && r.Method == http.MethodPost:
		s.handleAnnouncement(w, r)
	case r.URL.Path == "/v1/chat/completions" && r.Method == http.MethodPost,
		r.URL.Path == "/v1/completions" && r.Method == http.MethodPost:
		s.serve(w, r, s.complete)
	default:
		s.serve(w, r, s.forward)
	}
}

// serve runs one request and writes its error response, if any.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, run func(*exchange) error) {
	s.inFlight.Add(1)
	defer s.inFlight.Done()
	x := newExchange(s, w, r)
	ctx, span := s.Tracer.Start(r.Context(), "entry")
	defer span.End()
	x.ctx = ctx
	s.counter("requests").Inc(1)
	err := x.admit()
	if err == nil {
		err = x.run(run)
	}
	x.finish(err)
}

// counter returns the counter "entry." + name.
func (s *Server) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter("entry."+name, s.Metrics)
}

// handleAnnouncement forwards a target's announcement to the scheduler of its shard.
func (s *Server) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	ann, err := readAnnouncement(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	if err != nil {
		writeError(w, verd.From(err))
		return
	}
	if err := s.authoriseTarget(r, &ann.Target); err != nil {
		writeError(w, verd.From(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), announceTimeout)
	defer cancel()
	if err := s.Sched.Announce(ctx, ann); err != nil {
		writeError(w, verd.From(err))
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

// readAnnouncement decodes and checks an announcement.
func readAnnouncement(r io.Reader) (engine.Announcement, error) {
	var ann engine.Announcement
	dec := json.NewDecoder(r)
	dec.DisallowUnknownFields()
	err := dec.Decode(&ann)
	if err == nil {
		err = ann.Check()
	}
	if err == nil {
		return ann, nil
	}
	e := verd.Wrap(err, verd.NotRun, verd.BadRequest, "invalid announcement")
	var fieldErr *table.FieldError
	if errors.As(err, &fieldErr) {
		e.Field = fieldErr.Field
	}
	return ann, e
}

// errorBody is the JSON form of an error, in the format of the OpenAI API.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message string       `json:"message"`
	Type    verd.Reason  `json:"type"`
	Param   string       `json:"param,omitempty"`
	Verdict verd.Verdict `json:"verdict"`
}

// writeError writes e as the response, with its verdict and its Retry-After.
func writeError(w http.ResponseWriter, e *verd.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(verd.Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		secs := int64((e.RetryAfter + time.Second - 1) / time.Second)
		h.Set("Retry-After", strconv.FormatInt(secs, 10))
	}
	w.WriteHeader(e.Reason.Status())
	writeJSON(w, newErrorBody(e))
}

// newErrorBody returns the JSON form of e.
func newErrorBody(e *verd.Error) errorBody {
	return errorBody{Error: errorDetail{Message: e.Message, Type: e.Reason, Param: e.Field, Verdict: e.Verdict}}
}

// writeJSON writes v. An error means that the caller has disconnected and is ignored.
func writeJSON(w http.ResponseWriter, v any) {
	_ = json.NewEncoder(w).Encode(v)
}
