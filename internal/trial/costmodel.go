package trial

import "time"

// CostModel gives the step times of a simulated engine with continuous batching. One step
// prefills up to ChunkTokens prompt tokens and decodes one token of every running
// answer; its time is the sum of the parts below.
type CostModel struct {
	// Step is the fixed time of a step, for reading weights and launching kernels.
	Step time.Duration
	// Linear is the prefill time of one prompt token without attention.
	Linear time.Duration
	// Attention is the time for one prompt token to attend to unitTokens tokens.
	Attention time.Duration
	// Sequence is the time that decoding one answer adds to a step.
	Sequence time.Duration
	// KV is the time to read unitTokens tokens of KV cache in a step.
	KV time.Duration
	// ChunkTokens is the largest number of prompt tokens in one step.
	ChunkTokens int
	// Memory is the capacity of the KV cache in tokens.
	Memory int
}

// unitTokens is the number of tokens that Attention and KV refer to.
const unitTokens = 1000

// DefaultCostModel returns the model of an engine with four accelerators. The longest
// prompts need over twice its memory. docs/design/decisions.md gives the reasons for
// its figures.
func DefaultCostModel() CostModel {
	return CostModel{
		Step:        4 * time.Millisecond,
		Linear:      20 * time.Microsecond,
		Attention:   200 * time.Nanosecond,
		Sequence:    40 * time.Microsecond,
		KV:          10 * time.Microsecond,
		ChunkTokens: 1024,
		Memory:      450_000,
	}
}

// Scale returns the model with all times multiplied by f.
func (c CostModel) Scale(f float64) CostModel {
	for _, d := range []*time.Duration{&c.Step, &c.Linear, &c.Attention, &c.Sequence, &c.KV} {
		*d = time.Duration(float64(*d) * f)
	}
	return c
}

// prefill returns the time to prefill n prompt tokens after offset earlier ones on each
// of the given number of engines, which share one prompt.
func (c CostModel) prefill(n, offset, engines int) time.Duration {
	attention := float64(n) * (float64(offset) + float64(n)/2) * float64(engines) / unitTokens
	return time.Duration(n)*c.Linear + time.Duration(attention*float64(c.Attention))
}

// decode returns the time that decoding adds to a step: one token for each sequence,
// which reads kv tokens of KV cache in total.
func (c CostModel) decode(sequences, kv int) time.Duration {
	return time.Duration(sequences)*c.Sequence + time.Duration(float64(kv)/unitTokens*float64(c.KV))
}

// engineTime returns the time that a request takes alone on one engine with an empty
// prefix cache.
func (c CostModel) engineTime(prompt, output int) time.Duration {
	return c.prefill(prompt, 0, 1) + time.Duration(output)*c.decode(1, prompt)
}
