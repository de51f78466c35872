package policy

import (
	"math"
	"time"
)

// attentionUnit is the number of tokens of context that Model.Attention is stated for.
const attentionUnit = 1000

const (
	// learningRate is the weight of one observation.
	learningRate = 0.05
	// minSamples is the number of first tokens, and of answers, that must be observed
	// before requests are refused by predictions.
	minSamples = 32
	// maxObservedRatio bounds the ratio of an observation to its prediction, and its
	// inverse.
	maxObservedRatio = 4
	// maxLearntFactor bounds every learnt factor, and its inverse.
	maxLearntFactor = 16
)

// Model predicts engine time. Its formulas are fixed; it learns a factor for each of the
// two terms of the prefill time, the inter-token latency and the typical length of
// answers.
type Model struct {
	// Linear is the prefill time of one prompt token outside of attention.
	Linear time.Duration
	// Attention is the prefill time in which one prompt token attends to 1,000 tokens.
	Attention time.Duration
	// TokenLatency is the time between two answer tokens. Index 1 is for engines with a
	// long prompt in prefill, index 0 for others.
	TokenLatency [2]time.Duration

	// logLength is the logarithm of the typical ratio of an answer's length to the
	// longest answer that was requested.
	logLength float64
	// prefillSamples and answerSamples count the observations.
	prefillSamples, answerSamples int
	// logLinear and logAttention are the logarithms of the learnt factors.
	logLinear, logAttention float64
}

// DefaultModel returns the model that applies before any engine has been observed.
func DefaultModel() Model {
	return Model{
		Linear:       25 * time.Microsecond,
		Attention:    200 * time.Nanosecond,
		TokenLatency: [2]time.Duration{20 * time.Millisecond, 60 * time.Millisecond},
	}
}

// Scale returns the model with every time multiplied by f.
func (m Model) Scale(f float64) Model {
	m.Linear = scale(m.Linear, f)
	m.Attention = scale(m.Attention, f)
	m.TokenLatency = [2]time.Duration{scale(m.TokenLatency[0], f), scale(m.TokenLatency[1], f)}
	return m
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// Prefill returns the time to prefill a prompt of which cached tokens are in the prefix
// cache.
func (m *Model) Prefill(prompt, cached int) time.Duration {
	return m.linearPart(prompt, cached) + m.attentionPart(prompt, cached)
}

func (m *Model) linearPart(prompt, cached int) time.Duration {
	return scale(time.Duration(prompt-cached)*m.Linear, math.Exp(m.logLinear))
}

func (m *Model) attentionPart(prompt, cached int) time.Duration {
	p, c := float64(prompt), float64(cached)
	return scale(m.Attention, (p*p-c*c)/2/attentionUnit*math.Exp(m.logAttention))
}

// Answer returns the time to generate the given number of tokens.
func (m *Model) Answer(output int, besideLong bool) time.Duration {
	return time.Duration(output) * m.TokenLatency[boolIndex(besideLong)]
}

// ExpectedAnswer returns the time to generate an answer of typical length; output is the
// longest that was requested, in tokens.
func (m *Model) ExpectedAnswer(output int, besideLong bool) time.Duration {
	return scale(m.Answer(output, besideLong), math.Exp(m.logLength))
}

// observeAnswerLength learns the typical ratio of an answer's length to the longest
// answer that was requested.
func (m *Model) observeAnswerLength(tokens, asked int) {
	if tokens > 0 && asked > 0 {
		m.logLength += learningRate * (math.Log(min(float64(tokens)/float64(asked), 1)) - m.logLength)
	}
}

// boolIndex returns 1 for true and 0 for false.
func boolIndex(b bool) int {
	if b {
		return 1
	}
	return 0
}

// observePrefill learns from the time to a first token and returns its ratio to the
// prediction. The wait is the predicted time for other requests; its error is assumed to
// be in the same proportion.
func (m *Model) observePrefill(prompt, cached, engines int, wait, first time.Duration) float64 {
	m.prefillSamples++
	lin := m.linearPart(prompt, cached) / time.Duration(engines)
	att := m.attentionPart(prompt, cached) / time.Duration(engines)
	ratio := clampRatio(float64(first) / float64(wait+lin+att))
	step := learningRate * math.Log(ratio)
	if att > lin {
		m.logAttention = clampLogFactor(m.logAttention + 2*step)
	} else {
		m.logLinear = clampLogFactor(m.logLinear + step)
	}
	return ratio
}

// observeTokenLatency learns the time between answer tokens.
func (m *Model) observeTokenLatency(tokens int, took time.Duration, besideLong bool) {
	if tokens <= 0 || took <= 0 {
		return
	}
	m.answerSamples++
	t := &m.TokenLatency[boolIndex(besideLong)]
	ratio := clampRatio(float64(took) / float64(tokens) / float64(*t))
	*t = scale(*t, math.Exp(learningRate*math.Log(ratio)))
}

// trained reports whether the model has seen enough to refuse requests by its
// predictions.
func (m *Model) trained() bool {
	return m.prefillSamples >= minSamples && m.answerSamples >= minSamples
}

// clampRatio limits the ratio of an observation to its prediction; NaN becomes 1.
func clampRatio(r float64) float64 {
	if math.IsNaN(r) {
		return 1
	}
	return min(max(r, 1.0/maxObservedRatio), maxObservedRatio)
}

// clampLogFactor limits the logarithm of a learnt factor.
func clampLogFactor(s float64) float64 {
	limit := math.Log(maxLearntFactor)
	return min(max(s, -limit), limit)
}
