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

// join makes the agent a node of the relay tree, which hands it the configuration and takes its reports. An agent
// without the address of the platform does without.
func (a *Agent) join(s loader.Settings, l net.Listener, back target, calling []rpcclient.Option) error {
	if s.Platform == "" {
		a.server.Start(l)
		return nil
	}
	t, err := newTree(s, treeParts{
		clock: a.clock, log: a.log, config: &configurator.Configurator{}, calling: calling,
		platform: platformclient.NewClient(s.Platform, a.clock),
		own: func() tracker.Row {
			running, draining := a.gate.Load()
			return tracker.Row{
				Target: identifier.Target(s.Target.Name), Incarnation: a.gate.Incarnation(), Running: running,
				Draining: draining, Version: back.Version(),
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

// leave ends the agent's part in the relay tree and its server.
func (a *Agent) leave() error {
	if a.tree == nil {
		return a.server.Close()
	}
	return a.tree.close()
}

// Distribution returns the agent's part in the relay tree; nil without one.
func (a *Agent) Distribution() *Distribution {
	if a.tree == nil {
		return nil
	}
	return a.tree.Distribution
}

// Distribution returns the entry's part in the relay tree.
func (e *Entry) Distribution() *Distribution { return e.tree.Distribution }
