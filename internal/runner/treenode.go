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

// treeNode is a process's node of the relay tree: its Distribution and the server that other nodes call.
type treeNode struct {
	*Distribution

	server *rpcserver.Server
	peers  *rpcclient.Client
}

// treeNodeDependencies holds the components of a process that its treeNode uses.
type treeNodeDependencies struct {
	clock         timer.Service
	log           *logger.Logger
	config        *configurator.Configurator
	platform      Lister
	onVMList      func(vms []platformclient.VM)
	ownReport     func() tracker.Row
	clientOptions []rpcclient.Option
}

// newTreeNode returns the treeNode of a process that listens on l, and starts server with its RPC receiver.
func newTreeNode(s loader.Settings, deps treeNodeDependencies, server *rpcserver.Server, l net.Listener) (*treeNode, error) {
	t := &treeNode{server: server, peers: rpcclient.NewClient(deps.clock, deps.clientOptions...)}
	t.Distribution = NewDistribution(DistributionSettings{
		Self: distributor.Member{
			Node: identifier.Node(s.Name), Zone: identifier.Zone(s.Zone), Region: identifier.Region(s.Region),
			Address: l.Addr().String(), Agent: deps.ownReport != nil,
		},
		Period: period(s), FanOut: distributor.DefaultFanOut, Clock: deps.clock, Log: deps.log, Peers: t.peers,
		Platform: deps.platform, Config: deps.config, Folder: s.Data, OnVMList: deps.onVMList, OwnReport: deps.ownReport,
	})
	if err := server.Register("Relay", rpcserver.NewRelay(t.Distribution, deps.clock)); err != nil {
		return nil, errors.Join(fmt.Errorf("serve relay: %w", err), l.Close())
	}
	server.Start(l)
	return t, nil
}

// close stops the tasks, then closes the connections.
func (t *treeNode) close() error {
	t.Stop()
	t.peers.Close()
	return t.server.Close()
}

// period returns the configured period of probes and of the relay tree, or the default.
func period(s loader.Settings) time.Duration {
	if s.Period > 0 {
		return time.Duration(s.Period)
	}
	return loader.DefaultPeriod
}

// keyGrace returns how long keys are accepted after the last proof of freshness.
func keyGrace(s loader.Settings) time.Duration {
	if s.KeyGrace > 0 {
		return time.Duration(s.KeyGrace)
	}
	return authenticator.DefaultGrace
}
