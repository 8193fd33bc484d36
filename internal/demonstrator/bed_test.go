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

// bed is a configured deployment under test.
type bed struct {
	*qt.C
	*demonstrator.Deployment

	keys map[string]string
	http *http.Client
}

// wide is a deployment of two entries, four engines and three plain services behind links.
func wide() demonstrator.Plan {
	// With the default of 256 workers the lock check makes the tests six times slower.
	p := demonstrator.Plan{TokenTime: 2 * time.Millisecond, Period: 100 * time.Millisecond, Workers: 24, Linked: true}
	for _, name := range []string{"sortmind-1", "sortmind-2", "sortmind-3", "sortmind-4"} {
		p.BackEnds = append(p.BackEnds, demonstrator.BackEnd{Name: name, Service: "sortmind", Kind: "model", Zone: "lagos-ikeja", Region: "lagos"})
	}
	for _, name := range []string{"manifest-1", "manifest-2", "manifest-3"} {
		p.BackEnds = append(p.BackEnds, demonstrator.BackEnd{Name: name, Service: "manifest", Kind: "plain", Zone: "lagos-ikeja", Region: "lagos"})
	}
	place := demonstrator.Location{Zone: "lagos-ikeja", Region: "lagos"}
	p.Entries = []demonstrator.Location{place, place}
	return p
}

func newBed(t *testing.T, p demonstrator.Plan) *bed {
	c := qt.New(t)
	d, err := demonstrator.NewDeployment(p, io.Discard)
	c.Assert(err, qt.IsNil)
	b := &bed{C: c, Deployment: d, keys: map[string]string{}, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}}
	c.Cleanup(func() {
		b.http.CloseIdleConnections()
		c.Check(d.Close(), qt.IsNil)
	})
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: b.keys}
	_, err = demonstrator.Steps()[0].Run(context.Background(), s)
	c.Assert(err, qt.IsNil)
	for i := range d.Entries {
		b.await(10*time.Second, func() bool {
			return b.call(i, "/v1/services/manifest/ready", nil, "").status == http.StatusOK &&
				b.complete(i, "ready", 1).status == http.StatusOK
		})
	}
	return b
}

// reply is a whole answer; status zero means that the connection failed.
type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) problem() (kind, reason string) {
	var p struct{ Type, Reason string }
	_ = json.Unmarshal([]byte(r.body), &p)
	return strings.TrimPrefix(p.Type, "urn:mimosalb:problem:"), p.Reason
}

func (b *bed) post(ctx context.Context, entry, path, key string, header map[string]string, body string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+path, strings.NewReader(body))
	b.Assert(err, qt.IsNil)
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+b.keys[key])
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return b.http.Do(req)
}

func read(resp *http.Response, err error) reply {
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

// call sends a call of the non-repeatable plain service.
func (b *bed) call(entry int, path string, header map[string]string, body string) reply {
	return read(b.post(context.Background(), b.Entries[entry].Callers, path, "clerk", header, body))
}

// claimed sends a non-repeatable call with an idempotency key.
func (b *bed) claimed(entry int, key, body string) reply {
	return b.call(entry, "/v1/services/manifest/check", map[string]string{"Idempotency-Key": key}, body)
}

func ask(prompt string, tokens int, stream bool) string {
	data, _ := json.Marshal(map[string]any{"model": "sortmind", "prompt": prompt, "max_tokens": tokens, "stream": stream})
	return string(data)
}

func (b *bed) complete(entry int, prompt string, tokens int) reply {
	return read(b.post(context.Background(), b.Entries[entry].Callers, "/v1/completions", "driver", nil, ask(prompt, tokens, false)))
}

// stream is a streamed answer as its caller saw it.
type stream struct {
	text   string
	tokens int
	done   bool
	error  string
}

// stream streams an answer from the first entry and calls at after each token with their number.
func (b *bed) stream(key, prompt string, tokens int, at func(n int)) stream {
	var s stream
	resp, err := b.post(context.Background(), b.Entries[0].Callers, "/v1/completions", key, nil, ask(prompt, tokens, true))
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
			at(s.tokens)
		}
	}
	return s
}

// whole checks that the caller saw every token once and in order.
func (b *bed) whole(s stream, prompt string, tokens int) {
	b.Assert(s.error, qt.Equals, "")
	b.Assert(s.done, qt.IsTrue)
	b.Assert(s.text, qt.Equals, text(prompt, tokens))
}

// text is what the stand-in engine answers to a prompt.
func text(prompt string, tokens int) string {
	words := strings.Fields(prompt)
	var out strings.Builder
	for i := range tokens {
		out.WriteString(" " + engine.Token(words, len(words)+i))
	}
	return out.String()
}

// runs counts how often any target ran the body of a plain call.
func (b *bed) runs(body string) int {
	n := 0
	for _, s := range b.Standin.Services {
		n += s.RunsOfBody(body)
	}
	return n
}

// busy returns the engine that is making an answer.
func (b *bed) busy() string {
	name := b.busyOr("")
	b.Assert(name, qt.Not(qt.Equals), "")
	return name
}

// busyOr returns the engine that is making an answer, or other when the last one has just ended.
func (b *bed) busyOr(other string) string {
	for name, e := range b.Standin.Engines {
		if e.Running() > 0 {
			return name
		}
	}
	return other
}

func (b *bed) await(limit time.Duration, f func() bool) {
	b.Helper()
	tick, end := time.NewTicker(5*time.Millisecond), time.NewTimer(limit)
	defer tick.Stop()
	defer end.Stop()
	for !f() {
		select {
		case <-tick.C:
		case <-end.C:
			b.Fatalf("not so within %v", limit)
		}
	}
}

// dead is a context that has ended: a process stopped with it dies in the middle of its work.
func dead() context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return ctx
}
