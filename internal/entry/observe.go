package entry

import (
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"

	"github.com/bambooproxy/bambooproxy/internal/meter"
	"github.com/bambooproxy/bambooproxy/pkg/verd"
)

// Upper bounds of the prompt length classes, in tokens.
const (
	maxShortTokens  = 4_000
	maxMiddleTokens = 100_000
)

// lengthClass returns the metric label for a prompt length; 0 means a call to a service.
func lengthClass(tokens int) string {
	switch {
	case tokens == 0:
		return "call"
	case tokens <= maxShortTokens:
		return "short"
	case tokens <= maxMiddleTokens:
		return "middle"
	default:
		return "long"
	}
}

// recordFirstToken sets the time to first token, if it isn't set yet.
func (x *exchange) recordFirstToken() {
	if x.firstToken == 0 {
		x.firstToken = time.Since(x.start)
	}
}

// observe records the outcome of the request in the metrics and in its span. e is nil if
// the request succeeded.
func (x *exchange) observe(e *verd.Error) {
	span := trace.SpanFromContext(x.ctx)
	span.SetAttributes(
		attribute.String("bamboo.request", x.id),
		attribute.String("bamboo.organisation", x.org),
		attribute.Int("bamboo.prompt_tokens", x.promptTokens),
	)
	length := lengthClass(x.promptTokens)
	if x.firstToken > 0 {
		meter.Times(meter.Label("entry.first_token", "length", length), x.s.Metrics).Update(int64(x.firstToken))
	}
	if e == nil {
		x.s.counter("ok").Inc(1)
		meter.Times(meter.Label("entry.whole", "length", length), x.s.Metrics).Update(int64(time.Since(x.start)))
		return
	}
	x.s.counter("failed." + string(e.Reason)).Inc(1)
	x.s.counter("verdict." + e.Verdict.String()).Inc(1)
	span.SetAttributes(
		attribute.String("bamboo.verdict", e.Verdict.String()),
		attribute.String("bamboo.reason", string(e.Reason)),
	)
	span.SetStatus(codes.Error, string(e.Reason))
}
