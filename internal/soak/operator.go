package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/gate"
	"github.com/bambooproxy/bambooproxy/internal/hop"
	"github.com/bambooproxy/bambooproxy/internal/site"
	"github.com/bambooproxy/bambooproxy/platform"
)

const (
	// changeInterval, readInterval and probeInterval are the mean pauses between changes,
	// reads and probes.
	changeInterval = 600 * time.Millisecond
	readInterval   = 150 * time.Millisecond
	probeInterval  = 50 * time.Millisecond
	// applyBound is how long after its acknowledgement an entry may take to apply a change.
	applyBound = 2 * time.Second
)

// Operator changes the tables, reads them back, and probes which version each entry uses.
type Operator struct {
	Endpoint
	Recorder        *Recorder
	Disturbances    *Disturbances
	ControlAddrs    []string
	Entries         []*Process
	CheckTimeBounds bool
	Seed            uint64

	client      *http.Client
	probeClient *hop.Client

	mu       sync.Mutex
	lastSent int64
	sentDocs map[int64][]byte
	// acked is the highest acknowledged version, ackedAt the time of each acknowledgement.
	acked      int64
	ackedAt    map[int64]time.Time
	probeCount int
	// maxUsed is the highest version that each incarnation of an entry was seen to use.
	maxUsed map[string]int64
}

// Run sends changes, reads and probes until ctx ends.
func (o *Operator) Run(ctx context.Context) {
	o.client = newClient(o.ProcessHost())
	o.probeClient = &hop.Client{Dial: dialFrom(o.ProcessHost())}
	o.sentDocs, o.ackedAt, o.maxUsed = make(map[int64][]byte), make(map[int64]time.Time), make(map[string]int64)
	var wg sync.WaitGroup
	for i, f := range []func(context.Context, *rand.Rand){o.runChanges, o.runChanges, o.runReads, o.runProbes} {
		wg.Go(func() { f(ctx, rand.New(rand.NewPCG(o.Seed, uint64(100+i)))) })
	}
	wg.Wait()
	o.probeClient.Close()
}

// runChanges sends new versions, some of them invalid, in bursts and singly. Run starts
// it twice, so that changes are concurrent.
func (o *Operator) runChanges(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		switch {
		case rng.Float64() < 0.1:
			o.sendInvalid(ctx, rng)
		default:
			o.sendChange(ctx, rng)
		}
		if rng.Float64() < 0.7 {
			sleep(ctx, time.Duration(rng.ExpFloat64()*float64(2*changeInterval)))
		}
	}
}

// sendChange sends the next version and retries until it is acknowledged.
func (o *Operator) sendChange(ctx context.Context, rng *rand.Rand) {
	o.mu.Lock()
	o.lastSent++
	v := o.lastSent
	doc, err := platform.EncodeTables(tables(v))
	o.sentDocs[v] = doc
	o.mu.Unlock()
	if err != nil {
		o.Recorder.AddViolation("soak", "encode the tables of version %d: %v", v, err)
		return
	}
	for ctx.Err() == nil {
		status, ok := o.submit(ctx, rng, doc)
		switch {
		case ok && status == http.StatusOK:
			o.mu.Lock()
			o.acked, o.ackedAt[v] = max(o.acked, v), time.Now()
			o.mu.Unlock()
			o.Recorder.CountOutcome("changes")
			return
		case ok && status/100 == 4:
			o.Recorder.AddViolation("configuration", "valid version %d was answered with status %d", v, status)
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// sendInvalid sends tables that must not be acknowledged.
func (o *Operator) sendInvalid(ctx context.Context, rng *rand.Rand) {
	o.mu.Lock()
	t := tables(o.lastSent + 1000)
	o.mu.Unlock()
	switch rng.IntN(3) {
	case 0:
		t.Routes[0].Split[0].Pool = "unknown"
	case 1:
		t.Routes[0].Limit = 0
	case 2:
		t.Routes = append(t.Routes, t.Routes[0])
	}
	doc, err := platform.EncodeTables(t)
	if err != nil {
		o.Recorder.AddViolation("soak", "encode invalid tables: %v", err)
		return
	}
	if status, ok := o.submit(ctx, rng, doc); ok && status/100 != 4 && status < 500 {
		o.Recorder.AddViolation("configuration", "an invalid configuration was answered with status %d", status)
	}
}

// submit sends a document to a random control instance. It returns false if no response
// arrives.
func (o *Operator) submit(ctx context.Context, rng *rand.Rand, doc []byte) (status int, ok bool) {
	url := "http://" + o.ControlAddrs[rng.IntN(len(o.ControlAddrs))] + platform.ConfigPath
	status, _, err := doCall(ctx, o.client, http.MethodPut, url, doc)
	return status, err == nil
}

// runReads reads the tables at random control instances.
func (o *Operator) runReads(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		o.Read(ctx, o.ControlAddrs[rng.IntN(len(o.ControlAddrs))])
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(readInterval)))
	}
}

