// Package cvtracing implements the export of trace spans through OTLP.
package cvtracing

import (
	"context"

	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	api "go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"

	"go.opentelemetry.io/otel/attribute"

	"comfreyvale"
	"comfreyvale/core/cvfault"
)

const tracerName = "comfreyvale"

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

// Tracing creates a tracer that sends its spans to an OTLP endpoint. Tracer must return before Close is called.
type Tracing struct {
	// Endpoint is the URL of the OTLP endpoint. If empty, no spans are sent.
	Endpoint string
	// Share is the share, from 0 to 1, of calls that are traced if the caller sends no sampling decision.
	Share float64
	// VM is the name of this VM in the spans.
	VM string

	provider *trace.TracerProvider
}

// Tracer returns a tracer for the endpoint, or a no-op tracer without one.
func (t *Tracing) Tracer(ctx context.Context) (api.Tracer, error) {
	if t.Endpoint == "" {
		return noop.NewTracerProvider().Tracer(tracerName), nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(t.Endpoint))
	if err != nil {
		return nil, fault{cvfault.New("trace", comfreyvale.KindInvalid, err)}
	}
	t.provider = trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(t.Share))),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", "comfreyvale"), attribute.String("vm", t.VM))),
	)
	return t.provider.Tracer(tracerName), nil
}

// Close sends the remaining spans and stops the export.
func (t *Tracing) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}
