package logger_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// stalledWriter blocks every write until open is closed.
type stalledWriter struct {
	open  chan struct{}
	mutex sync.Mutex
	bytes.Buffer
}

func (w *stalledWriter) Write(line []byte) (int, error) {
	<-w.open
	w.mutex.Lock()
	defer w.mutex.Unlock()
	return w.Buffer.Write(line)
}

// Guards against requests that block while the reader of the log stalls, and against dropped lines that aren't counted.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	c := qt.New(t)
	out := &stalledWriter{open: make(chan struct{})}
	b := logger.NewBoundedWriter(out)
	const lines = 5000
	for i := range lines {
		n, err := fmt.Fprintf(b, "line %d\n", i)
		c.Assert(err, qt.IsNil)
		c.Assert(n > 0, qt.IsTrue)
	}
	c.Assert(b.Dropped() > 0, qt.IsTrue)
	close(out.open)
	b.Close()
	written := int64(strings.Count(out.String(), "line "))
	c.Assert(written+b.Dropped(), qt.Equals, int64(lines))
}

// Guards against one log line per request under load, and against requests that lose only some of their lines.
func TestSamplerKeepsWholeRequests(t *testing.T) {
	c := qt.New(t)
	clock := &timer.Manual{}
	s := logger.NewSampler(clock, 50)
	clock.Advance(time.Second)
	kept := 0
	for i := range 40 {
		if s.Keep(fmt.Sprint(i)) {
			kept++
		}
	}
	c.Assert(kept, qt.Equals, 40)
	for range 3 {
		clock.Advance(time.Second)
		kept = 0
		for i := range 6400 {
			first := s.Keep(fmt.Sprint(i))
			c.Assert(s.Keep(fmt.Sprint(i)), qt.Equals, first)
			if first {
				kept += 2
			}
		}
	}
	// 12,800 lines a second are reduced to one in 256, which is 50 on average.
	c.Assert(kept > 10 && kept < 120, qt.IsTrue, qt.Commentf("%d kept", kept))
	c.Assert(s.Omitted() > 0, qt.IsTrue)
}
