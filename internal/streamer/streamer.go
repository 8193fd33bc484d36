// Package streamer holds the answer of one attempt while it is received: pieces in order, then one final record.
package streamer

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
)

// Piece is a part of an answer: the text of some tokens, or bytes of a plain service's body.
type Piece struct {
	Data   []byte
	Tokens identifier.Tokens
	// Version is the weight version that generated the tokens, as the engine reported it; zero when it did not.
	Version identifier.Version
	// Adapter is the adapter that the engine reported with the tokens.
	Adapter string
	// Target and Incarnation say where the tokens were generated. The reader of an attempt sets them.
	Target      identifier.Target
	Incarnation identifier.Incarnation
}

// End says how an answer ended.
type End int

const (
	// Complete means that the target finished the answer.
	Complete End = iota + 1
	// Failed means that the target or the connection to it failed; the answer is incomplete.
	Failed
	// Cancelled means that the agent or the target cancelled the answer.
	Cancelled
	// Crashed means that the target exited, or closed the connection, while it had the request.
	Crashed
	// Unreached means that the target received no byte of the request.
	Unreached
	// NoAnswer means that the target received the request and did not answer in time; it may have run the request.
	NoAnswer
	// PlannedStop means that the agent cancelled the answer because of a planned stop. It is resumed on another target.
	PlannedStop
	// Invalid means that the target answered with a status or a header that the protocol does not allow; it may have run the
	// request.
	Invalid
)

var endNames = [...]string{"open", "complete", "failed", "cancelled", "crashed", "unreached", "unheard", "moved", "invalid"}

// String returns the name of the end.
func (e End) String() string {
	if e < 0 || int(e) >= len(endNames) {
		return strconv.Itoa(int(e))
	}
	return endNames[e]
}

// Final is the last record of an answer. The zero value means that the answer is still open.
type Final struct {
	End End
	// Reason is the finish reason of the engine, or the short cause of a failure.
	Reason string
	// Status and Header are those of the answer of a plain service.
	Status int
	Header map[string]string
	// Pieces and Tokens count the whole answer; a reader that received fewer has an incomplete answer.
	Pieces int
	Tokens identifier.Tokens
	// Prompt and Cached count the prompt tokens and those of them that were in the engine's cache.
	Prompt identifier.Tokens
	Cached identifier.Tokens
	// Crash is the crash that ended a Crashed answer.
	Crash isolator.Crash
	// Resumed counts the tokens that earlier attempts generated and that this attempt processed in addition to Prompt.
	Resumed identifier.Tokens
	// Took is the time that the target spent, and Cross the bytes that were sent between regions.
	Took  time.Duration
	Cross identifier.Bytes
}

// WithEnd returns a copy of f with the given end and reason.
func (f Final) WithEnd(e End, reason string) Final {
	f.End, f.Reason = e, reason
	return f
}

// WithCrash returns a copy of f with the crash that ended the answer.
func (f Final) WithCrash(c isolator.Crash) Final {
	f.Crash = c
	return f
}

// WithHeader returns a copy of f with the status and header of a plain service's answer.
func (f Final) WithHeader(status int, header map[string]string) Final {
	f.Status, f.Header = status, maps.Clone(header)
	return f
}

// WithUsage returns a copy of f with the time that the target spent and the bytes that were sent between regions.
func (f Final) WithUsage(took time.Duration, cross identifier.Bytes) Final {
	f.Took, f.Cross = took, cross
	return f
}

// Chunk is the result of a read: the pieces from the reader's position on and, at the end, the final record.
type Chunk struct {
	Pieces []Piece
	Final  Final
}

// Done reports whether the answer has ended.
func (c Chunk) Done() bool { return c.Final.End != 0 }

// Stream is an answer with one writer and any number of readers. The zero value is an open stream.
//
// Invariants: pieces are only appended; nothing follows the final record. Lock rank: container.RankStreamer.
type Stream struct {
	lock    container.Lock[container.Streamer]
	pieces  []Piece
	tokens  identifier.Tokens
	final   Final
	changed chan struct{}
}

// Append adds a copy of a piece. It reports false when the stream has ended.
func (s *Stream) Append(p Piece) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.final.End != 0 {
		return false
	}
	p.Data = slices.Clone(p.Data)
	s.pieces = append(s.pieces, p)
	s.tokens += p.Tokens
	s.notify()
	return true
}

// Finish ends the stream with f, whose counts are set from the pieces. It reports false when the stream had ended.
func (s *Stream) Finish(f Final) bool {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.final.End != 0 {
		return false
	}
	f.Pieces, f.Tokens = len(s.pieces), s.tokens
	s.final = f
	s.notify()
	return true
}

// FinalWithCounts returns f with the counts of the pieces so far, and the size of their data.
func (s *Stream) FinalWithCounts(f Final) (Final, identifier.Bytes) {
	s.lock.Lock()
	defer s.lock.Unlock()
	f.Pieces, f.Tokens = len(s.pieces), s.tokens
	size := identifier.Bytes(0)
	for _, p := range s.pieces {
		size += identifier.Bytes(len(p.Data))
	}
	return f, size
}

// DiscardPieces drops the pieces of a stream that has ended and was read. Later reads return its final record only.
func (s *Stream) DiscardPieces() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.final.End != 0 {
		s.pieces = nil
	}
}

// Read returns the pieces from index from on, the final record if the stream has ended, and a channel that is closed at
// the next change.
func (s *Stream) Read(from int) (Chunk, <-chan struct{}) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	from = min(max(from, 0), len(s.pieces))
	return Chunk{Pieces: slices.Clone(s.pieces[from:]), Final: s.final}, s.changed
}

// Len returns the number of pieces so far.
func (s *Stream) Len() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return len(s.pieces)
}

func (s *Stream) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}
