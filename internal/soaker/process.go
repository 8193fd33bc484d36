// Package soaker runs the real programs as local processes and injects faults from outside (signals, faults of links
// and of stand-ins) in a series that a seed determines.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Process is a program that can be started, stopped, paused and killed repeatedly. The output of all its runs goes to
// one file.
type Process struct {
	name    string
	command []string
	env     []string
	output  *os.File

	mutex sync.Mutex
	run   *run
	// pauseChanged is the time of the last pause or resumption.
	pauseChanged time.Time
	// findings lists failed starts and signals, exits that were not requested, and stops that took too long or failed.
	findings []string
}

// run is one execution of the program.
type run struct {
	cmd *exec.Cmd
	// endRequested is set once Stop or Kill has sent a signal; an exit without it is a finding.
	endRequested bool
	exited       chan struct{}
}

// NewProcess returns a process that is not started yet. Its output is appended to the file named output.
func NewProcess(name, output string, env []string, command ...string) (*Process, error) {
	f, err := os.OpenFile(output, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600) //nolint:gosec // the caller's folder
	if err != nil {
		return nil, fmt.Errorf("open output of %s: %w", name, err)
	}
	return &Process{name: name, command: command, env: env, output: f}, nil
}

// Name returns the name of the process.
func (p *Process) Name() string { return p.name }

// Start starts the process unless it is running.
func (p *Process) Start() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.run != nil {
		return
	}
	cmd := exec.CommandContext(context.Background(), p.command[0], p.command[1:]...) //nolint:gosec // the program under test
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), p.env...), p.output, p.output
	// The kernel kills the process when the soak test ends, even if the test itself is killed by a signal.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		p.findings = append(p.findings, fmt.Sprintf("%s could not be started: %v", p.name, err))
		return
	}
	r := &run{cmd: cmd, exited: make(chan struct{})}
	p.run = r
	go p.wait(r)
}

// wait waits for the end of a run and records a finding if the end was not requested.
func (p *Process) wait(r *run) {
	err := r.cmd.Wait()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !r.endRequested {
		p.findings = append(p.findings, fmt.Sprintf("%s exited without being asked to: %v", p.name, err))
	}
	p.run = nil
	close(r.exited)
}

// signal sends a signal to the current run and returns that run, or nil if there is none. endRequested tells that the
// signal is meant to end the run.
func (p *Process) signal(s syscall.Signal, endRequested bool) *run {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.run == nil {
		return nil
	}
	p.run.endRequested = p.run.endRequested || endRequested
	if err := p.run.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		p.findings = append(p.findings, fmt.Sprintf("sending the signal %q to %s failed: %v", s, p.name, err))
	}
	return p.run
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	if r := p.signal(syscall.SIGKILL, true); r != nil {
		<-r.exited
	}
}

// Pause suspends the process until Resume is called.
func (p *Process) Pause() {
	p.recordPauseChange()
	p.signal(syscall.SIGSTOP, false)
}

// Resume continues a paused process.
func (p *Process) Resume() {
	p.recordPauseChange()
	p.signal(syscall.SIGCONT, false)
}

// recordPauseChange records the time of a pause or a resumption. Stop reports no slow stop for a process that was
// paused or resumed meanwhile.
func (p *Process) recordPauseChange() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pauseChanged = time.Now()
}

func (p *Process) pauseChangedSince(t time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.pauseChanged.After(t)
}

// Reload sends SIGHUP, on which the program reloads its settings.
func (p *Process) Reload() { p.signal(syscall.SIGHUP, false) }

// Stop sends SIGTERM and waits. A process that has not exited after grace is killed, which is a finding unless the
// process was paused or resumed meanwhile.
func (p *Process) Stop(grace time.Duration) {
	started := time.Now()
	r := p.signal(syscall.SIGTERM, true)
	if r == nil {
		return
	}
	timeout := time.NewTimer(grace)
	defer timeout.Stop()
	select {
	case <-r.exited:
		if code := r.cmd.ProcessState.ExitCode(); code > 0 {
			p.addFinding(fmt.Sprintf("%s exited with code %d after it was asked to stop", p.name, code))
		}
	case <-timeout.C:
		if !p.pauseChangedSince(started) {
			p.addFinding(fmt.Sprintf("%s took more than %s to stop", p.name, grace))
		}
		p.Kill()
	}
}

func (p *Process) addFinding(finding string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.findings = append(p.findings, finding)
}

// Findings returns the failed starts and signals, the exits that were not requested, and the stops that took too long
// or failed.
func (p *Process) Findings() []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]string(nil), p.findings...)
}

// PeakMemory returns the largest resident memory of the running process so far, in bytes, as the kernel states it.
func (p *Process) PeakMemory() (int64, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.run == nil {
		return 0, fmt.Errorf("%s does not run", p.name)
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.run.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("read memory of %s: %w", p.name, err)
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kibibytes int64
	if _, err := fmt.Sscan(rest, &kibibytes); err != nil {
		return 0, fmt.Errorf("read memory of %s: %w", p.name, err)
	}
	return kibibytes << 10, nil
}

// OpenDescriptors returns the number of file descriptors that the running process has open.
func (p *Process) OpenDescriptors() (int, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.run == nil {
		return 0, fmt.Errorf("%s does not run", p.name)
	}
	open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.run.cmd.Process.Pid))
	if err != nil {
		return 0, fmt.Errorf("count descriptors of %s: %w", p.name, err)
	}
	return len(open), nil
}
