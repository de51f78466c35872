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
	// changeEvery, readEvery and probeEvery are the mean pauses of the operator.
	changeEvery = 600 * time.Millisecond
	readEvery   = 150 * time.Millisecond
	probeEvery  = 50 * time.Millisecond
	// inForce is how soon after its acknowledgement a change is in force.
	inForce = 2 * time.Second
)

// Operator changes the tables, reads them back, and looks what is in force where.
type Operator struct {
	Place
	Book    *Book
	Touch   *Touch
	Control []string
	Entries []*Process
	Bounds  bool
	Seed    uint64

	client *http.Client
	probes *hop.Client

	mu   sync.Mutex
	sent int64
	docs map[int64][]byte
	// acked is the highest acknowledged version, ackedAt when each one was.
	acked   int64
	ackedAt map[int64]time.Time
	probed  int
	// seen is the highest version that an incarnation of an entry was seen to use.
	seen map[string]int64
}

// Run changes, reads and probes until ctx ends.
func (o *Operator) Run(ctx context.Context) {
	o.client = newClient(o.Own())
	o.probes = &hop.Client{Dial: dialFrom(o.Own())}
	o.docs, o.ackedAt, o.seen = make(map[int64][]byte), make(map[int64]time.Time), make(map[string]int64)
	var wg sync.WaitGroup
	for i, f := range []func(context.Context, *rand.Rand){o.changes, o.changes, o.reads, o.looks} {
		wg.Go(func() { f(ctx, rand.New(rand.NewPCG(o.Seed, uint64(100+i)))) })
	}
	wg.Wait()
	o.probes.Close()
}

// changes sends versions, some of them twice, some invalid, in storms and alone. Two
// operators do so at once.
func (o *Operator) changes(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		switch {
		case rng.Float64() < 0.1:
			o.invalid(ctx, rng)
		default:
			o.change(ctx, rng)
		}
		if rng.Float64() < 0.7 {
			sleep(ctx, time.Duration(rng.ExpFloat64()*float64(2*changeEvery)))
		}
	}
}

// change sends the next version until it is acknowledged.
func (o *Operator) change(ctx context.Context, rng *rand.Rand) {
	o.mu.Lock()
	o.sent++
	v := o.sent
	doc, err := platform.EncodeTables(tables(v))
	o.docs[v] = doc
	o.mu.Unlock()
	if err != nil {
		o.Book.Find("soak", "%v", err)
		return
	}
	for ctx.Err() == nil {
		status, ok := o.put(ctx, rng, doc)
		switch {
		case ok && status == http.StatusOK:
			o.mu.Lock()
			o.acked, o.ackedAt[v] = max(o.acked, v), time.Now()
			o.mu.Unlock()
			o.Book.Count("changes")
			return
		case ok && status/100 == 4:
			o.Book.Find("configuration", "version %d is valid and was answered with %d", v, status)
			return
		}
		sleep(ctx, 50*time.Millisecond)
	}
}

// invalid sends what must never be acknowledged.
func (o *Operator) invalid(ctx context.Context, rng *rand.Rand) {
	o.mu.Lock()
	t := tables(o.sent + 1000)
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
		o.Book.Find("soak", "%v", err)
		return
	}
	if status, ok := o.put(ctx, rng, doc); ok && status/100 != 4 && status < 500 {
		o.Book.Find("configuration", "an invalid configuration was answered with %d", status)
	}
}

// put sends a document to any control instance; ok is false without an answer.
func (o *Operator) put(ctx context.Context, rng *rand.Rand, doc []byte) (status int, ok bool) {
	url := "http://" + o.Control[rng.IntN(len(o.Control))] + platform.ConfigPath
	status, _, err := call(ctx, o.client, http.MethodPut, url, doc)
	return status, err == nil
}

// reads wants no read to be older than what was acknowledged before it.
func (o *Operator) reads(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		o.Read(ctx, o.Control[rng.IntN(len(o.Control))])
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(readEvery)))
	}
}

// Read reads the tables at a control instance. It returns whether they came.
func (o *Operator) Read(ctx context.Context, at string) bool {
	o.mu.Lock()
	least := o.acked
	o.mu.Unlock()
	status, b, err := call(ctx, o.client, http.MethodGet, "http://"+at+platform.ConfigPath, nil)
	if err != nil || status != http.StatusOK {
		return false
	}
	var got struct {
		Version int64 `json:"version"`
	}
	if err := json.Unmarshal(b, &got); err != nil {
		o.Book.Find("configuration", "%s read back what is none: %v", at, err)
		return true
	}
	o.mu.Lock()
	doc := o.docs[got.Version]
	o.mu.Unlock()
	switch {
	case got.Version < least:
		o.Book.Find("configuration", "%s read back version %d after %d was acknowledged", at, got.Version, least)
	case !bytes.Equal(b, doc):
		o.Book.Find("configuration", "%s read back another version %d than was sent", at, got.Version)
	}
	o.Book.Count("reads")
	return true
}

// looks asks entries for routes of single versions.
func (o *Operator) looks(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		o.look(ctx, o.Entries[rng.IntN(len(o.Entries))], rng)
		sleep(ctx, time.Duration(rng.ExpFloat64()*float64(probeEvery)))
	}
}

// look asks an entry for the route of one version: no incarnation goes back behind a
// version that it used, and what was acknowledged is in force in time.
func (o *Operator) look(ctx context.Context, p *Process, rng *rand.Rand) {
	name := p.Incarnation()
	o.mu.Lock()
	o.probed++
	id := fmt.Sprintf("%x-probe-%d", o.Seed, o.probed)
	v := max(1, o.sent-rng.Int64N(keptVersions/2))
	least, ackedAt := o.seen[name], o.ackedAt[v]
	o.mu.Unlock()
	began := time.Now()
	a := &ask{kind: site.Idempotent, path: versionPath(v) + "x", body: "probe"}
	o.Book.Sent(id, a)
	cctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	resp, err := o.probes.Do(cctx, p.At(callersPort), &hop.Request{
		Method: http.MethodPost, URI: a.path, Host: hostName, Header: platform.EncodeCall(gate.CallInfo{ID: id, TimeLimit: limit}), Body: []byte(a.body), NewConn: true,
	})
	if err != nil {
		return
	}
	resp.Close(false)
	if p.Incarnation() != name || resp.StatusCode == http.StatusServiceUnavailable {
		return
	}
	o.Book.Count("probes")
	if resp.StatusCode != http.StatusNotFound {
		o.mu.Lock()
		o.seen[name] = max(o.seen[name], v)
		o.mu.Unlock()
		return
	}
	if v <= least {
		o.Book.Find("configuration", "%s used version %d and does not know %d any more", name, least, v)
	}
	if o.Bounds && !ackedAt.IsZero() && began.Sub(ackedAt) > inForce && o.Touch.IsCalm(began, p.Own(), coreName) {
		o.Book.Find("configuration", "%s does not know version %d %.3f s after its acknowledgement", name, v, began.Sub(ackedAt).Seconds())
	}
}
