package tracer_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	oteltrace "go.opentelemetry.io/otel/trace"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
)

const prompt = "unmistakable-prompt-text"

// spans records the spans of this process. It is set before any test runs, because the tracers of the packages keep the
// first provider that is set.
var spans = recordSpans()

func recordSpans() *tracetest.InMemoryExporter {
	e := tracetest.NewInMemoryExporter()
	otel.SetTracerProvider(trace.NewTracerProvider(trace.WithSyncer(e)))
	return e
}

// Guards against a hop without a span, a request whose spans belong to several traces, and a span that contains a
// key or a prompt.
func TestOneRequestIsOneTrace(t *testing.T) {
	c := qt.New(t)
	d, err := demonstrator.NewDeployment(demonstrator.DefaultPlan(), io.Discard)
	c.Assert(err, qt.IsNil)
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: make(map[string]string)}
	ctx := context.Background()
	_, err = demonstrator.Steps()[0].Run(ctx, s)
	c.Assert(err, qt.IsNil)
	spans.Reset()
	r, err := s.Client.SendAsCaller(ctx, http.MethodPost, "/v1/completions", s.Keys["driver"],
		map[string]any{"model": "sortmind", "prompt": prompt, "max_tokens": 3})
	c.Assert(err, qt.IsNil)
	c.Assert(r.Status, qt.Equals, http.StatusOK)
	// A hop ends its span after it has sent its answer, so the last spans may arrive after the answer.
	c.Assert(s.Client.Await(ctx, 5*time.Second, func() bool { return len(spans.GetSpans()) >= 6 }), qt.IsNil)
	s.Client.Close()
	c.Assert(d.Close(), qt.IsNil)

	all := spans.GetSpans()
	names := make(map[oteltrace.SpanID]string)
	for _, span := range all {
		names[span.SpanContext.SpanID()] = span.Name
		c.Check(span.SpanContext.TraceID(), qt.Equals, all[0].SpanContext.TraceID())
		text := fmt.Sprintf("%+v", span)
		c.Check(strings.Contains(text, s.Keys["driver"]), qt.IsFalse)
		c.Check(strings.Contains(text, prompt), qt.IsFalse)
	}
	lines := make([]string, 0, len(all))
	for _, span := range all {
		line := fmt.Sprintf("%s < %s:", span.Name, names[span.Parent.SpanID()])
		for _, a := range span.Attributes {
			line += " " + string(a.Key)
		}
		lines = append(lines, line+"\n")
	}
	slices.Sort(lines)
	goldie.New(t).Assert(t, "hops", []byte(strings.Join(lines, "")))
}
