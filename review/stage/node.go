package stage

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"

	"github.com/mimosalb/mimosalb/internal/timer"
)

// Node is a process of the project on an address of its own.
type Node struct {
	Name string
	IP   string

	// ports are the ports for clients, for readiness checks and for other processes.
	ports   [3]int
	clock   timer.Service
	command []string
	env     []string
	output  *os.File
	mutex   sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
}

// Indices of ports.
const (
	callersPort = iota
	readyPort
	peerPort
)

// choosePorts chooses free ports.
func (n *Node) choosePorts() error {
	for i := range n.ports {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", net.JoinHostPort(n.IP, "0"))
		if err != nil {
			return fmt.Errorf("choose a port: %w", err)
		}
		defer func() { _ = l.Close() }() // nothing was accepted
		address, _ := l.Addr().(*net.TCPAddr)
		n.ports[i] = address.Port
	}
	return nil
}

func (n *Node) address(port int) string { return net.JoinHostPort(n.IP, strconv.Itoa(n.ports[port])) }

// Callers is the address for clients.
func (n *Node) Callers() string { return n.address(callersPort) }

// Ready is the address for readiness checks.
func (n *Node) Ready() string { return n.address(readyPort) }

// Start starts the process unless it runs.
func (n *Node) Start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cmd != nil {
		return nil
	}
	cmd := exec.Command(n.command[0], n.command[1:]...) //nolint:gosec,noctx // the program under review, which the stage ends
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), n.env...), n.output, n.output
	// The process ends with the stage, even if that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", n.Name, err)
	}
	n.cmd, n.exited = cmd, make(chan struct{})
	exited := n.exited
	go func() {
		_ = cmd.Wait() // killed processes report an error
		n.mutex.Lock()
		n.cmd = nil
		n.mutex.Unlock()
		close(exited)
	}()
	return nil
}

// signal sends a signal and returns a channel that is closed when the process has exited; nil if it does not run.
func (n *Node) signal(s syscall.Signal) <-chan struct{} {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cmd == nil {
		return nil
	}
	_ = n.cmd.Process.Signal(s) // it may have exited
	return n.exited
}

// Kill kills the process and waits for its end.
func (n *Node) Kill() {
	if exited := n.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
}

// Stop asks the process to stop and waits for its end. It kills the process once the grace time is over.
func (n *Node) Stop() {
	exited := n.signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	timeout := n.clock.After(grace)
	defer timeout.Stop()
	select {
	case <-exited:
	case <-timeout.C():
		n.Kill()
	}
}

// Runs reports whether the process runs.
func (n *Node) Runs() bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cmd != nil
}

// Memory returns the anonymous resident memory of the process in bytes, or zero if it does not run.
func (n *Node) Memory() int64 {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cmd == nil {
		return 0
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.cmd.Process.Pid)) // empty if the process has ended
	_, rest, _ := strings.Cut(string(status), "RssAnon:")
	var kibibytes int64
	_, _ = fmt.Sscan(rest, &kibibytes) // zero if the process has ended
	return kibibytes << 10
}
