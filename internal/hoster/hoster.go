// Package hoster assembles the processes that run on a user-provided platform. They use the domain packages and the
// adapter of that platform.
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
	"github.com/mimosalb/mimosalb/internal/checker"
	"github.com/mimosalb/mimosalb/internal/estimator"
	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/navigator"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/tallier"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/internal/upgrader"
)

// OperatorEntry is the decoded value of a key that an operator or trainer writes. It holds a plan, a desired version,
// a VM to retire, or none of them.
type OperatorEntry struct {
	Plan *navigator.Plan
	// Findings are those of the plan.
	Findings []checker.Finding
	Desired  *upgrader.DesiredVersion
	// Retire names a VM whose disk is to be released. Status is the write that confirms the release.
	Retire identifier.Node
	Status storer.Put
}

// Decoder decodes the entries that operators, trainers and targets write to the key-value service.
type Decoder interface {
	Operator(e storer.Entry) (OperatorEntry, error)
	Listing(e storer.Entry) (registrar.Listing, error)
	Target(key string) identifier.Target
	// EvacuatedZone returns the zone that a key below Platform.EvacuationPrefix names.
	EvacuatedZone(key string) identifier.Zone
}

// Targets sends requests and weight switches to targets.
type Targets interface {
	forwarder.TargetClient
	forwarder.Opener
	forwarder.StartReader
	upgrader.Engines
}

// Front serves the HTTP requests of callers and trainers.
type Front interface {
	http.Handler
	Ready(w http.ResponseWriter, r *http.Request)
	Drain()
}

// Meter counts requests, batch items, calls to dependencies and answers of these with an invalid status.
type Meter interface {
	Request(kind, outcome, reason string, took time.Duration)
	Item(end string, took time.Duration)
	Call(dependency, outcome string, took time.Duration)
	// InvalidStatus counts an answer of a dependency whose status the protocol does not allow.
	InvalidStatus(dependency string)
}

// Platform holds the interfaces and key prefixes that the adapter of a platform provides.
type Platform struct {
	KeyValue       storer.Service
	Targets        Targets
	ReportReceiver tallier.ReportReceiver
	Decoder        Decoder
	Dial           jobpeer.Dial
	// Shape reads what the headers of a request say about its size.
	Shape func(header func(name string) string) estimator.Shape
	// OperatorPrefix and TargetPrefix are the prefixes of the keys that Decoder decodes. PlanPrefix is the prefix of the
	// operators' keys that hold the plan, EvacuationPrefix that of the orders to evacuate zones.
	OperatorPrefix   string
	PlanPrefix       string
	EvacuationPrefix string
	TargetPrefix     string
}

// Settings configure a process.
type Settings struct {
	Node    identifier.Node
	Zone    identifier.Zone
	Region  identifier.Region
	Regions map[identifier.Zone]identifier.Region
	// Cores is the number of CPU cores, possibly fractional, that the process may use; zero if unknown.
	Cores float64
	// Memory bounds the memory of the process; zero if unknown.
	Memory identifier.Bytes
	// Descriptors bounds the open files and connections of the process; zero if unknown.
	Descriptors int
	// Callers, Ready and Peer are the addresses on which an entry listens. Metrics is the address on which a process
	// serves its metrics; they are not served if it is empty.
	Callers string
	Ready   string
	Peer    string
	Metrics string
	// Heartbeat is the time between two renewals of a target's listing.
	Heartbeat time.Duration
	// MinTTL is the shortest TTL of a duty's lease. DutyCooldown is the time for which a process does not campaign after
	// its own term, so that two processes do not alternate in quick succession.
	MinTTL       time.Duration
	DutyCooldown time.Duration
	Window       time.Duration
	Grace        time.Duration
	Retention    time.Duration
	// Apply, Drain and Cancel are the times within which a configuration, the draining of a target and the end of a batch
	// job take effect in all processes.
	Apply  time.Duration
	Drain  time.Duration
	Cancel time.Duration
	// Evacuate is the time within which an order to evacuate a zone takes effect in all processes. Zero switches evacuation off: the
	// orders are not read.
	Evacuate time.Duration
	// WithoutRelay makes an entry that does not reach the key-value service wait, instead of making its calls through another entry.
	WithoutRelay bool
	// BySlack makes an entry order batch items by the time that their jobs have left, cut and move attempts by measured speeds, and refuse
	// requests by their expected wait and the shares of teams.
	BySlack bool
	// Placement is how an entry places the items of batch jobs; the empty one is PlaceByCost.
	Placement Placement
	// ColdBound bounds the requests that a cold target may get.
	ColdBound limiter.ColdBound
}

