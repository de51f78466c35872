// Package prompt extracts from a caller's request what scheduling needs: the model, the
// estimated number of tokens and the hashes of the prompt's prefix.
package prompt

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

const (
	// BytesPerToken is the ratio used to estimate the number of tokens.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one block of the prefix cache.
	BlockTokens = 256
	// maxPrefixBlocks bounds the number of prefix hashes of a request.
	maxPrefixBlocks = 64
	// defaultOutputTokens is the output limit of a request that doesn't set one.
	defaultOutputTokens = 512
	// MaxOutputTokens is the largest output limit that a request may set.
	MaxOutputTokens = 1 << 20
)

// Request describes a model request.
type Request struct {
	Model  string
	Stream bool
	// Tokens is the estimated number of prompt tokens.
	Tokens int
	// Output is the limit of output tokens.
	Output int
	// Prefix holds one chained hash for each whole block of the prompt, for at most
	// maxPrefixBlocks blocks.
	Prefix []uint64
}

// requestBody holds the fields of the OpenAI request formats that Parse reads.
type requestBody struct {
	Model               string     `json:"model"`
	Stream              bool       `json:"stream"`
	MaxTokens           *int       `json:"max_tokens"`
	MaxCompletionTokens *int       `json:"max_completion_tokens"`
	Prompt              promptText `json:"prompt"`
	Messages            promptText `json:"messages"`
}

// promptText is the size and the prefix hashes of a JSON value, without a copy of its text.
type promptText struct {
	// bytes is the size of the JSON encoding; 0 means that the field is absent.
	bytes        int
	prefixHashes []uint64
}

// UnmarshalJSON sets the size and the hashes from the JSON value b.
func (t *promptText) UnmarshalJSON(b []byte) error {
	t.bytes, t.prefixHashes = len(b), blockHashes(b)
	return nil
}

// Parse parses the body of a completion or chat completion request. Its errors have the
// verdict NotRun.
func Parse(b []byte) (*Request, error) {
	var body requestBody
	if err := json.Unmarshal(b, &body); err != nil {
		return nil, verd.Wrap(err, verd.NotRun, verd.BadRequest, "request body")
	}
	if body.Model == "" {
		return nil, fieldError("model", "missing")
	}
	text := body.Messages
	if text.bytes == 0 {
		text = body.Prompt
	}
	if text.bytes == 0 {
		return nil, fieldError("messages", "messages or prompt is required")
	}
	maxOutput, err := outputLimit(body)
	if err != nil {
		return nil, err
	}
	return &Request{
		Model:  body.Model,
		Stream: body.Stream,
		Tokens: (text.bytes + BytesPerToken - 1) / BytesPerToken,
		Output: maxOutput,
		Prefix: text.prefixHashes,
	}, nil
}

// outputLimit returns the limit of output tokens that the request sets, or the default.
func outputLimit(body requestBody) (int, error) {
	n := body.MaxCompletionTokens
	name := "max_completion_tokens"
	if n == nil {
		n, name = body.MaxTokens, "max_tokens"
	}
	switch {
	case n == nil:
		return defaultOutputTokens, nil
	case *n <= 0:
		return 0, fieldError(name, "not positive")
	case *n > MaxOutputTokens:
		return 0, fieldError(name, "too large")
	default:
		return *n, nil
	}
}

// fieldError returns a BadRequest error for the named field.
func fieldError(name, msg string) error {
	e := verd.New(verd.NotRun, verd.BadRequest, "%s: %s", name, msg)
	e.Field = name
	return e
}

// blockHashes returns one hash for each whole block of text. Each hash covers the previous
// one, so two prompts share a hash only if they are equal up to the end of its block.
func blockHashes(text []byte) []uint64 {
	const size = BlockTokens * BytesPerToken
	var out []uint64
	var previous [8]byte
	for len(text) >= size && len(out) < maxPrefixBlocks {
		d := xxhash.New()
		_, _ = d.Write(previous[:]) // Writing to a hash never fails.
		_, _ = d.Write(text[:size])
		h := d.Sum64()
		binary.LittleEndian.PutUint64(previous[:], h)
		out = append(out, h)
		text = text[size:]
	}
	return out
}