// Read reads the tables at a control instance and checks that they are at least as new as
// the last version acknowledged before the read, and byte for byte as sent. It reports
// whether the read succeeded.
func (o *Operator) Read(ctx context.Context, addr string) bool {
	o.mu.Lock()
	minVersion := o.acked
	o.mu.Unlock()
	status, b, err := doCall(ctx, o.client, http.MethodGet, "http://"+addr+platform.ConfigPath, nil)
	if err != nil || status != http.StatusOK {
		return false
	}
	var got struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(b, &got); err != nil {
		o.Recorder.AddViolation("configuration", "%s returned a malformed configuration: %v", addr, err)
		return true
	}
	o.mu.Lock()
	doc := o.sentDocs[got.Version]
	o.mu.Unlock()
	switch {
	case got.Version < minVersion:
		o.Recorder.AddViolation("configuration", "%s returned version %d after version %d had been acknowledged", addr, got.Version, minVersion)
	case !bytes.Equal(b, doc):
		o.Recorder.AddViolation("configuration", "%s returned version %d with other content than was sent", addr, got.Version)
	}
	o.Recorder.CountOutcome("reads")
	return true
}

// runProbes probes random entries.
func (o *Operator) runProbes(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		o.probe(ctx, o.Entries[rng.IntN(len(o.Entries))], rng)
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(probeInterval)))
	}
}

// probe sends a request to the route that one version of the tables adds, and so finds
// out whether the entry uses that version. It checks that no incarnation goes back to an
// older version and, with CheckTimeBounds, that acknowledged versions are applied in time.
func (o *Operator) probe(ctx context.Context, p *Process, rng *rand.Rand) {
	incarnation := p.Incarnation()
	o.mu.Lock()
	o.probeCount++
	id := fmt.Sprintf("%x-probe-%d", o.Seed, o.probeCount)
	v := max(1, o.lastSent-rng.Int64N(keptVersions/2))
	maxUsed, ackedAt := o.maxUsed[incarnation], o.ackedAt[v]
	o.mu.Unlock()
	began := time.Now()
	a := &attempt{kind: site.Idempotent, path: versionPath(v) + "x", body: "probe"}
	o.Recorder.RecordSent(id, a)
	probeCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	resp, err := o.probeClient.Do(probeCtx, p.ProxyAddr(callersPort), &hop.Request{
		Method: http.MethodPost, URI: a.path, Host: hostName, Header: platform.EncodeCall(gate.CallInfo{ID: id, TimeLimit: requestTimeout}), Body: []byte(a.body), NewConn: true,
	})
	if err != nil {
		return
	}
	resp.Close(false)
	if p.Incarnation() != incarnation || resp.StatusCode == http.StatusServiceUnavailable {
		return
	}
	o.Recorder.CountOutcome("probes")
	if resp.StatusCode != http.StatusNotFound {
		o.mu.Lock()
		o.maxUsed[incarnation] = max(o.maxUsed[incarnation], v)
		o.mu.Unlock()
		return
	}
	if v <= maxUsed {
		o.Recorder.AddViolation("configuration", "%s used version %d and no longer has the route of version %d", incarnation, maxUsed, v)
	}
	if o.CheckTimeBounds && !ackedAt.IsZero() && began.Sub(ackedAt) > applyBound && o.Disturbances.IsUndisturbed(began, p.ProcessHost(), controlPlaneName) {
		o.Recorder.AddViolation("configuration", "%s does not have the route of version %d %.3f s after its acknowledgement", incarnation, v, began.Sub(ackedAt).Seconds())
	}
}
