package httpserver_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/dispatcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/publisher"
	"github.com/mimosalb/mimosalb/internal/reporter"
	"github.com/mimosalb/mimosalb/internal/scheduler"
	"github.com/mimosalb/mimosalb/internal/storer"
)

const (
	pepper = "pepper"
	key    = "mk-driver"
	token  = "0123456789abcdef"
)

// fullQueue refuses every request. A request that gets its refusal has passed all checks of the input.
type fullQueue struct{}

func (fullQueue) Submit(context.Context, dispatcher.Request) (*dispatcher.Answer, dispatcher.Refusal) {
	return nil, dispatcher.Refusal{Reason: scheduler.ReasonFull, RetryAfter: time.Second}
}

// unavailableStore fails every edit. An edit that gets its failure has passed all checks of the input.
type unavailableStore struct{}

func (unavailableStore) Edit(context.Context, identifier.Revision, func(configurator.Document) configurator.Document) publisher.Result {
	return publisher.Result{Edit: configurator.Accepted, Outcome: storer.Unavailable}
}

// unavailableWindows returns no usage windows.
type unavailableWindows struct{}

func (unavailableWindows) Watermarks(context.Context) (closed, done meter.Window, ok bool) {
	return 0, 0, false
}

func (unavailableWindows) Overview(context.Context, meter.Window) ([]reporter.Row, bool) {
	return nil, false
}

func config() *configurator.Configurator {
	conf := &configurator.Configurator{}
	conf.Adopt(configurator.Document{}.WithRevision(1).
		WithTeams(configurator.Team{Name: "routing"}).
		WithKeys(configurator.Key{Caller: "driver", Team: "routing", Hash: authenticator.Hash([]byte(pepper), key)}).
		WithServices(
			configurator.Service{Name: "matcher", Kind: configurator.Model},
			configurator.Service{Name: "ledger", Kind: configurator.Plain},
		))
	return conf
}

func newCallers() *httpserver.Server {
	conf := config()
	auth := authenticator.NewAuthenticator(authenticator.WithPepper([]byte(pepper)))
	auth.Adopt(conf.Current())
	return httpserver.NewServer(health(), httpserver.NewCallerRoutes(fullQueue{}, auth, conf))
}

func newOperators() *httpserver.Server {
	return httpserver.NewServer(health(), httpserver.NewGuard(token), httpserver.NewOperatorRoutes(unavailableStore{}, config(), []byte(pepper)),
		httpserver.NewUsageRoutes(unavailableWindows{}, meter.Calendar{}), httpserver.NewEvacuationRoutes(unavailableStore{}, config(), nil))
}

func health() *httpserver.Health {
	return httpserver.NewHealth(func() bool { return true }, prometheus.NewRegistry())
}

func start(c *qt.C, s *httpserver.Server) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	s.Start(l)
	c.Cleanup(func() { c.Check(s.Stop(context.Background()), qt.IsNil) })
	return l.Addr().String()
}

// request returns the bytes of an HTTP request with a bearer token.
func request(line, bearer, header, body string) string {
	return fmt.Sprintf("%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n%s\r\n%s", line, bearer, len(body), header, body)
}

