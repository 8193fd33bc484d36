package runner

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcserver"
	"github.com/mimosalb/mimosalb/internal/authenticator"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/tracker"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// tree is a process's place in the relay tree: its Distribution and the server that other nodes call.
type tree struct {
	*Distribution

	server *rpcserver.Server
	peers  *rpcclient.Client
}

// treeParts are the parts of a process that a tree works with.
type treeParts struct {
	clock    timer.Service
	log      *logger.Logger
	config   *configurator.Configurator
	platform Lister
	listed   func(vms []platformclient.VM)
	own      func() tracker.Row
	calling  []rpcclient.Option
}

// newTree returns the tree of a process that listens on l, and serves its Relay with server.
func newTree(s loader.Settings, p treeParts, server *rpcserver.Server, l net.Listener) (*tree, error) {
	t := &tree{server: server, peers: rpcclient.NewClient(p.clock, p.calling...)}
	t.Distribution = NewDistribution(DistributionSettings{
		Self: distributor.Member{
			Node: identifier.Node(s.Name), Zone: identifier.Zone(s.Zone), Region: identifier.Region(s.Region),
			Address: l.Addr().String(), Agent: p.own != nil,
		},
		Period: period(s), FanOut: distributor.DefaultFanOut, Clock: p.clock, Log: p.log, Peers: t.peers,
		Platform: p.platform, Config: p.config, Folder: s.Data, Listed: p.listed, Own: p.own,
	})
	if err := server.Register("Relay", rpcserver.NewRelay(t.Distribution, p.clock)); err != nil {
		return nil, errors.Join(fmt.Errorf("serve relay: %w", err), l.Close())
	}
	server.Start(l)
	return t, nil
}

// close ends the tasks, then the connections.
func (t *tree) close() error {
	t.Stop()
	t.peers.Close()
	return t.server.Close()
}

// period returns the time between two probes.
func period(s loader.Settings) time.Duration {
	if s.Period > 0 {
		return time.Duration(s.Period)
	}
	return loader.DefaultPeriod
}

// keyGrace returns how long keys work after the last proof of freshness.
func keyGrace(s loader.Settings) time.Duration {
	if s.KeyGrace > 0 {
		return time.Duration(s.KeyGrace)
	}
	return authenticator.DefaultGrace
}