const (
	// maxPause bounds the pause between probes of a key-value service that is down.
	maxPause = 500 * time.Millisecond
	// callTimeout bounds one call to the key-value service. A slow service answers within a quarter of a second; a caller
	// that would wait longer gets a faster answer from another entry.
	callTimeout = 700 * time.Millisecond
	// presenceTTL is the time after which an entry that does not renew its registration counts as gone.
	presenceTTL = 2 * time.Second
	// batchDelayDivisor divides Settings.Drain into the pause of a watch of targets after a change, so that the changes of one
	// wave of weight loads cost one call.
	batchDelayDivisor = 2
	// readerDelayDivisor divides the batch delay of a process while other processes wait for the changes that it reads.
	readerDelayDivisor = 2
	// membershipBatchDelay is the pause of the watch of the processes after a change. Without it a rolling restart would wake
	// every entry for each restarted process.
	membershipBatchDelay = time.Second
	// membershipDelay is the time within which started and stopped processes must be known even if a watch stays silent.
	membershipDelay = 7 * time.Second
	// readMargin is the part of the time limit of a change that is reserved for reading it.
	readMargin = 700 * time.Millisecond
	// bufferAgeMargin is how much older than the wait of a watch the last read of a change buffer may be.
	bufferAgeMargin = 300 * time.Millisecond
	// minWatchWait is the shortest wait of a watch, so that short time limits do not multiply the calls.
	minWatchWait = 500 * time.Millisecond
)

// base holds the state that entries and controllers have in common.
type base struct {
	Settings
	platform  Platform
	observers Observers
	clock     timer.Service
	log       *logger.Logger
	store     *storer.Storer
	// availability knows of outages of the key-value service.
	availability *storer.Availability
	codec        codec.Jobs
	incarnation  identifier.Incarnation
	guards       *guards
}

// Observers receive the log lines and metrics of a process.
type Observers struct {
	Log *logger.Logger
	// Lines is the writer behind Log; its count of dropped lines is exported as a metric.
	Lines   *logger.BoundedWriter
	Metrics *exporter.Hosted
}

func newBase(s Settings, p Platform, o Observers) base {
	clock := timer.NewSystem()
	availability := storer.NewAvailability(clock, minLapseOutage(s.Heartbeat))
	p.KeyValue = storer.Observe(p.KeyValue, availability)
	return base{
		Settings: s, platform: p, observers: o, clock: clock, log: o.Log, availability: availability,
		store:       storer.NewStorer(p.KeyValue, clock, storer.WithMaxPause(maxPause), storer.WithCallTimeout(callTimeout)),
		incarnation: identifier.Incarnation(clock.Now().UnixMilli()), guards: newGuards(s, clock, o.Log),
	}
}

const (
	// silentHeartbeats is the least number of heartbeats between the begin of an outage and the end of a listing's lease,
	// which lasts three of them and was renewed within the one before.
	silentHeartbeats = 2
	// outageMargin is how much later than its begin a process may notice an outage: its registration is renewed so often.
	outageMargin = presenceTTL/renewalsPerTTL + 100*time.Millisecond
	// shortestOutage is the shortest time without an answer that counts as an outage.
	shortestOutage = 300 * time.Millisecond
)

// minLapseOutage returns the shortest outage that a process sees in which the listing of a target may lapse.
func minLapseOutage(heartbeat time.Duration) time.Duration {
	return max(shortestOutage, silentHeartbeats*heartbeat-outageMargin)
}

func (b base) owner() recorder.Owner { return recorder.Owner{Node: b.Node, Incarnation: b.incarnation} }

// follow keeps a view of the keys below a prefix up to date. A change reaches the view within maxDelay.
func (b base) follow(ctx context.Context, prefix string, batchDelay func() time.Duration, maxDelay time.Duration, v storer.View) {
	storer.NewFollower(b.platform.KeyValue, b.store.WithPurpose(storer.PurposeConfig), prefix, batchDelay, watchWait(maxDelay)).Follow(ctx, v)
}

// followShared is like follow, but reads the changes at the region's reader while there is one. Changes that this
// process reads from the key-value service are added to buffer.
func (b base) followShared(
	ctx context.Context, prefix string, batchDelay, maxDelay time.Duration, v storer.View, reader regionReader, buffer *storer.ChangeBuffer,
) {
	feed := storer.NewSharedFeed(b.platform.KeyValue, reader, buffer, b.clock)
	pause := func() time.Duration {
		switch {
		case feed.Shared():
			// The pause would save calls to the service, but none are made.
			return 0
		case reader.ServesPeers():
			// Other processes wait for these changes.
			return batchDelay / readerDelayDivisor
		default:
			return batchDelay
		}
	}
	// Shortened by the batch delay of a reader, so that pause and wait together keep the last read within the age limit of
	// buffer.
	wait := watchWait(maxDelay) - batchDelay/readerDelayDivisor
	storer.NewFollower(feed, b.store.WithPurpose(storer.PurposeConfig), prefix, pause, wait).Follow(ctx, v)
}

// watchWait returns how long a watch waits for changes that must take effect within maxDelay.
func watchWait(maxDelay time.Duration) time.Duration { return max(minWatchWait, maxDelay-readMargin) }

// constantDelay returns a function that always returns d.
func constantDelay(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

// serveMetrics serves the metrics if an address is set. It returns a function that stops serving them.
func (b base) serveMetrics(state exporter.HostedState) (stop func(), err error) {
	state.Dropped, state.Guarded = b.observers.Lines.Dropped, b.guards.state
	b.observers.Metrics.Observe(state)
	if b.Metrics == "" {
		return func() {}, nil
	}
	l, err := listen(b.Metrics)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", b.Metrics, err)
	}
	return b.guards.serveMetrics(l, promhttp.HandlerFor(b.observers.Metrics.Gatherer(), promhttp.HandlerOpts{})), nil
}

// listen opens a TCP listener.
func listen(address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
}
