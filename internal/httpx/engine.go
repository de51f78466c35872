// Package httpx calls engines and services over HTTP. It classifies every failure by
// whether the request may have run.
package httpx

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/strict"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// The headers of a request to an engine.
const (
	HeaderID       = "Bamboo-Request"
	HeaderGrant    = "Bamboo-Grant"
	HeaderEpoch    = "Bamboo-Epoch"
	HeaderPriority = "Bamboo-Priority"
	HeaderTokens   = "Bamboo-Prompt-Tokens"
	HeaderMax      = "Bamboo-Max-Tokens"
	HeaderPrior    = "Bamboo-Prior-Bytes"
	HeaderOffset   = "Bamboo-Offset"
	HeaderPeers    = "Bamboo-Peers"
	HeaderPath     = "Bamboo-Path"
)

// The paths that an engine serves.
const (
	PathGenerate = "/engine/generate"
	PathStreams  = "/engine/streams/"
	PathHoldings = "/engine/holdings"
	PathEvents   = "/engine/events"
	PathShares   = "/engine/shares"
	PathKV       = "/engine/kv/"
)

const (
	maxIdlePerEngine = 32
	// idleTimeout closes idle connections before a firewall or NAT drops their state.
	idleTimeout = 15 * time.Second
	// maxResponseBytes bounds the response to a call that is not a stream.
	maxResponseBytes = 64 << 20
)

// DialFunc is the type of http.Transport.DialContext.
type DialFunc = strict.DialFunc

// PooledTransport returns a transport that reuses connections. Dials time out after Silence.
func PooledTransport(dial DialFunc) *strict.Transport {
	return strict.NewTransport(&http.Transport{
		DialContext: withDialTimeout(dial), MaxIdleConnsPerHost: maxIdlePerEngine, IdleConnTimeout: idleTimeout,
	})
}

// Fresh returns a transport that dials a new connection for each request. Dials time
// out after Silence.
func Fresh(dial DialFunc) *strict.Transport {
	return strict.NewTransport(&http.Transport{DialContext: withDialTimeout(dial), DisableKeepAlives: true})
}

// withDialTimeout makes dials time out after Silence, as net/http doesn't cancel a dial
// when its request ends.
func withDialTimeout(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, Silence)
		defer cancel()
		return dial(ctx, network, addr)
	}
}

// Engine is the HTTP client of all engines.
type Engine struct {
	// Pooled reuses connections; it sends new requests.
	Pooled http.RoundTripper
	// Fresh dials for each request; it sends retries after a failure, resumed streams,
	// health checks and all calls that are not streams.
	Fresh http.RoundTripper
}

var _ engine.Engine = (*Engine)(nil)

// Generate starts a request on the engine at addr and returns the stream of its answer.
func (e *Engine) Generate(ctx context.Context, addr string, g engine.Generate) (engine.Stream, error) {
	prior := strings.NewReader(g.Prior)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+PathGenerate, io.MultiReader(prior, g.Body))
	if err != nil {
		return nil, verd.Wrap(err, verd.NotRun, verd.Internal, "build request to engine at %s", addr)
	}
	req.ContentLength = g.Size + prior.Size()
	setGenerateHeaders(req.Header, &g)
	rt := e.Pooled
	if g.Fresh {
		rt = e.Fresh
	}
	return openStream(newExchange(ctx, g.UseBy), rt, req, g.ID)
}

// setGenerateHeaders sets the headers of a new request.
func setGenerateHeaders(h http.Header, g *engine.Generate) {
	h.Set("Content-Type", "application/json")
	h.Set(HeaderID, g.ID)
	h.Set(HeaderGrant, g.Grant)
	h.Set(HeaderEpoch, strconv.FormatUint(g.Epoch, 10))
	h.Set(HeaderPriority, strconv.Itoa(g.Priority))
	h.Set(HeaderTokens, strconv.Itoa(g.PromptTokens))
	h.Set(HeaderMax, strconv.Itoa(g.MaxTokens))
	h.Set(HeaderPath, g.Path)
	if g.Offset > 0 {
		h.Set(HeaderOffset, strconv.Itoa(g.Offset))
		h.Set(HeaderPrior, strconv.Itoa(len(g.Prior)))
	}
	if len(g.Peers) > 0 {
		h.Set(HeaderPeers, strings.Join(g.Peers, ","))
	}
}

