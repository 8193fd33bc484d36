package inspector_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
	"github.com/mimosalb/mimosalb/internal/standin/answerer"
)

// exchange sends a POST request with n bytes and describes the answer. Complete is set if it seems to be whole.
func exchange(c *qt.C, rt http.RoundTripper, address string, n int) (answer string, complete bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address, strings.NewReader(strings.Repeat("x", n)))
	c.Assert(err, qt.IsNil)
	req.GetBody = nil
	resp, err := rt.RoundTrip(req)
	if err != nil {
		return "no answer", false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return fmt.Sprintf("%d %q %q", resp.StatusCode, resp.Header.Values("A"), body), err == nil
}

// Guards against a response that is taken for sound although the name of a field holds a blank or a control byte, also at its beginning and
// in interim responses, on new and on kept connections, and against a sound head that is rejected.
func TestFieldNames(t *testing.T) {
	c := qt.New(t)
	const ok = "HTTP/1.1 200 OK\r\nA: 1\r\n"
	lines := []string{
		"B C: 2", "B : 2", " B: 2", "\tB: 2", "B\tC: 2", "B\t: 2", "B\x00C: 2", "B\x01: 2", "\x01B: 2", "B\x7f: 2", "B\rC: 2", "B\x80: 2", ": 2", " ", "B",
		"Content-Length : 2", " Content-Length: 2", "Transfer-Encoding : chunked", " Transfer-Encoding: chunked",
	}
	heads := append(make([]string, 0, 2*len(lines)),
		"HTTP/1.1 200 OK\r\nA: 1\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\nA: 1\nContent-Length: 2\n\n",
		ok+"A:\t 2 \t3 \r\nB: \x80\xff\r\nC!#$%&'*+-.^_`|~9: x\r\nD:\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nB: 2\r\n\r\nHTTP/1.1 103 Early\r\n\r\n"+ok+"Content-Length: 2\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nB C: 2\r\n\r\n"+ok+"Content-Length: 2\r\n\r\n",
		"HTTP/1.1 100 Continue\r\nB: 2\r\n C: 3\r\n\r\n"+ok+"Content-Length: 2\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\n"+ok+" C: 3\r\nContent-Length: 2\r\n\r\n",
		"HTTP/1.1 200 OK\r\n B: 2\r\nContent-Length: 2\r\n\r\n",
	)
	for _, line := range lines {
		heads = append(heads, ok+line+"\r\nContent-Length: 2\r\n\r\n")
	}
	var out strings.Builder
	for _, head := range heads {
		s, err := answerer.NewServer(func(_ *http.Request, nth int) answerer.Answer {
			if nth == 1 {
				return answerer.Answer{Text: ok + "Content-Length: 5\r\n\r\n\r\n B:"} // no head begins within the body
			}
			return answerer.Answer{Text: head + "{}", End: answerer.Close}
		})
		c.Assert(err, qt.IsNil)
		transport := inspector.NewTransport(&http.Transport{})
		first, _ := exchange(c, transport, s.Address(), 1)
		c.Check(first, qt.Equals, `200 ["1"] "\r\n B:"`)
		answer, _ := exchange(c, transport, s.Address(), 1)
		fmt.Fprintf(&out, "%q: %s\n", head, answer)
		transport.CloseIdleConnections()
		s.Close()
	}
	goldie.New(t).Assert(t, "names", []byte(out.String()))
}

// complete returns how many of some rounds, each with a server and a connection of its own, end with an answer that seems to be whole.
func complete(c *qt.C, a answerer.Answer, size, rounds int) int {
	n := 0
	for range rounds {
		s, err := answerer.NewServer(func(*http.Request, int) answerer.Answer { return a })
		c.Assert(err, qt.IsNil)
		transport := inspector.NewTransport(&http.Transport{})
		if _, whole := exchange(c, transport, s.Address(), size); whole {
			n++
		}
		transport.CloseIdleConnections()
		s.Close()
	}
	return n
}

// Guards against an answer that passes for complete although its connection was reset, and against one that is sound and is rejected: early
// or late, with a length, in chunks or ended by the close.
func TestAnswersAndTheirEnds(t *testing.T) {
	c := qt.New(t)
	const (
		whole  = "Content-Length: 4\r\n\r\nbody"
		part   = "Content-Length: 4\r\n\r\nbo"
		chunks = "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n"
		noSize = "\r\nbody"
	)
	cases := []struct {
		name, text string
		end        answerer.End
	}{
		{"length, kept", whole, answerer.Keep},
		{"length, closed", whole, answerer.Close},
		{"length, part, closed", part, answerer.Close},
		{"length, part, reset", part, answerer.Reset},
		{"chunks, kept", chunks + "0\r\n\r\n", answerer.Keep},
		{"chunks, closed", chunks + "0\r\n\r\n", answerer.Close},
		{"chunks, part, closed", chunks, answerer.Close},
		{"chunks, part, reset", chunks, answerer.Reset},
		{"no length, closed", noSize, answerer.Close},
		{"no length, reset", noSize, answerer.Reset},
	}
	var out strings.Builder
	for _, tc := range cases {
		a := answerer.Answer{Text: "HTTP/1.1 200 OK\r\n" + tc.text, End: tc.end}
		late := complete(c, a, 10, 1)
		a.Early = true
		early := complete(c, a, 4<<20, 10)
		fmt.Fprintf(&out, "%-22s %d of 1 late, %d of 10 early\n", tc.name, late, early)
	}
	goldie.New(t).Assert(t, "ends", []byte(out.String()))
}
