// Package tracer sets up the export of trace spans.
package tracer

import (
	"context"
	"fmt"
	"os"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/exporters/stdout/stdouttrace"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
)

// Settings selects the destination of spans. With neither field set they are dropped.
type Settings struct {
	// File is the path of a file to which one JSON object per span is appended.
	File string `yaml:"file"`
	// OTLP is the URL of an OTLP receiver over HTTP.
	OTLP string `yaml:"otlp"`
}

// Start sets up the span export of the process. The returned function flushes and stops it.
func Start(ctx context.Context, process string, s Settings) (func(context.Context) error, error) {
	exporter, file, err := newExporter(ctx, s)
	if err != nil {
		return nil, err
	}
	if exporter == nil {
		return func(context.Context) error { return nil }, nil
	}
	provider := trace.NewTracerProvider(
		trace.WithBatcher(exporter),
		trace.WithResource(resource.NewSchemaless(attribute.String("service.name", process))),
	)
	otel.SetTracerProvider(provider)
	return func(ctx context.Context) error {
		err := provider.Shutdown(ctx)
		if file != nil {
			_ = file.Close()
		}
		if err != nil {
			return fmt.Errorf("flush spans: %w", err)
		}
		return nil
	}, nil
}

func newExporter(ctx context.Context, s Settings) (trace.SpanExporter, *os.File, error) {
	switch {
	case s.OTLP != "":
		e, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.OTLP))
		if err != nil {
			return nil, nil, fmt.Errorf("open OTLP export: %w", err)
		}
		return e, nil, nil
	case s.File != "":
		f, err := os.OpenFile(s.File, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
		if err != nil {
			return nil, nil, fmt.Errorf("open span file: %w", err)
		}
		e, err := stdouttrace.New(stdouttrace.WithWriter(f))
		if err != nil {
			return nil, nil, fmt.Errorf("open span export: %w", err)
		}
		return e, f, nil
	default:
		return nil, nil, nil
	}
}
