package hoster

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/mimosalb/mimosalb/internal/adapter/guardedconn"
	"github.com/mimosalb/mimosalb/internal/guarder"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// guards bound what the clients of the listeners of a process make it hold. Callers, checks (readiness and metrics) and the other
// processes have separate limits, so that none of them is refused for the others.
type guards struct {
	callers, checks, peers *guarder.Guarder
	cancel                 context.CancelFunc
	running                sync.WaitGroup
}

// newGuards returns the guards of a process and starts them.
func newGuards(s Settings, clock timer.Service, log *logger.Logger) *guards {
	ctx, cancel := context.WithCancel(context.Background())
	g := &guards{
		callers: guarder.NewGuarder("callers", guarder.NewCallerLimits(s.Memory, s.Descriptors), clock, log),
		checks:  guarder.NewGuarder("checks", guarder.NewCheckLimits(s.Memory), clock, log),
		peers:   guarder.NewGuarder("peers", guarder.NewPeerLimits(s.Memory), clock, log),
		cancel:  cancel,
	}
	for _, one := range []*guarder.Guarder{g.callers, g.checks, g.peers} {
		g.running.Go(func() { one.Run(ctx) })
	}
	return g
}

// state returns what all guards have counted.
func (g *guards) state() guarder.State {
	return g.callers.State().Plus(g.checks.State()).Plus(g.peers.State())
}

// serveMetrics serves the metrics on l. It returns a function that stops serving them.
func (g *guards) serveMetrics(l net.Listener, metrics http.Handler) (stop func()) {
	server := newServer(l.Addr().String(), metrics)
	guardedconn.Guard(server)
	go func() { _ = server.Serve(guardedconn.NewListener(l, g.checks)) }() // returns when the server is closed
	return func() { _ = server.Close() }                                   // a scrape may be cut off
}

// stop stops the guards. Connections are not admitted any more.
func (g *guards) stop() {
	g.cancel()
	g.running.Wait()
}

// newServer returns a server with the limits for one request.
func newServer(address string, h http.Handler) *http.Server {
	return &http.Server{Addr: address, Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}
