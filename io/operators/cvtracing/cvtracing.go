// Package cvtracing is the export of spans.
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

// tracerName names the source of the spans.
const tracerName = "comfreyvale"

// fault is the error type of this package.
type fault struct{ cvfault.Fault }

// Tracing sends spans to an OTLP endpoint.
type Tracing struct {
	// Endpoint is the endpoint's URL; without it there are no spans.
	Endpoint string
	// Share is the part of calls that are traced where the caller did not decide.
	Share float64
	// VM names this balancer in the spans.
	VM string

	provider *trace.TracerProvider
}

// Tracer returns the source of spans.
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

// Close sends what is left.
func (t *Tracing) Close(ctx context.Context) error {
	if t.provider == nil {
		return nil
	}
	return t.provider.Shutdown(ctx)
}