// Resume returns the stream of a request that the engine already has, from offset on,
// over a new connection.
func (e *Engine) Resume(ctx context.Context, addr, id string, offset int) (engine.Stream, error) {
	u := fmt.Sprintf("http://%s%s%s?offset=%d", addr, PathStreams, url.PathEscape(id), offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u, nil)
	if err != nil {
		return nil, verd.Wrap(err, verd.MayHaveRun, verd.Internal, "build request to engine at %s", addr)
	}
	return openStream(newExchange(ctx, time.Time{}), e.Fresh, req, id)
}

// openStream sends the request with this ID and returns the stream of its answer. It closes x on
// failure.
func openStream(x *exchange, rt http.RoundTripper, req *http.Request, id string) (engine.Stream, error) {
	resp, err := x.send(rt, req)
	if err != nil {
		x.close()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		defer x.close()
		defer resp.Body.Close()
		if !x.isAnswer(resp, id) {
			return nil, verd.Wrap(&engine.Garbled{Message: "response does not name the request"}, verd.MayHaveRun, verd.Target, "response of target")
		}
		return nil, responseError(resp)
	}
	// Each chunk of an answer names its request.
	return newStream(x, resp), nil
}

// Holdings lists the grants whose memory the engine holds.
func (e *Engine) Holdings(ctx context.Context, addr string) ([]engine.Holding, error) {
	var out []engine.Holding
	err := e.get(ctx, addr, PathHoldings, &out)
	return out, err
}

// Events lists the KV cache events with sequence numbers above after. The engine may have
// discarded the oldest of them.
func (e *Engine) Events(ctx context.Context, addr string, after uint64) ([]engine.CacheEvent, error) {
	var out []engine.CacheEvent
	err := e.get(ctx, addr, PathEvents+"?after="+strconv.FormatUint(after, 10), &out)
	return out, err
}

// Export reads the KV cache of a request.
func (e *Engine) Export(ctx context.Context, addr, id string) (engine.KV, error) {
	var kv engine.KV
	err := e.get(ctx, addr, PathKV+url.PathEscape(id), &kv)
	return kv, err
}

// Import writes the KV cache of a request to the engine at addr.
func (e *Engine) Import(ctx context.Context, addr string, kv engine.KV) error {
	b, err := json.Marshal(kv)
	if err != nil {
		return verd.Wrap(err, verd.NotRun, verd.Internal, "encode KV cache")
	}
	return e.do(ctx, http.MethodPost, addr, PathKV, b, nil)
}

// Cancel ends the request of a grant and frees its memory.
func (e *Engine) Cancel(ctx context.Context, addr, grant string) error {
	return e.do(ctx, http.MethodDelete, addr, PathStreams+url.PathEscape(grant), nil, nil)
}

func (e *Engine) get(ctx context.Context, addr, path string, out any) error {
	return e.do(ctx, http.MethodGet, addr, path, nil, out)
}

// do makes one call over a new connection and decodes the JSON response into out, unless
// out is nil.
func (e *Engine) do(ctx context.Context, method, addr, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return verd.Wrap(err, verd.NotRun, verd.Internal, "build request to engine at %s", addr)
	}
	x := newExchange(ctx, time.Time{})
	defer x.close()
	resp, err := x.send(e.Fresh, req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return responseError(resp)
	}
	if out == nil {
		return nil
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxResponseBytes)).Decode(out); err != nil {
		return verd.Wrap(&engine.Garbled{Message: err.Error()}, verd.MayHaveRun, verd.Target, "decode response of %s at %s", path, addr)
	}
	return nil
}