// send writes raw bytes to the server and returns the status and problem of the answer, or a note that there was none.
func send(c *qt.C, address string, raw io.Reader) string {
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	// Errors are ignored: the server may answer and close the connection before it has read the entire input.
	go func() { _, _ = io.Copy(conn, raw) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "no answer, connection closed"
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	if resp.Header.Get("Content-Type") != "application/problem+json" {
		return fmt.Sprintf("%d %s %q", resp.StatusCode, resp.Header.Get("Content-Type"), body)
	}
	var p httpserver.Problem
	c.Assert(json.Unmarshal(body, &p), qt.IsNil, qt.Commentf("%s", body))
	c.Assert(p.Status, qt.Equals, resp.StatusCode)
	return fmt.Sprintf("%d %s %s: %s", p.Status, strings.TrimPrefix(p.Type, "urn:mimosalb:problem:"), p.Reason, p.Detail)
}

// malformedInput is one input of a test, with the name that the golden file shows.
type malformedInput struct {
	name string
	raw  io.Reader
}

// checkInputs sends each input, compares the answers with the golden file and checks after each input that the server
// still serves requests.
func checkInputs(t *testing.T, address string, inputs []malformedInput) {
	c := qt.New(t)
	var out strings.Builder
	for _, input := range inputs {
		fmt.Fprintf(&out, "%s\n  %s\n", input.name, send(c, address, input.raw))
		c.Assert(send(c, address, strings.NewReader(request("GET /healthz", "", "", ""))), qt.Contains, "200 ")
	}
	goldie.New(t).Assert(t, t.Name(), []byte(out.String()))
}

func text(s string) io.Reader { return strings.NewReader(s) }

// hugeRequest returns a request whose body exceeds every limit. If chunked is set, the header does not tell its length.
func hugeRequest(line, bearer string, chunked bool) io.Reader {
	const size = 100 << 20
	filler := io.LimitReader(zeroReader{}, size)
	if !chunked {
		return io.MultiReader(text(fmt.Sprintf(
			"%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n", line, bearer, size)), filler)
	}
	return io.MultiReader(text(fmt.Sprintf(
		"%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", line, bearer, size)), filler)
}

type zeroReader struct{}

func (zeroReader) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// malformedRequests returns inputs that violate HTTP or name no route. They are sent to both listeners.
func malformedRequests() []malformedInput {
	return []malformedInput{
		{"bad escape in the path", text("GET /%zz HTTP/1.1\r\nHost: x\r\n\r\n")},
		{"no HTTP at all", text("hello\r\n\r\n")},
		{"bytes of a TLS client", text("\x16\x03\x01\x02\x00\x01\x00\r\n\r\n")},
		{"unknown protocol version", text("GET / HTTP/9.9\r\nHost: x\r\n\r\n")},
		{"unknown transfer encoding", text("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: zip\r\n\r\n")},
		{"no host", text("GET / HTTP/1.1\r\n\r\n")},
		{"header of 1 MB", text("GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + strings.Repeat("a", 1<<20) + "\r\n\r\n")},
		{"10,000 header lines", text("GET / HTTP/1.1\r\nHost: x\r\n" + strings.Repeat("X-Many: abcdef\r\n", 10000) + "\r\n")},
		{"unknown route", text(request("GET /nowhere", token, "", ""))},
		{"path of dots", text(request("GET /../../etc/passwd", token, "", ""))},
		{"zero byte in the path", text(request("GET /v1/%00", token, "", ""))},
	}
}

// Guards against malformed input on the callers' listener that crashes the process, blocks it, or is not answered with a
// problem that names the fault.
func TestCallersSurviveMalformedInput(t *testing.T) {
	const line, good = "POST /v1/completions", `{"model":"matcher","prompt":"a"}`
	address := start(qt.New(t), newCallers())
	checkInputs(t, address, append(malformedRequests(), []malformedInput{
		{"well formed", text(request(line, key, "", good))},
		{"truncated JSON", text(request(line, key, "", good[:20]))},
		{"empty body", text(request(line, key, "", ""))},
		{"not JSON", text(request(line, key, "", "<xml/>"))},
		{"JSON of another type", text(request(line, key, "", `[1]`))},
		{"field of another type", text(request(line, key, "", `{"model":"matcher","prompt":7}`))},
		{"number out of range", text(request(line, key, "", `{"model":"matcher","prompt":"a","max_tokens":1e99}`))},
		{"negative length", text(request(line, key, "", `{"model":"matcher","prompt":"a","max_tokens":-5}`))},
		{"two JSON values", text(request(line, key, "", good+good))},
		{"not UTF-8", text(request(line, key, "", "{\"model\":\"matcher\",\"prompt\":\"\xff\"}"))},
		{"100,000 nested lists", text(request(line, key, "", strings.Repeat("[", 100000)))},
		{"body of 100 MB", hugeRequest(line, key, false)},
		{"chunked body of 100 MB", hugeRequest(line, key, true)},
		{"bad chunk", text("POST /v1/completions HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n")},
		{"unknown key", text(request(line, "mk-unknown", "", good))},
		{"key that is not UTF-8", text(request(line, "\xff\xfe", "", good))},
		{"no key", text("POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 32\r\n\r\n" + good)},
		{"other scheme", text("POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Basic eA==\r\nContent-Length: 32\r\n\r\n" + good)},
		{"wrong method", text(request("DELETE /v1/completions", key, "", ""))},
		{"unknown method", text(request("BREW /v1/completions", key, "", ""))},
		{"unknown service", text(request("GET /v1/services/nothing/x", key, "", ""))},
		{"model called as a plain service", text(request("GET /v1/services/matcher/x", key, "", ""))},
		{"service path out of its tree", text(request("GET /v1/services/ledger/../../admin", key, "", ""))},
		{"escaped service path out of its tree", text(request("GET /v1/services/ledger/%2e%2e/admin", key, "", ""))},
		{"body of 100 MB for a plain service", hugeRequest("POST /v1/services/ledger/x", key, true)},
	}...))
}

// Guards against malformed input on the operators' listener that crashes the process, blocks it, or is not answered with
// a problem that names the fault, and against access without the operators' token.
func TestOperatorsSurviveMalformedInput(t *testing.T) {
	const line, match, good = "PUT /v1/config", "If-Match: 1\r\n", `{"preset":"peak"}`
	address := start(qt.New(t), newOperators())
	checkInputs(t, address, append(malformedRequests(), []malformedInput{
		{"well formed", text(request(line, token, match, good))},
		{"wrong token", text(request(line, token+"x", match, good))},
		{"caller's key", text(request("GET /v1/config", key, "", ""))},
		{"no token", text("GET /v1/config HTTP/1.1\r\nHost: x\r\n\r\n")},
		{"no token, unknown route", text("GET /nowhere HTTP/1.1\r\nHost: x\r\n\r\n")},
		{"no token, no base, key route", text("POST /v1/keys HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")},
		{"no base", text(request(line, token, "", good))},
		{"base that is no number", text(request(line, token, "If-Match: new\r\n", good))},
		{"truncated JSON", text(request(line, token, match, good[:9]))},
		{"unknown field", text(request(line, token, match, `{"colour":"blue"}`))},
		{"bad duration", text(request(line, token, match, `{"services":[{"name":"a","kind":"model","timeout":"soon"}]}`))},
		{"bad hash", text(request(line, token, match, `{"keys":[{"name":"a","team":"b","hash":"c"}]}`))},
		{"not UTF-8", text(request(line, token, match, "{\"preset\":\"\xff\"}"))},
		{"body of 100 MB", hugeRequest(line, token, false)},
		{"chunked body of 100 MB", io.MultiReader(hugeRequest("PUT /v1/config", token+"\r\nIf-Match: 1", true))},
		{"wrong method", text(request("DELETE /v1/config", token, "", ""))},
		{"window that is no number", text(request("GET /v1/windows/last", token, "", ""))},
		{"usage without a known window", text(request("GET /v1/usage", token, "", ""))},
		{"truncated JSON of a key", text(request("POST /v1/keys", token, "", `{"name":`))},
		{"unknown field of a key", text(request("POST /v1/keys", token, "", `{"name":"a","team":"b","role":"c"}`))},
	}...))
}

// Guards against clients that keep connections open by sending their headers slowly.
func TestSlowHeadersCloseTheConnection(t *testing.T) {
	c := qt.New(t)
	s := newCallers()
	s.SetHeaderTimeout(50 * time.Millisecond)
	address := start(c, s)
	conn, err := net.Dial("tcp", address)
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	_, err = io.WriteString(conn, "GET / HTTP/1.1\r\nHost:")
	c.Assert(err, qt.IsNil)
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err = io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(send(c, address, strings.NewReader(request("GET /healthz", "", "", ""))), qt.Contains, "200 ")
}

// Guards against clients that keep requests open by sending their bodies slowly.
func TestSlowBodiesGetAProblem(t *testing.T) {
	c := qt.New(t)
	s := newCallers()
	s.SetBodyTimeout(50 * time.Millisecond)
	address := start(c, s)
	open, end := io.Pipe()
	defer func() { _ = end.Close() }()
	begin := "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{"
	c.Assert(send(c, address, io.MultiReader(text(begin), open)), qt.Equals, "408 not-run body-slow: the body did not arrive in 1m0s")
	c.Assert(send(c, address, text(request("GET /healthz", "", "", ""))), qt.Contains, "200 ")
}

// Guards against a request body that causes a panic, is answered without a problem, or reaches the queue although it is
// not JSON.
func FuzzCompletionBody(f *testing.F) {
	for _, seed := range []string{
		`{"model":"matcher","prompt":"a"}`,
		`{"model":"matcher","messages":[{"role":"user","content":"a"}]}`, `{`, `[]`, `null`, "\xff", `{"max_tokens":1e9}`,
	} {
		f.Add([]byte(seed))
	}
	h := newCallers().Handler()
	f.Fuzz(func(t *testing.T, body []byte) {
		for _, path := range []string{"/v1/completions", "/v1/chat/completions"} {
			r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(body)))
			r.Header.Set("Authorization", "Bearer "+key)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			var p httpserver.Problem
			if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Type != httpserver.TypeNotRun || p.Reason == "" || w.Code >= 500 {
				t.Errorf("%s: %d %s", path, w.Code, w.Body)
			}
			if w.Code == http.StatusTooManyRequests && !json.Valid(body) {
				t.Errorf("%s: a body that is not JSON reached the queue", path)
			}
		}
	})
}
