// Package soaker runs the real programs as processes on this machine and injects faults from outside: signals, faults of
// links and of stand-ins, in a series that a seed determines.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// Process is a program that is started, stopped, paused and killed again and again. Its output goes to one file.
type Process struct {
	name    string
	command []string
	env     []string
	output  *os.File

	mutex sync.Mutex
	run   *run
	// paused is the time of the last pause or resumption.
	paused time.Time
	// ends tells of ends that nobody asked for, and of stops that took too long or failed.
	ends []string
}

// run is one start of a process.
type run struct {
	cmd    *exec.Cmd
	asked  bool
	exited chan struct{}
}

// NewProcess returns a process that is not started yet. Its output is appended to the file.
func NewProcess(name, output string, env []string, command ...string) (*Process, error) {
	f, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // the caller's folder
	if err != nil {
		return nil, fmt.Errorf("open output of %s: %w", name, err)
	}
	return &Process{name: name, command: command, env: env, output: f}, nil
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.name }

// Start starts the process unless it runs.
func (p *Process) Start() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.run != nil {
		return
	}
	cmd := exec.CommandContext(context.Background(), p.command[0], p.command[1:]...) //nolint:gosec // the program under test
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), p.env...), p.output, p.output
	// The process ends with the soak, also when that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.ends = append(p.ends, fmt.Sprintf("%s does not start: %v", p.name, err))
		return
	}
	r := &run{cmd: cmd, exited: make(chan struct{})}
	p.run = r
	go p.wait(r)
}

// wait notes the end of a run.
func (p *Process) wait(r *run) {
	err := r.cmd.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !r.asked {
		p.ends = append(p.ends, fmt.Sprintf("%s ended by itself: %v", p.name, err))
	}
	p.run = nil
	close(r.exited)
}

// signal sends a signal to the present run and returns it; nil if there is none.
func (p *Process) signal(s syscall.Signal, asked bool) *run {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.run == nil {
		return nil
	}
	p.run.asked = p.run.asked || asked
	if err := p.run.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.ends = append(p.ends, fmt.Sprintf("%s takes no signal: %v", p.name, err))
	}
	return p.run
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	if r := p.signal(syscall.SIGKILL, true); r != nil {
		<-r.exited
	}
}

// Pause stops the process until Resume.
func (p *Process) Pause() {
	p.touch()
	p.signal(syscall.SIGSTOP, false)
}

// Resume lets a paused process go on.
func (p *Process) Resume() {
	p.touch()
	p.signal(syscall.SIGCONT, false)
}

// touch records a pause or a resumption, whose time does not count in Stop.
func (p *Process) touch() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.paused = time.Now()
}

func (p *Process) pausedSince(t time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.paused.After(t)
}

// Reload sends the signal that the settings have changed.
func (p *Process) Reload() { p.signal(syscall.SIGHUP, false) }

// Stop asks the process to end and waits. A process that is not through after grace is killed, and noted unless it was
// paused meanwhile.
func (p *Process) Stop(grace time.Duration) {
	began := time.Now()
	r := p.signal(syscall.SIGTERM, true)
	if r == nil {
		return
	}
	over := time.NewTimer(grace)
	defer over.Stop()
	select {
	case <-r.exited:
		if code := r.cmd.ProcessState.ExitCode(); code > 0 {
			p.note(fmt.Sprintf("%s ended with code %d when it was asked to stop", p.name, code))
		}
	case <-over.C:
		if !p.pausedSince(began) {
			p.note(fmt.Sprintf("%s took more than %s to stop", p.name, grace))
		}
		p.Kill()
	}
}

func (p *Process) note(what string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.ends = append(p.ends, what)
}

// Findings returns the ends that nobody asked for and the stops that failed.
func (p *Process) Findings() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]string(nil), p.ends...)
}
