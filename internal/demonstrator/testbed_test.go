package demonstrator_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/internal/standin/engine"
)

// testbed is a deployment with the configuration and the keys of the demo scenario.
type testbed struct {
	*qt.C
	*demonstrator.Deployment

	keys map[string]string
	http *http.Client
	log  *logBuffer
}

// linkedPlan returns a plan of two entries, four engines and three plain services, whose agents are behind links.
func linkedPlan() demonstrator.Plan {
	// With the default of 256 workers, the tests take six times as long under the lock check.
	p := demonstrator.Plan{TokenTime: 2 * time.Millisecond, Period: 100 * time.Millisecond, Workers: 24, Linked: true}
	for _, name := range []string{"sortmind-1", "sortmind-2", "sortmind-3", "sortmind-4"} {
		p.BackEnds = append(p.BackEnds, demonstrator.BackEnd{Name: name, Service: "sortmind", Kind: "model", Zone: "lagos-ikeja", Region: "lagos"})
	}
	for _, name := range []string{"manifest-1", "manifest-2", "manifest-3"} {
		p.BackEnds = append(p.BackEnds, demonstrator.BackEnd{Name: name, Service: "manifest", Kind: "plain", Zone: "lagos-ikeja", Region: "lagos"})
	}
	location := demonstrator.Location{Zone: "lagos-ikeja", Region: "lagos"}
	p.Entries = []demonstrator.Location{location, location}
	return p
}

// newTestbed starts and configures a deployment, and waits until every entry serves both services.
func newTestbed(t *testing.T, p demonstrator.Plan) *testbed {
	return newLoggedTestbed(t, p, &logBuffer{})
}

// newLoggedTestbed is newTestbed with the log of the deployment.
func newLoggedTestbed(t *testing.T, p demonstrator.Plan, log *logBuffer) *testbed {
	c := qt.New(t)
	d, err := demonstrator.NewDeployment(p, log)
	c.Assert(err, qt.IsNil)
	b := &testbed{C: c, Deployment: d, keys: map[string]string{}, log: log, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	c.Cleanup(func() {
		b.http.CloseIdleConnections()
		c.Check(d.Close(), qt.IsNil)
	})
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: b.keys}
	_, err = demonstrator.Steps()[0].Run(context.Background(), s)
	c.Assert(err, qt.IsNil)
	for i := range d.Entries {
		b.await(10*time.Second, func() bool {
			return b.callService(i, "/v1/services/manifest/ready", nil, "").status == http.StatusOK &&
				b.complete(i, "ready", 1).status == http.StatusOK
		})
	}
	return b
}

// reply is a complete HTTP response. Status zero means that the connection failed.
type reply struct {
	status int
	header http.Header
	body   string
}

// problem returns the type, without its common prefix, and the reason of a problem document.
func (r reply) problem() (kind, reason string) {
	var p struct{ Type, Reason string }
	_ = json.Unmarshal([]byte(r.body), &p)
	return strings.TrimPrefix(p.Type, "urn:mimosalb:problem:"), p.Reason
}

// post sends a request to the callers' listener at address entry with the named key. It clears GetBody, so that net/http
// does not repeat the request by itself.
func (b *testbed) post(ctx context.Context, entry, path, key string, header map[string]string, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, strings.NewReader(body))
	b.Assert(err, qt.IsNil)
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+b.keys[key])
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return b.http.Do(req)
}

func readReply(resp *http.Response, err error) reply {
	if err != nil {
		return reply{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{header: resp.Header}
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body)}
}

// callService sends a call to a plain service.
func (b *testbed) callService(entry int, path string, header map[string]string, body string) reply {
	return readReply(b.post(context.Background(), b.Entries[entry].Callers, path, "clerk", header, body))
}

// callWithKey sends a call that must not be repeated, with an idempotency key.
func (b *testbed) callWithKey(entry int, key, body string) reply {
	return b.callService(entry, "/v1/services/manifest/check", map[string]string{"Idempotency-Key": key}, body)
}

// completionJSON returns the body of a completion request.
func completionJSON(prompt string, tokens int, stream bool) string {
	data, _ := json.Marshal(map[string]any{"model": "sortmind", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	return string(data)
}

func (b *testbed) complete(entry int, prompt string, tokens int) reply {
	return readReply(b.post(context.Background(), b.Entries[entry].Callers, "/v1/completions", "driver", nil, completionJSON(prompt, tokens, false)))
}

// streamResult is a streamed completion as its caller received it.
type streamResult struct {
	text   string
	tokens int
	// done states that the stream ended with [DONE].
	done bool
	// error is the reason in the error event, if there was one.
	error string
}

// stream streams a completion from the first entry. It calls onToken after each token with the number of tokens so far.
func (b *testbed) stream(key, prompt string, tokens int, onToken func(n int)) streamResult {
	var s streamResult
	resp, err := b.post(context.Background(), b.Entries[0].Callers, "/v1/completions", key, nil, completionJSON(prompt, tokens, true))
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		var e struct {
			Reason  string
			Choices []struct{ Text string }
		}
		switch {
		case string(data) == "[DONE]":
			s.done = true
		case json.Unmarshal(data, &e) == nil && e.Reason != "":
			s.error = e.Reason
		case len(e.Choices) == 1 && e.Choices[0].Text != "":
			s.text += e.Choices[0].Text
			s.tokens++
			onToken(s.tokens)
		}
	}
	return s
}

// assertComplete checks that the caller received every token once and in order.
func (b *testbed) assertComplete(s streamResult, prompt string, tokens int) {
	b.Assert(s.error, qt.Equals, "")
	b.Assert(s.done, qt.IsTrue)
	b.Assert(s.text, qt.Equals, expectedText(prompt, tokens))
}

// expectedText returns the output of the stand-in engine for a prompt.
func expectedText(prompt string, tokens int) string {
	words := strings.Fields(prompt)
	var out strings.Builder
	for i := range tokens {
		out.WriteString(" " + engine.Token(words, len(words)+i))
	}
	return out.String()
}

// runsOfBody returns how often the plain services together ran a call with this body.
func (b *testbed) runsOfBody(body string) int {
	n := 0
	for _, s := range b.Standin.Services {
		n += s.RunsOfBody(body)
	}
	return n
}

// busyEngine returns the name of an engine that is generating a completion.
func (b *testbed) busyEngine() string {
	name := b.busyEngineOr("")
	b.Assert(name, qt.Not(qt.Equals), "")
	return name
}

// busyEngineOr returns the name of an engine that is generating a completion, or other if there is none.
func (b *testbed) busyEngineOr(other string) string {
	for name, e := range b.Standin.Engines {
		if e.Running() > 0 {
			return name
		}
	}
	return other
}

// await polls f until it returns true and fails the test after limit.
func (b *testbed) await(limit time.Duration, f func() bool) {
	b.Helper()
	tick, end := time.NewTicker(5*time.Millisecond), time.NewTimer(limit)
	defer tick.Stop()
	defer end.Stop()
	for !f() {
		select {
		case <-tick.C:
		case <-end.C:
			b.Fatalf("condition not met within %v", limit)
		}
	}
}

// cancelledContext returns a context that has ended. A process that is stopped with it stops without a drain, as in a
// crash.
func cancelledContext() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
