package engine

import (
	"context"
	"io"
	"time"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Generate is a request to an engine to generate the completion of a prompt.
type Generate struct {
	// ID identifies the request. A response with another ID belongs to another request.
	ID string
	// Grant identifies the KV cache reservation of the request.
	Grant string
	// Epoch is the epoch of the scheduler's lease. Engines reject older epochs.
	Epoch uint64
	// Priority orders requests within the engine; lower values run first.
	Priority int
	// Body is the body of the caller's request, unchanged.
	Body io.Reader
	// Size is the length of Body in bytes.
	Size int64
	// Path is the URL path of the caller's request, which determines the format of Body.
	Path string
	// PromptTokens is the scheduler's estimate of the prompt length.
	PromptTokens int
	// MaxTokens limits the length of the completion.
	MaxTokens int
	// Prior is the part of the completion that another engine already generated.
	Prior string
	// Offset is the number of completion tokens in Prior.
	Offset int
	// Peers are the addresses of other engines that prefill and store part of the prompt.
	Peers []string
	// UseBy is the deadline for establishing the connection, after which nothing is sent; the
	// grant is void if unused by then. The zero time means no deadline.
	UseBy time.Time
	// Fresh requires a newly dialled connection instead of a pooled one.
	Fresh bool
}

// Chunk is one part of a streamed completion. The zero value is a heartbeat.
type Chunk struct {
	ID string `json:"id"`
	// Offset is the number of completion tokens before this chunk.
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Tokens is the number of tokens in Text.
	Tokens int `json:"tokens,omitempty"`
	// End marks the last chunk of a complete response; Usage is set with it.
	End    bool   `json:"end,omitempty"`
	Finish string `json:"finish,omitempty"`
	Usage  *Usage `json:"usage,omitempty"`
	// Error is the reason why the engine aborted the request.
	Error string `json:"error,omitempty"`
}

// Heartbeat reports whether the chunk is a keep-alive without content.
func (c *Chunk) Heartbeat() bool { return c.ID == "" }

// Check returns an error for the first invalid field.
func (c *Chunk) Check() error {
	switch {
	case c.ID == "":
		return verd.New(verd.MayHaveRun, verd.Target, "chunk has no id")
	case c.Offset < 0 || c.Tokens < 0:
		return verd.New(verd.MayHaveRun, verd.Target, "chunk %q has a negative count: offset %d, tokens %d", c.ID, c.Offset, c.Tokens)
	case c.Text != "" && c.Tokens == 0:
		return verd.New(verd.MayHaveRun, verd.Target, "chunk %q at offset %d has text but a count of 0 tokens", c.ID, c.Offset)
	}
	return nil
}

// Usage counts the tokens of one request.
type Usage struct {
	Prompt     int `json:"prompt_tokens"`
	Completion int `json:"completion_tokens"`
	// Reused is the part of Prompt that was found in the prefix cache.
	Reused int `json:"reused_tokens"`
}

// Stream yields the chunks of a response in the order of arrival. Chunks may be duplicated,
// out of order or part of another response; the reader must check them.
type Stream interface {
	// Next blocks until the next chunk arrives, which may be a heartbeat. Errors wrap a
	// Failure. The end of the connection is returned as *Broken, whether or not the response
	// was complete.
	Next() (Chunk, error)
	io.Closer
}

// Holding is the KV cache memory that an engine has allocated to one grant.
type Holding struct {
	Grant string `json:"grant"`
	ID    string `json:"id"`
	Epoch uint64 `json:"epoch"`
	// Tokens is the allocated memory, in tokens.
	Tokens int `json:"tokens"`
}

// CacheEvent is a change of an engine's prefix cache. Events arrive with a delay; a gap in
// Number means that events were lost.
type CacheEvent struct {
	Number uint64 `json:"number"`
	// Stored and Evicted are chained hashes of prompt blocks: each hash covers all blocks
	// before it.
	Stored  []uint64 `json:"stored,omitempty"`
	Evicted []uint64 `json:"evicted,omitempty"`
}

// KV identifies the KV cache of a prompt by the hashes of its blocks.
type KV struct {
	Blocks []uint64 `json:"blocks"`
}

// Engine is the client for engines. Errors carry a verdict and wrap a Failure.
type Engine interface {
	// Generate starts a request and opens the stream of its response.
	Generate(ctx context.Context, addr string, g Generate) (Stream, error)
	// Resume reopens the stream of a running or recently finished request, starting at a
	// token offset, on a newly dialled connection.
	Resume(ctx context.Context, addr, id string, offset int) (Stream, error)
	// Cancel aborts a request and frees its memory. It is idempotent.
	Cancel(ctx context.Context, addr, grant string) error
	// Holdings lists the memory allocated to each grant. It uses a newly dialled connection.
	Holdings(ctx context.Context, addr string) ([]Holding, error)
	// Events lists the cache events with a number above after, as far back as the engine
	// retains them.
	Events(ctx context.Context, addr string, after uint64) ([]CacheEvent, error)
	// Export reads the KV cache of a request.
	Export(ctx context.Context, addr, id string) (KV, error)
	// Import loads the KV cache of a request into an engine.
	Import(ctx context.Context, addr string, kv KV) error
}
