package logger

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// maxBufferedLines is the number of lines buffered for a slow reader of the log: half a megabyte at 300 bytes a line.
const maxBufferedLines = 1700

// BoundedWriter is a writer that never blocks: while its buffer is full, lines are dropped and counted.
type BoundedWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    sync.WaitGroup
	out     io.Writer
}

// NewBoundedWriter returns a writer of whole lines to out.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{lines: make(chan []byte, maxBufferedLines), out: out}
	b.done.Go(b.run)
	return b
}

// Write buffers a copy of one line, or drops the line if the buffer is full. It never fails.
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

// Close writes the buffered lines and stops the writer. Write must not be called afterwards.
func (b *BoundedWriter) Close() {
	close(b.lines)
	b.done.Wait()
}

// run writes the buffered lines. After dropped lines it writes a line with their number.
func (b *BoundedWriter) run() {
	reported := int64(0)
	for line := range b.lines {
		if n := b.dropped.Load(); n > reported {
			_, _ = fmt.Fprintf(b.out, `{"@level":"warn","@message":"log lines dropped","event":"E1011","lines":%d}`+"\n", n-reported)
			reported = n
		}
		// A failed write can't be logged, so it is counted as a dropped line, which a metric reports.
		if _, err := b.out.Write(line); err != nil {
			b.dropped.Add(1)
		}
	}
}
