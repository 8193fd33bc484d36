package inspector

import (
	"bytes"
	"errors"

	"golang.org/x/net/http/httpguts"

	"github.com/mimosalb/mimosalb/internal/container"
)

// ErrFieldName is the error of a response with a field whose name the protocol does not allow. Its request may have been executed.
var ErrFieldName = errors.New("the name of a response header field is not allowed")

// checkNames returns ErrFieldName if the name of a field is not allowed. net/http passes on a name that holds a blank as it is, so that
// "Content-Length : 2" sets no length.
func checkNames(header map[string][]string) error {
	for name := range header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrFieldName
		}
	}
	return nil
}

// head finds lines that begin with a blank in the heads of responses. net/http joins such a line to the value of the field before it,
// which hides a field whose name begins with a blank. The zero value checks nothing. Lock rank: container.RankConnection.
type head struct {
	lock   container.Lock[container.Connection]
	active bool
	// lines is the number of complete lines of the head, and line is the start of the next one.
	lines int
	line  []byte
	// interim is set if the head is that of an interim response, which another head follows.
	interim bool
}

// lineStartBytes is how much of each line is kept: enough to find the status in the first one.
const lineStartBytes = len("HTTP/1.1 100")

// begin starts the check of the next head.
func (h *head) begin() {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.active, h.lines, h.line, h.interim = true, 0, h.line[:0], false
}

// check checks the next bytes that were read from the connection.
func (h *head) check(p []byte) error {
	h.lock.Lock()
	defer h.lock.Unlock()
	for h.active && len(p) > 0 {
		part, rest, ended := bytes.Cut(p, []byte("\n"))
		h.line = append(h.line, part[:min(len(part), lineStartBytes-len(h.line))]...)
		if h.lines > 0 && len(h.line) > 0 && (h.line[0] == ' ' || h.line[0] == '\t') {
			return ErrFieldName
		}
		if ended {
			h.endLine()
		}
		p = rest
	}
	return nil
}

// endLine ends a line of the head, and the head if the line is empty.
func (h *head) endLine() {
	line := bytes.TrimSuffix(h.line, []byte("\r"))
	switch {
	case h.lines == 0:
		h.lines, h.interim = 1, isInterim(line)
	case len(line) > 0:
		h.lines++
	default:
		h.lines, h.active = 0, h.interim
	}
	h.line = h.line[:0]
}

// isInterim reports whether a status line is that of an interim response. One that hands over the connection (101) ends its head.
func isInterim(line []byte) bool {
	fields := bytes.Fields(line)
	return len(fields) > 1 && fields[1][0] == '1' && string(fields[1]) != "101"
}
