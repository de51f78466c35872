// Package fake provides simulated targets for tests and for trying out the system.
package fake

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// endedRetention is how long the answer of an ended request can be resumed.
	endedRetention = 10 * time.Second
	// maxRequestBytes is the maximum size of a request body.
	maxRequestBytes = 1 << 30
)

// Costs is the cost model of an Engine.
type Costs struct {
	// Prefill is the time to prefill one prompt token.
	Prefill time.Duration
	// Decode is the time of a decode step, regardless of the batch size.
	Decode time.Duration
}

// Engine simulates a model engine with continuous batching, a prefix cache in limited
// memory, priorities, resumable streams and cancellation.
type Engine struct {
	Target engine.Target
	Costs  Costs
	// Client calls the peers that reserve the other shares of a prompt. If it is nil, these
	// shares are not reserved.
	Client *http.Client
	// Orders executes the orders to load models and to change the role.
	Orders Orders

	mu    sync.Mutex
	batch batch
	cache cache
	// shares is the memory reserved for requests that run on other engines, by grant.
	shares map[string]engine.Holding
	// endedJobs are the ended requests whose answers are kept, by ID; endedOrder lists
	// them in the order in which they ended.
	endedJobs  map[string]*job
	endedOrder []*job
	// maxEpoch is the highest epoch of any admitted request.
	maxEpoch uint64
	faults   Faults
	reports  []timedReport
	admitted int
}

// ServeHTTP serves the engine protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.failRequest(r) {
		return
	}
	if id := r.Header.Get(httpx.HeaderID); id != "" {
		w.Header().Set(httpx.HeaderID, id)
	}
	streamID := strings.TrimPrefix(r.URL.Path, httpx.PathStreams)
	isStream := streamID != r.URL.Path
	switch {
	case isOrder(r):
		e.Orders.ServeHTTP(w, r)
	case r.Method == http.MethodPost && r.URL.Path == httpx.PathGenerate:
		e.generate(w, r)
	case r.Method == http.MethodGet && r.URL.Path == httpx.PathHoldings:
		writeJSON(w, e.Holdings())
	case r.Method == http.MethodGet && r.URL.Path == httpx.PathEvents:
		e.sendEvents(w, r)
	case r.Method == http.MethodPost && r.URL.Path == httpx.PathShares:
		e.reserveShare(w, r)
	case r.Method == http.MethodGet && strings.HasPrefix(r.URL.Path, httpx.PathKV):
		e.exportKV(w, strings.TrimPrefix(r.URL.Path, httpx.PathKV))
	case r.Method == http.MethodPost && r.URL.Path == httpx.PathKV:
		e.importKV(w, r)
	case r.Method == http.MethodGet && isStream:
		e.resume(w, r, streamID)
	case r.Method == http.MethodDelete && isStream:
		e.cancel(streamID)
		w.WriteHeader(http.StatusNoContent)
	default:
		http.NotFound(w, r)
	}
}

// Held returns the memory in use by requests and shares, in tokens.
func (e *Engine) Held() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedTokens()
}

// usedTokens returns the same as Held. The caller holds e.mu.
func (e *Engine) usedTokens() int {
	n := e.batch.memory()
	for _, s := range e.shares {
		n += s.Tokens
	}
	return n
}

// Runs returns the number of requests that the engine has admitted.
func (e *Engine) Runs() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.admitted
}

// Holdings returns the memory of requests and shares, sorted by grant.
func (e *Engine) Holdings() []engine.Holding {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := []engine.Holding{}
	for _, j := range e.batch.jobs {
		out = append(out, engine.Holding{Grant: j.grant, ID: j.id, Epoch: j.epoch, Tokens: j.memory})
	}
	for _, s := range e.shares {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b engine.Holding) int { return strings.Compare(a.Grant, b.Grant) })
	return out
}

// generate admits a request, reserves its shares on peers and streams its answer.
func (e *Engine) generate(w http.ResponseWriter, r *http.Request) {
	j, err := parseJob(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if err := e.admit(j); err != nil {
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	if err := e.reservePeers(r.Context(), j); err != nil {
		e.cancel(j.grant)
		refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	e.startJob(j)
	e.sendStream(w, r, j, j.first)
}

// admit checks the epoch and the grant of a request and reserves memory for it.
func (e *Engine) admit(j *job) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.Target.Fencing && !e.faults.IgnoreFencing && j.epoch < e.maxEpoch {
		return fmt.Errorf("epoch %d of grant %s is older than the latest epoch %d", j.epoch, j.grant, e.maxEpoch)
	}
	used := e.usedTokens()
	if used+j.memory > e.Target.Memory {
		return fmt.Errorf("out of memory: grant %s needs %d tokens, %d of %d are in use", j.grant, j.memory, used, e.Target.Memory)
	}
	if e.batch.findGrant(j.grant) != nil {
		return fmt.Errorf("grant %s is already in use", j.grant)
	}
	e.maxEpoch = max(e.maxEpoch, j.epoch)
	e.admitted++
	e.cache.shrink(e.Target.Memory - used - j.memory)
	j.reused = e.cache.match(j.prefix, j.prompt)
	j.remaining = j.prompt - j.reused
	e.batch.jobs = append(e.batch.jobs, j)
	return nil
}

// resume streams the answer of a running or recently ended request from an offset on.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request, id string) {
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		http.Error(w, "query parameter offset must be a non-negative integer", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	j := e.batch.findID(id)
	if j == nil {
		j = e.endedJobs[id]
	}
	e.mu.Unlock()
	if j == nil || offset < j.first {
		http.Error(w, fmt.Sprintf("request %q has no stream from offset %d", id, offset), http.StatusNotFound)
		return
	}
	e.sendStream(w, r, j, offset)
}

// cancel ends the request of a grant or releases its share. It is idempotent.
func (e *Engine) cancel(grant string) {
	e.mu.Lock()
	j := e.batch.findGrant(grant)
	delete(e.shares, grant)
	if j != nil {
		e.endJob(j)
	}
	e.mu.Unlock()
	if j != nil {
		j.finish(engine.Chunk{ID: j.id, Offset: j.nextOffset(), Error: "cancelled"})
		e.releasePeers(j)
	}
}

// endJob releases the memory of a request and keeps its answer for endedRetention. The
// caller holds e.mu.
func (e *Engine) endJob(j *job) {
	e.batch.remove(j)
	if e.endedJobs == nil {
		e.endedJobs = make(map[string]*job)
	}
	for len(e.endedOrder) > 0 && time.Since(e.endedOrder[0].endedAt) > endedRetention {
		if oldest := e.endedOrder[0]; e.endedJobs[oldest.id] == oldest {
			delete(e.endedJobs, oldest.id)
		}
		e.endedOrder = e.endedOrder[1:]
	}
	j.endedAt = time.Now()
	e.endedJobs[j.id] = j
	e.endedOrder = append(e.endedOrder, j)
}

// sendEvents sends the cache events after a number that are still kept.
func (e *Engine) sendEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "query parameter after must be an event number", http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	out := e.cache.since(after)
	e.mu.Unlock()
	writeJSON(w, out)
}

// refuse responds that the request was not executed.
func refuse(w http.ResponseWriter, status int, msg string) {
	w.Header().Set(verd.Header, verd.NotRun.String())
	http.Error(w, msg, status)
}

// writeJSON writes a value as JSON. An error means that the client has disconnected.
func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// readBody reads a request body of at most maxRequestBytes.
func readBody(r *http.Request) ([]byte, error) {
	return io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
}
