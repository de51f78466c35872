package demo

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
)

// spanRecorder is a span exporter that keeps the spans of all instances by trace. The zero
// value is ready to use.
type spanRecorder struct {
	mu    sync.Mutex
	spans map[trace.TraceID][]span
}

// span is a recorded span.
type span struct {
	name  string
	start time.Time
}

var _ sdktrace.SpanExporter = (*spanRecorder)(nil)

// ExportSpans records ended spans.
func (r *spanRecorder) ExportSpans(_ context.Context, spans []sdktrace.ReadOnlySpan) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.spans == nil {
		r.spans = make(map[trace.TraceID][]span)
	}
	for _, s := range spans {
		id := s.SpanContext().TraceID()
		r.spans[id] = append(r.spans[id], span{name: s.Name(), start: s.StartTime()})
	}
	return nil
}

// Shutdown does nothing, so that the spans stay readable.
func (*spanRecorder) Shutdown(context.Context) error { return nil }

// names returns the names of a trace's spans in the order of their start, joined by ">".
func (r *spanRecorder) names(id trace.TraceID) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	sorted := slices.Clone(r.spans[id])
	slices.SortStableFunc(sorted, func(a, b span) int { return cmp.Compare(a.start.UnixNano(), b.start.UnixNano()) })
	names := make([]string, len(sorted))
	for i, s := range sorted {
		names[i] = s.name
	}
	return strings.Join(names, ">")
}
