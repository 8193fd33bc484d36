package runner

import (
	"fmt"
	"net"

	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/tracker"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// join makes the agent a node of the relay tree, through which it receives the configuration and sends its reports. An
// agent whose settings have no platform address only serves its own calls.
func (a *Agent) join(s loader.Settings, l net.Listener, backEnd target, clientOptions []rpcclient.Option) error {
	if s.Platform == "" {
		a.server.Start(l)
		return nil
	}
	t, err := newTreeNode(s, treeNodeDependencies{
		clock: a.clock, log: a.log, config: &configurator.Configurator{}, clientOptions: clientOptions,
		platform: platformclient.NewClient(s.Platform, a.clock, reportStatuses(a.log, a.metrics, "platform")),
		ownReport: func() tracker.Row {
			running, draining := a.gatekeeper.Load()
			return tracker.Row{
				Target: identifier.Target(s.Target.Name), Incarnation: a.gatekeeper.Incarnation(), Running: running,
				Draining: draining, Version: backEnd.Version(), Release: identifier.Release(s.Target.Release),
			}
		},
	}, a.server, l)
	if err != nil {
		return fmt.Errorf("join the relay tree: %w", err)
	}
	a.tree = t
	t.Start(nil, nil)
	return nil
}

// leave removes the agent from the relay tree and closes its server.
func (a *Agent) leave() error {
	if a.tree == nil {
		return a.server.Close()
	}
	return a.tree.close()
}

// Distribution returns the agent's node of the relay tree, or nil if it has not joined the tree.
func (a *Agent) Distribution() *Distribution {
	if a.tree == nil {
		return nil
	}
	return a.tree.Distribution
}

// Distribution returns the entry's node of the relay tree.
func (e *Entry) Distribution() *Distribution { return e.tree.Distribution }
