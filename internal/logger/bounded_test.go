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

// pipe is a reader of the log that takes nothing until it is opened.
type pipe struct {
	open  chan struct{}
	mutex sync.Mutex
	bytes.Buffer
}

func (p *pipe) Write(line []byte) (int, error) {
	<-p.open
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.Buffer.Write(line)
}

// Guards against a full pipe that blocks a request, and against lines that are lost without a count.
func TestFullPipeCostsLinesOnly(t *testing.T) {
	c := qt.New(t)
	p := &pipe{open: make(chan struct{})}
	b := logger.NewBoundedWriter(p)
	const lines = 5000
	for i := range lines {
		n, err := fmt.Fprintf(b, "line %d\n", i)
		c.Assert(err, qt.IsNil)
		c.Assert(n > 0, qt.IsTrue)
	}
	c.Assert(b.Dropped() > 0, qt.IsTrue)
	close(p.open)
	b.Close()
	written := int64(strings.Count(p.String(), "line "))
	c.Assert(written+b.Dropped(), qt.Equals, int64(lines))
}

// Guards against a load that writes a line for each request, and against requests of which only some lines are kept.
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
	// 12,800 lines a second are cut to one of 256, which is 50 on average.
	c.Assert(kept > 10 && kept < 120, qt.IsTrue, qt.Commentf("%d kept", kept))
	c.Assert(s.Omitted() > 0, qt.IsTrue)
}
