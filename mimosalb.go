// Package mimosalb is the facade of the rollout service: it builds one node of the system from its settings and runs
// it until its context ends.
package mimosalb

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/runner"
	"github.com/mimosalb/mimosalb/internal/tracer"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// DefaultDrain is the default time limit within which a stopping node finishes its accepted work.
const DefaultDrain = 30 * time.Second

// Node is one process of the system.
type Node struct {
	settings loader.Settings
	role     loader.Role
	log      io.Writer
	drain    time.Duration
}

// Option sets a property of a Node.
type Option func(*Node)

// WithLog sends the node's events to w instead of the standard error output.
func WithLog(w io.Writer) Option { return func(n *Node) { n.log = w } }

// WithDrain sets the time limit within which the stopping node finishes its accepted work.
func WithDrain(d time.Duration) Option { return func(n *Node) { n.drain = d } }

// New returns a node with the given role and settings.
func New(role loader.Role, settings loader.Settings, opts ...Option) *Node {
	n := &Node{settings: settings, role: role, log: os.Stderr, drain: DefaultDrain}
	for _, o := range opts {
		o(n)
	}
	return n
}

// stopper stops a running process.
type stopper interface {
	Stop(ctx context.Context) error
}

// Run starts the node, waits until ctx ends, and drains it.
func (n *Node) Run(ctx context.Context) error {
	flush, err := tracer.Start(ctx, n.settings.Name, tracer.Settings(n.settings.Trace))
	if err != nil {
		return fmt.Errorf("start tracer: %w", err)
	}
	process, err := n.start(logger.NewLogger(n.settings.Name, n.settings.Log, n.log))
	if err != nil {
		return fmt.Errorf("start %s: %w", n.role, err)
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.drain)
	defer cancel()
	if err := process.Stop(stopCtx); err != nil {
		return fmt.Errorf("stop %s: %w", n.role, err)
	}
	return flush(stopCtx)
}

func (n *Node) start(log *logger.Logger) (stopper, error) {
	switch n.role {
	case loader.RoleEntry:
		return runner.StartEntry(n.settings, log)
	case loader.RoleAgent:
		return runner.StartAgent(n.settings, log)
	case loader.RoleStandin:
		return runner.StartStandin(*n.settings.Standin, log)
	default:
		return nil, fmt.Errorf("unknown role %q, want %s, %s or %s", n.role, loader.RoleEntry, loader.RoleAgent, loader.RoleStandin)
	}
}
