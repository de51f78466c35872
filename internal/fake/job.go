package fake

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bambooproxy/bambooproxy/internal/httpx"
	"github.com/bambooproxy/bambooproxy/internal/prompt"
	"github.com/bambooproxy/bambooproxy/pkg/engine"
)

// job is one request in the engine. Its answer is kept when its connection ends.
type job struct {
	id, grant string
	epoch     uint64
	priority  int
	// memory is the memory reserved on this engine, in tokens. Each peer reserves as much.
	memory int
	peers  []string
	// prefix are the hashes of the blocks of the prompt.
	prefix []uint64
	// prompt, reused and remaining count prompt tokens: all, those from the cache, and
	// those left to prefill.
	prompt, reused, remaining int
	// first is the offset of the first token to generate, end the offset after the last.
	first, end int
	endedAt    time.Time

	mu       sync.Mutex
	cond     *sync.Cond
	chunks   []engine.Chunk
	finished bool
}

// parseJob reads a generate request.
func parseJob(r *http.Request) (*job, error) {
	body, err := readBody(r)
	if err != nil {
		return nil, fmt.Errorf("read request body: %w", err)
	}
	h := r.Header
	j := &job{id: h.Get(httpx.HeaderID), grant: h.Get(httpx.HeaderGrant)}
	j.cond = sync.NewCond(&j.mu)
	prior := 0
	for name, dst := range map[string]*int{
		httpx.HeaderTokens: &j.prompt, httpx.HeaderMax: &j.end, httpx.HeaderPriority: &j.priority,
		httpx.HeaderOffset: &j.first, httpx.HeaderPrior: &prior,
	} {
		if *dst, err = parseCount(h.Get(name)); err != nil {
			return nil, fmt.Errorf("header %s: %w", name, err)
		}
	}
	if j.epoch, err = strconv.ParseUint(h.Get(httpx.HeaderEpoch), 10, 64); err != nil {
		return nil, fmt.Errorf("header %s: %w", httpx.HeaderEpoch, err)
	}
	if j.id == "" || j.grant == "" || prior > len(body) {
		return nil, fmt.Errorf("invalid request: ID %q, grant %q, %d prior bytes in a body of %d bytes", j.id, j.grant, prior, len(body))
	}
	if p := h.Get(httpx.HeaderPeers); p != "" {
		j.peers = strings.Split(p, ",")
	}
	engines := len(j.peers) + 1
	j.memory = (j.prompt + j.end + engines - 1) / engines
	if req, err := prompt.Parse(body[prior:]); err == nil {
		j.prefix = req.Prefix
	}
	return j, nil
}

// parseCount parses a non-negative number. An absent header means 0.
func parseCount(s string) (int, error) {
	if s == "" {
		return 0, nil
	}
	n, err := strconv.Atoi(s)
	if err == nil && n < 0 {
		return 0, fmt.Errorf("%d is negative", n)
	}
	return n, err
}

// Word returns the answer token of a request at an offset.
func Word(id string, offset int) string {
	return fmt.Sprintf("%.8s-%d ", id, offset)
}

// Answer returns the complete answer of n tokens to a request, for comparison in tests.
func Answer(id string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Word(id, i))
	}
	return b.String()
}

// nextOffset returns the offset after the last token generated.
func (j *job) nextOffset() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.first + len(j.chunks)
}

// addChunk adds a chunk to the answer and wakes its readers.
func (j *job) addChunk(c engine.Chunk) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.chunks = append(j.chunks, c)
	j.cond.Broadcast()
}

// finish adds the last chunk, unless the job is finished already.
func (j *job) finish(c engine.Chunk) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.finished {
		return
	}
	j.chunks = append(j.chunks, c)
	j.finished = true
	j.cond.Broadcast()
}

// nextChunk waits at most heartbeatInterval for the chunk with index i. If the chunk does
// not exist yet, it returns a heartbeat. It returns false after the last chunk or when ctx
// ends.
func (j *job) nextChunk(ctx context.Context, i int) (c engine.Chunk, ok bool) {
	timedOut := false
	t := time.AfterFunc(heartbeatInterval, func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		timedOut = true
		j.cond.Broadcast()
	})
	defer t.Stop()
	j.mu.Lock()
	defer j.mu.Unlock()
	for i >= len(j.chunks) && !j.finished && !timedOut && ctx.Err() == nil {
		j.cond.Wait()
	}
	switch {
	case ctx.Err() != nil:
		return engine.Chunk{}, false
	case i < len(j.chunks):
		return j.chunks[i], true
	default:
		return engine.Chunk{}, !j.finished
	}
}
