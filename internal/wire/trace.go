package wire

import (
	"context"

	"go.opentelemetry.io/otel/propagation"
)

// traceParentHeader is the W3C header whose value a call carries.
const traceParentHeader = "traceparent"

// traceParent returns the span of ctx as a W3C trace parent, or "" if there is none.
func traceParent(ctx context.Context) string {
	carrier := propagation.MapCarrier{}
	propagation.TraceContext{}.Inject(ctx, carrier)
	return carrier[traceParentHeader]
}

// withTraceParent returns a context whose spans are children of the span that parent
// names.
func withTraceParent(ctx context.Context, parent string) context.Context {
	if parent == "" {
		return ctx
	}
	return propagation.TraceContext{}.Extract(ctx, propagation.MapCarrier{traceParentHeader: parent})
}
