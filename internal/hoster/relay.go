package hoster

import (
	"github.com/mimosalb/mimosalb/internal/adapter/jobpeer"
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/relayer"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// relay holds what an entry needs to call the key-value service through another entry, and for other entries.
type relay struct {
	// direct calls the service only from this process. Usage and the evidence against requests go no other way.
	direct *storer.Storer
	// relayer and executor are nil if the entry neither asks other entries nor makes calls for them.
	relayer  *relayer.Relayer
	executor *relayer.Executor
}

// useRelay replaces the key-value service of the entry by one that is called through another entry while this one does not reach it.
// Registration, batch jobs, origins of streams and all watches use it. Answers that come through another entry count as reached, since
// no lease expires for lack of the service while there are any.
func (e *Entry) useRelay(service storer.Service) {
	e.relay.direct = e.store
	if e.WithoutRelay {
		return
	}
	path := relayer.NewPath(e.clock)
	e.relay.direct = e.store.Through(service)
	e.relay.executor = relayer.NewExecutor(service, path, e.store.Through(service), e.clock, func(outcome string) {
		e.observers.Metrics.Relayed("executed", outcome)
	})
	e.relay.relayer = relayer.NewRelayer(relayer.Dependencies{
		Service: service, Path: path, Messenger: jobpeer.NewRelayClient(e.platform.Dial, e.clock, e.log), Clock: e.clock, Log: e.log,
		Candidates: func(s confiner.Scope) []string {
			return relayer.Candidates(e.Node, e.Region, e.conductor.OtherMembers(), s)
		},
		ProbeKey: recorder.NodeKey(e.Node),
		Observe:  func(outcome string) { e.observers.Metrics.Relayed("asked", outcome) },
	})
	e.platform.KeyValue = storer.Observe(e.relay.relayer, e.availability)
	e.store = e.store.Through(e.platform.KeyValue)
}

// relaying reports whether the calls of this entry go through another one.
func (r *relay) relaying() bool { return r.relayer != nil && r.relayer.Relaying() }

// close ends the probes of the service.
func (r *relay) close() {
	if r.relayer != nil {
		r.relayer.Close()
	}
}
