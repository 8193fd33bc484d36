// Package hoster builds the processes that run on a platform of the users' own from the parts of the product and the
// calls of the platform's adapter.
package hoster

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
	"github.com/mimosalb/mimosalb/internal/adapter/jobpeer"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/tallier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/upgrader"
)

// OperatorEntry is what one key of the operators and trainers says: at most one of its fields is set.
type OperatorEntry struct {
	Plan    *navigator.Plan
	Desired *upgrader.DesiredVersion
	// Retire names a VM with a disk that is to be emptied, and Status is the key that tells so with its value.
	Retire identifier.Node
	Status storer.Put
}

// Decoder reads what others write to the key-value service.
type Decoder interface {
	Operator(e storer.Entry) (OperatorEntry, error)
	Listing(e storer.Entry) (registrar.Listing, error)
	Target(key string) identifier.Target
}

// KeyValue is the key-value service.
type KeyValue interface {
	storer.Driver
	storer.Feed
}

// Targets reaches the targets.
type Targets interface {
	forwarder.Caller
	forwarder.Opener
	upgrader.Engines
}

// Front is the interface to callers and trainers.
type Front interface {
	http.Handler
	Ready(w http.ResponseWriter, r *http.Request)
	Drain()
}

// Meter counts what a process does.
type Meter interface {
	Request(kind, outcome, reason string, took time.Duration)
	Item(end string, took time.Duration)
	Call(dependency, outcome string, took time.Duration)
}

// Platform is what the adapter gives.
type Platform struct {
	KeyValue       KeyValue
	Targets        Targets
	ReportReceiver tallier.ReportReceiver
	Decoder        Decoder
	Dial           jobpeer.Dial
	// OperatorPrefix and TargetPrefix are the prefixes of the keys that a Decoder reads, and PlanPrefix is that of those
	// operators' keys that hold the plan.
	OperatorPrefix string
	PlanPrefix     string
	TargetPrefix   string
}

// Settings are those of a process.
type Settings struct {
	Node    identifier.Node
	Zone    identifier.Zone
	Region  identifier.Region
	Regions map[identifier.Zone]identifier.Region
	// Cores is the part of a core that the process may use; zero if it is not known.
	Cores float64
	// Callers, Ready and Peer are the addresses on which an entry listens, and Metrics that of the metrics; there are none
	// without it.
	Callers string
	Ready   string
	Peer    string
	Metrics string
	// MinTTL bounds the time of a lease from below, and Turns is the shortest time in which two holders of a duty may
	// take turns.
	MinTTL       time.Duration
	DutyCooldown time.Duration
	Window       time.Duration
	Grace        time.Duration
	Retention    time.Duration
	// Apply, Drain and Cancel are the times within which a configuration, the leaving of a target and the end of a batch
	// job are in force everywhere.
	Apply  time.Duration
	Drain  time.Duration
	Cancel time.Duration
}

const (
	// longestPause bounds the pause between probes of a key-value service that is down.
	longestPause = 500 * time.Millisecond
	// callTimeout bounds one call to the key-value service: a slow one answers in a quarter of a second, and whoever
	// waits longer is better served by another entry.
	callTimeout = 700 * time.Millisecond
	// presenceTTL is the time after which an entry that is silent no longer counts as there.
	presenceTTL = 2 * time.Second
	// settleShare is the part of the time in which the leaving of a target must be known for which a watch pauses after a
	// change: the changes of one wave of loads then cost one call.
	settleShare = 2
	// nodesSettle is the pause of the watch of the processes after a change. When processes are restarted one after the
	// other, each change would otherwise wake every entry.
	nodesSettle = time.Second
	// nodesWithin is the time in which the coming and going of processes is to be known even if a watch is silent.
	nodesWithin = 7 * time.Second
	// freshMargin is the part of the time in which a change must be in force that is left for reading it.
	freshMargin = 700 * time.Millisecond
	// relayMargin is how much older than the wait of a watch the last read of the process that reads for others may be.
	relayMargin = 300 * time.Millisecond
	// leastWait bounds the wait of a watch from below, so that short times do not multiply the calls.
	leastWait = 500 * time.Millisecond
)

// base is what every process has.
type base struct {
	Settings
	platform    Platform
	parts       Observers
	clock       timer.Service
	log         *logger.Logger
	store       *storer.Storer
	codec       codec.Jobs
	incarnation identifier.Incarnation
}

// Observers are where a process tells what it does.
type Observers struct {
	Log *logger.Logger
	// Lines is the writer of the log, and Metrics the counters.
	Lines   *logger.BoundedWriter
	Metrics *exporter.Hosted
}

func newBase(s Settings, p Platform, o Observers) base {
	clock := timer.NewSystem()
	return base{
		Settings: s, platform: p, parts: o, clock: clock, log: o.Log,
		store:       storer.NewStorer(p.KeyValue, clock, storer.WithMaxPause(longestPause), storer.WithCallTimeout(callTimeout)),
		incarnation: identifier.Incarnation(clock.Now().UnixMilli()),
	}
}

func (b base) owner() recorder.Owner { return recorder.Owner{Node: b.Node, Incarnation: b.incarnation} }

// follow keeps a view of the keys below a prefix up to date, within the time that a change may take.
func (b base) follow(ctx context.Context, prefix string, settle func() time.Duration, within time.Duration, v storer.View) {
	storer.NewFollower(b.platform.KeyValue, b.store.WithPurpose(storer.PurposeConfig), prefix, settle, watchWait(within)).Follow(ctx, v)
}

// followShared keeps a view of the keys below a prefix up to date as follow does, and reads the changes at the process
// that reads for others while there is one. What this process reads itself is passed on to the relay.
func (b base) followShared(ctx context.Context, prefix string, settle, within time.Duration, v storer.View, s source, r *storer.ChangeBuffer) {
	feed := storer.NewSharedFeed(b.platform.KeyValue, s, r, b.clock)
	pause := func() time.Duration {
		switch {
		case feed.Shared():
			// The pause saves calls to the service, and there are none.
			return 0
		case s.Serves():
			// Others wait for what is read.
			return settle / 2
		default:
			return settle
		}
	}
	// A pause and a wait together keep the last read within the limit of the relay.
	wait := watchWait(within) - settle/2
	storer.NewFollower(feed, b.store.WithPurpose(storer.PurposeConfig), prefix, pause, wait).Follow(ctx, v)
}

// watchWait returns how long a watch waits for changes that must be in force within a time.
func watchWait(within time.Duration) time.Duration { return max(leastWait, within-freshMargin) }

// at returns a settle time that is always the same.
func at(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// export serves the metrics. It returns a function that ends that.
func (b base) export(state exporter.HostedState) (stop func(), err error) {
	state.Dropped = b.parts.Lines.Dropped
	b.parts.Metrics.Observe(state)
	if b.Metrics == "" {
		return func() {}, nil
	}
	l, err := listen(b.Metrics)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", b.Metrics, err)
	}
	server := &http.Server{Handler: promhttp.HandlerFor(b.parts.Metrics.Gatherer(), promhttp.HandlerOpts{}), ReadHeaderTimeout: headerTime}
	go func() { _ = server.Serve(l) }()       // it returns when the server is closed
	return func() { _ = server.Close() }, nil // no reader needs the end of an answer
}

// listen opens a TCP listener.
func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}
