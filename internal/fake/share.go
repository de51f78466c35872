package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/prompt"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// peerTimeout bounds the calls to all peers of one request together.
const peerTimeout = 2 * time.Second

// reserveShare reserves memory for a request that runs on another engine.
func (e *Engine) reserveShare(w http.ResponseWriter, r *http.Request) {
	var h engine.Holding
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&h); err != nil || h.Grant == "" || h.Tokens < 0 {
		refuse(w, http.StatusBadRequest, "request body is not a valid share")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, ok := e.shares[h.Grant]; !ok && e.usedTokens()+h.Tokens > e.Target.Memory {
		refuse(w, http.StatusServiceUnavailable, fmt.Sprintf("out of memory: share of grant %s needs %d tokens", h.Grant, h.Tokens))
		return
	}
	if e.shares == nil {
		e.shares = make(map[string]engine.Holding)
	}
	e.shares[h.Grant] = h
	e.cache.shrink(e.Target.Memory - e.usedTokens())
	w.WriteHeader(http.StatusNoContent)
}

// reservePeers reserves the shares of a request on its peers.
func (e *Engine) reservePeers(ctx context.Context, j *job) error {
	if e.Client == nil {
		return nil
	}
	ctx, stop := context.WithTimeout(ctx, peerTimeout)
	defer stop()
	b, err := json.Marshal(engine.Holding{Grant: j.grant, ID: j.id, Epoch: j.epoch, Tokens: j.memory})
	if err != nil {
		return err
	}
	for _, addr := range j.peers {
		if err := e.callPeer(ctx, http.MethodPost, addr, httpx.PathShares, b); err != nil {
			return err
		}
	}
	return nil
}

// releasePeers releases the shares of a request on its peers. The scheduler finds shares
// on peers that can't be reached.
func (e *Engine) releasePeers(j *job) {
	if e.Client == nil {
		return
	}
	ctx, stop := context.WithTimeout(context.Background(), peerTimeout)
	defer stop()
	for _, addr := range j.peers {
		_ = e.callPeer(ctx, http.MethodDelete, addr, httpx.PathStreams+j.grant, nil)
	}
}

// callPeer calls another engine. Any status but 204 is an error.
func (e *Engine) callPeer(ctx context.Context, method, addr, path string, body []byte) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := e.Client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		return fmt.Errorf("peer %s answered %s %s with status %d, expected %d", addr, method, path, resp.StatusCode, http.StatusNoContent)
	}
	return nil
}

// exportKV sends the blocks of the prompt of a request that are cached.
func (e *Engine) exportKV(w http.ResponseWriter, id string) {
	e.mu.Lock()
	j := e.batch.findID(id)
	if j == nil {
		j = e.endedJobs[id]
	}
	var kv engine.KV
	if j != nil {
		kv.Blocks = j.prefix[:e.cache.match(j.prefix, j.prompt)/prompt.BlockTokens]
	}
	e.mu.Unlock()
	if j == nil {
		http.Error(w, fmt.Sprintf("request %q is unknown", id), http.StatusNotFound)
		return
	}
	writeJSON(w, kv)
}

// importKV adds blocks that another engine has prefilled to the cache.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var kv engine.KV
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&kv); err != nil {
		refuse(w, http.StatusBadRequest, "request body is not a valid KV cache")
		return
	}
	e.mu.Lock()
	e.cache.add(kv.Blocks, e.Target.Memory-e.usedTokens())
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
