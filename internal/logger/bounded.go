package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// lineCapacity is the number of lines that wait for a slow reader of the log; at 300 bytes a line it is half a megabyte.
const lineCapacity = 1700

// BoundedWriter is a writer that never blocks: lines that a slow reader leaves no room for are dropped and counted.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
	out     io.Writer
}

// NewBoundedWriter returns a writer of whole lines to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, lineCapacity), out: out}
	b.done.Go(b.run)
	return b
}

// Write takes one line.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (b *BoundedWriter) Dropped() int64 { return b.dropped.Load() }

// Close writes the lines that wait and ends the writer. No line may be written afterwards.
func (b *BoundedWriter) Close() {
	close(b.lines)
	b.done.Wait()
}

// run writes the lines, and after a gap how many are missing.
func (b *BoundedWriter) run() {
	told := int64(0)
	for line := range b.lines {
		if n := b.dropped.Load(); n > told {
			_, _ = fmt.Fprintf(b.out, `{"@level":"warn","@message":"log lines dropped","event":"E1011","lines":%d}`+"\n", n-told)
			told = n
		}
		// A log that can't be written has no other place to tell so; the count of dropped lines is a metric.
		if _, err := b.out.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}
