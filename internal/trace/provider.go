// Package trace sets up OpenTelemetry tracing for one process.
package trace

import (
	"context"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// Off is the destination that discards all spans.
const Off = "off"

const (
	// maxQueuedSpans bounds the spans that wait for export. Spans beyond it are dropped.
	maxQueuedSpans = 2048
	// exportTimeout bounds one export to a collector.
	exportTimeout = 5 * time.Second
)

// Provider creates tracers. It must be shut down before the process exits.
type Provider struct {
	trace.TracerProvider
	// Shutdown exports the queued spans and closes the exporter.
	Shutdown func(ctx context.Context) error
}

// Place is the destination of an instance's spans.
type Place struct {
	// To is Off, the path of a file, or the URL of an OTLP collector. Empty means Off.
	To string
	// Ratio is the share of traces that are sampled, from 0 to 1. The sampling decision
	// in a caller's trace context takes precedence.
	Ratio float64
	// Instance and DataCentre become resource attributes of the spans.
	Instance, DataCentre string
}

// CheckDestination returns an error if to is a URL whose host is not an IP address.
func CheckDestination(to string) error {
	if !isURL(to) {
		return nil
	}
	u, err := url.Parse(to)
	if err != nil {
		return errors.Wrap(err, "not a URL")
	}
	if net.ParseIP(u.Hostname()) == nil {
		return errors.Newf("host %q is not an IP address", u.Hostname())
	}
	return nil
}

func isURL(to string) bool {
	return strings.HasPrefix(to, "http://") || strings.HasPrefix(to, "https://")
}

// Open returns a provider that exports spans to p.
func Open(ctx context.Context, p Place) (*Provider, error) {
	switch {
	case p.To == "" || p.To == Off:
		return &Provider{
			TracerProvider: noop.NewTracerProvider(),
			Shutdown:       func(context.Context) error { return nil },
		}, nil
	case isURL(p.To):
		return openCollector(ctx, p)
	default:
		return openFile(p)
	}
}

func openFile(p Place) (*Provider, error) {
	f, err := os.OpenFile(p.To, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, errors.Wrap(err, "open trace file")
	}
	exp, err := stdouttrace.New(stdouttrace.WithWriter(f))
	if err != nil {
		return nil, errors.CombineErrors(err, f.Close())
	}
	tp := newTracerProvider(exp, p)
	return &Provider{TracerProvider: tp, Shutdown: func(ctx context.Context) error {
		return errors.CombineErrors(tp.Shutdown(ctx), f.Close())
	}}, nil
}

func openCollector(ctx context.Context, p Place) (*Provider, error) {
	u, err := url.Parse(p.To)
	if err != nil {
		return nil, errors.Wrap(err, "parse collector URL")
	}
	opts := []otlptracehttp.Option{otlptracehttp.WithEndpoint(u.Host), otlptracehttp.WithTimeout(exportTimeout)}
	if u.Scheme == "http" {
		opts = append(opts, otlptracehttp.WithInsecure())
	}
	if u.Path != "" {
		opts = append(opts, otlptracehttp.WithURLPath(u.Path))
	}
	exp, err := otlptracehttp.New(ctx, opts...)
	if err != nil {
		return nil, errors.Wrap(err, "create OTLP exporter")
	}
	tp := newTracerProvider(exp, p)
	return &Provider{TracerProvider: tp, Shutdown: tp.Shutdown}, nil
}

func newTracerProvider(exp sdktrace.SpanExporter, p Place) *sdktrace.TracerProvider {
	return sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp, sdktrace.WithMaxQueueSize(maxQueuedSpans)),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(p.Ratio))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "bamboo"),
			attribute.String("service.instance.id", p.Instance),
			attribute.String("bamboo.data_centre", p.DataCentre),
		)),
	)
}
