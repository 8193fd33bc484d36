// Package rig holds the small stand-ins of the review: a key-value service, a usage intake and samplers of the users'
// platform, clients, and the processes of the deploy file. They serve on loopback addresses and on the real clock.
package rig

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/timer"
)

// Exit codes of a case.
const (
	ExitHeld    = 0
	ExitBroken  = 1
	ExitCantRun = 2
)

// Record is the file that says what was sent, answered and run, with the time in seconds since the start.
type Record struct {
	clock timer.Service
	began time.Duration

	mutex sync.Mutex
	file  *os.File
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string, clock timer.Service) (*Record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt")) //nolint:gosec // the folder of the case
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{clock: clock, began: clock.Monotonic(), file: f}, nil
}

// Seconds returns the time since the start.
func (r *Record) Seconds() float64 { return (r.clock.Monotonic() - r.began).Seconds() }

// Line appends a line.
func (r *Record) Line(format string, values ...any) {
	at := r.Seconds()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", at, fmt.Sprintf(format, values...)) // the exit code does not depend on the file
}

// Say appends a line and prints it.
func (r *Record) Say(format string, values ...any) {
	r.Line(format, values...)
	fmt.Printf(format+"\n", values...)
}
