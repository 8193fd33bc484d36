// Package logger writes numbered events, which docs/events.md lists. No event contains a key, a prompt or tokens.
package logger

import (
	"fmt"
	"io"

	"github.com/hashicorp/go-hclog"
)

// Logger writes events.
type Logger struct {
	out hclog.Logger
}

// NewLogger returns a Logger that writes events of at least the given level ("debug", "info", "warn", "error") to w.
func NewLogger(name, level string, w io.Writer) *Logger {
	return &Logger{out: hclog.New(&hclog.LoggerOptions{
		Name: name, Level: hclog.LevelFromString(level), Output: w, JSONFormat: true,
	})}
}

// Emit writes an event with alternating field names and values. A nil Logger writes nothing.
func (l *Logger) Emit(e Event, pairs ...any) {
	if l == nil {
		return
	}
	l.out.Log(e.Level, e.Text, append([]any{"event", fmt.Sprintf("E%04d", e.Number)}, pairs...)...)
}
