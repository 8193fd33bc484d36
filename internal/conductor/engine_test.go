package conductor_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// engine answers items with events and scoring calls with a stamp, and fails at random.
type engine struct {
	mutex  sync.Mutex
	random *rand.Rand
	// faultRate is the share of calls that fail.
	faultRate float64
	// refusing makes every call be refused as not run.
	refusing atomic.Bool
	// callTime is how long a call takes.
	callTime time.Duration
	version  atomic.Uint64
	calls    atomic.Int64
	// observe is called with each call, if it is set.
	observe atomic.Pointer[func(forwarder.Call)]
	// lateCalls counts the calls for items of endedJobs, the jobs whose owner knows that they have ended.
	endedJobs sync.Map
	lateCalls atomic.Int64
	// textEvents is the number of events of each text, or zero for texts of random length.
	textEvents int
	// pauseAfter is the number of the event after which each text stops growing, or zero.
	pauseAfter atomic.Int64
	// plainAnswers is the number of items that are still answered with a success that is no stream of events.
	plainAnswers atomic.Int64
	// scoreFaults is the number of scoring calls that still break off. scoreEnds are the times at which the targets of scoring
	// calls were to stop.
	scoreFaults atomic.Int64
	scoreEnds   []time.Time
}

func newEngine(seed uint64, faults float64) *engine {
	e := &engine{random: rand.New(rand.NewPCG(seed, seed)), faultRate: faults}
	e.version.Store(5)
	return e
}

func (e *engine) randomFloat() float64 {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.random.Float64()
}

// eventCount returns the number of events of an item, which depends only on its ID.
func eventCount(id string) int {
	h := fnv.New32a()
	h.Write([]byte(id))
	return 1 + int(h.Sum32()%6)
}

func eventData(id string, n int) string { return fmt.Sprintf("%s/%d", id, n) }

// fullText returns the complete text of an item.
func fullText(id string) string {
	var lines []string
	for n := 1; n <= eventCount(id); n++ {
		lines = append(lines, eventData(id, n))
	}
	return strings.Join(lines, "\n")
}

var errBroken = errors.New("connection broken during the answer")

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, errBroken }

// blockedReader returns nothing until its context ends.
type blockedReader struct {
	ctx context.Context
}

func (b blockedReader) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

func newAnswer(status int, body io.Reader) forwarder.Answer {
	return forwarder.Answer{Status: status, Stream: status == 200, Stamp: "stamp", Length: -1, Body: io.NopCloser(body), Header: map[string][]string{}}
}

// Call answers one call.
func (e *engine) Call(ctx context.Context, c forwarder.Call) (forwarder.Answer, forwarder.Fault) {
	e.calls.Add(1)
	if f := e.observe.Load(); f != nil {
		(*f)(c)
	}
	if e.callTime > 0 {
		callCtx, cancel := context.WithTimeout(ctx, e.callTime)
		defer cancel()
		<-callCtx.Done()
	}
	id := string(c.ID)
	if strings.HasPrefix(id, "score-") && e.breakScore(c.Timeout) {
		return forwarder.Answer{}, forwarder.Broken
	}
	if job, _, ok := strings.Cut(id, ":"); ok {
		if _, ended := e.endedJobs.Load(job); ended {
			e.lateCalls.Add(1)
		}
	}
	if strings.HasPrefix(id, "impossible") {
		return newAnswer(422, strings.NewReader("")), forwarder.NoFault
	}
	if e.refusing.Load() {
		a := newAnswer(503, strings.NewReader(""))
		a.NotRun = true
		return a, forwarder.NoFault
	}
	switch p := e.randomFloat() / max(e.faultRate, 1e-9); {
	case p < 0.2:
		a := newAnswer(503, strings.NewReader(""))
		a.NotRun = true
		return a, forwarder.NoFault
	case p < 0.4:
		return forwarder.Answer{}, forwarder.Broken
	case p < 0.5:
		return forwarder.Answer{}, forwarder.Unsent
	}
	if strings.HasPrefix(id, "score-") {
		a := newAnswer(200, strings.NewReader("ok"))
		a.Stamp = "stamp-of-" + id
		return a, forwarder.NoFault
	}
	if e.plainAnswers.Add(-1) >= 0 {
		a := newAnswer(200, strings.NewReader(""))
		a.Stream = false
		return a, forwarder.NoFault
	}
	return e.answerText(ctx, c), forwarder.NoFault
}

// breakScore records a scoring call with the time that its target may spend, and reports whether it breaks off.
func (e *engine) breakScore(timeout time.Duration) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.scoreEnds = append(e.scoreEnds, time.Now().Add(timeout))
	return e.scoreFaults.Add(-1) >= 0
}

// answerText answers an item with its events, starting after the last event that the caller has.
func (e *engine) answerText(ctx context.Context, c forwarder.Call) forwarder.Answer {
	var body bytes.Buffer
	first := 1
	if c.Resume {
		first = c.ResumeAfter + 1
	}
	count := eventCount(string(c.ID))
	if e.textEvents > 0 {
		count = e.textEvents
	}
	pause := int(e.pauseAfter.Load())
	for n := first; n <= count && (pause == 0 || n <= pause); n++ {
		fmt.Fprintf(&body, "%d|%s\n", n, eventData(string(c.ID), n))
	}
	var r io.Reader = &body
	if pause > 0 {
		r = io.MultiReader(&body, blockedReader{ctx})
	}
	if e.randomFloat()/max(e.faultRate, 1e-9) < 0.5 {
		r = io.MultiReader(io.LimitReader(&body, int64(body.Len()/2)), brokenReader{})
	}
	a := newAnswer(200, r)
	a.Version = identifier.Version(e.version.Load())
	return a
}

// Open parses lines of the form NUMBER|DATA as events.
func (e *engine) Open(body io.Reader) forwarder.Events { return &lineEvents{body: body} }

type lineEvents struct {
	body io.Reader
}

func (l *lineEvents) Next() (forwarder.Event, error) {
	var raw []byte
	one := make([]byte, 1)
	for {
		n, err := l.body.Read(one)
		if n == 0 && err != nil {
			if errors.Is(err, io.EOF) && len(raw) > 0 {
				return forwarder.Event{}, errBroken
			}
			return forwarder.Event{}, err
		}
		if one[0] == '\n' {
			break
		}
		raw = append(raw, one[0])
	}
	var e forwarder.Event
	number, data, _ := strings.Cut(string(raw), "|")
	if _, err := fmt.Sscan(number, &e.Number); err != nil {
		return e, err
	}
	e.Data = []byte(data)
	return e, nil
}
