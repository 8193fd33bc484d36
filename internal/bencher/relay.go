package bencher

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/standin/store"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// The targets for the control plane at the design size.
const (
	// For each node: cores, bytes of memory, and bytes per second.
	maxCores                 = 0.028
	maxMemoryBytes           = 64 << 20
	maxTrafficBytesPerSecond = 21_000
	// Until an accepted change, or the withdrawal of a key, is in force at every node.
	maxEverywhereTime = 8 * time.Second
	maxWithdrawalTime = 3 * time.Second
	// maxStoreCalls is a tenth of the calls per second that the key-value service sustains.
	maxStoreCalls = 200
)

const (
	// steadyStateTime is the time for which the steady state is measured.
	steadyStateTime = 4 * time.Second
	// settleTime is how long a fleet may take to start. The whole measurement must end within twice that time.
	settleTime = 40 * time.Second
	// One of replacementInterval nodes is replaced by a restart.
	replacementInterval = 10
	// editCount is the number of timed changes. They follow one another at a far higher rate than in the design size, which
	// has 2,600 a day, one every 33 s.
	editCount = 8
)

var _ = Register("relay", func(ctx context.Context) ([]Figure, error) {
	var all []Figure
	for _, size := range []int{10, 100, 660} {
		figures, err := benchRelay(ctx, fmt.Sprintf("relay/%d", size), demonstrator.EvenZonePlans(size))
		if err != nil {
			return all, fmt.Errorf("%d nodes: %w", size, err)
		}
		all = append(all, figures...)
	}
	return all, nil
})

var _ = Register("relay-zone", func(ctx context.Context) ([]Figure, error) {
	// One zone has the entries and agents of the design size. The other 16 zones have a relay and two agents each.
	zones := demonstrator.EvenZonePlans(17)
	for i := range zones {
		zones[i].Agents = 2
	}
	zones[0].Entries, zones[0].Agents = 39, 159
	return benchRelay(ctx, "relay/zone-198", zones)
})

// relayTestbed is a fleet with its key-value service.
type relayTestbed struct {
	fleet  *demonstrator.Fleet
	store  *store.Store
	clock  *timer.System
	server *httptest.Server
}

// newRelayTestbed starts a key-value service and a fleet that uses it.
func newRelayTestbed(zones []demonstrator.ZonePlan) (*relayTestbed, error) {
	t := &relayTestbed{clock: timer.NewSystem()}
	t.store = store.NewStore(t.clock)
	t.server = httptest.NewServer(t.store.Handler())
	var err error
	t.fleet, err = demonstrator.NewFleet(demonstrator.FleetPlan{Zones: zones, Period: time.Second, Store: t.server.URL})
	if err != nil {
		t.server.Close()
		t.clock.Close()
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	return t, nil
}

func (t *relayTestbed) close() error {
	err := t.fleet.Close()
	t.server.Close()
	t.clock.Close()
	if err != nil {
		return fmt.Errorf("close fleet: %w", err)
	}
	return nil
}

// editingEntry returns a live entry that is not the root of the relay tree, or the root if it is the only entry.
func (t *relayTestbed) editingEntry() *demonstrator.FleetNode {
	var last *demonstrator.FleetNode
	for _, n := range t.fleet.Live() {
		if n.Publisher != nil {
			last = n
			if !n.Distribution.IsRoot() {
				return n
			}
		}
	}
	return last
}

// edit stores a change, waits until it is in force at every live node, and returns the time that this took for each node.
func (t *relayTestbed) edit(ctx context.Context, change func(configurator.Document) configurator.Document) ([]time.Duration, error) {
	began := t.clock.Monotonic()
	r := t.editingEntry().Publisher.Edit(ctx, 0, change)
	if !r.Accepted() {
		return nil, fmt.Errorf("edit not accepted: %+v", r)
	}
	acceptTime := t.clock.Monotonic() - began
	took, err := t.fleet.AwaitRevision(ctx, r.Document.Revision())
	for i := range took {
		took[i] += acceptTime
	}
	return took, err //nolint:wrapcheck // the error names the revision
}

// benchRelay measures a fleet with the given zones. The names of its figures begin with name.
func benchRelay(ctx context.Context, name string, zones []demonstrator.ZonePlan) (figures []Figure, err error) {
	ctx, cancel := timer.WithTimeout(ctx, timer.NewSystem(), 2*settleTime)
	defer cancel()
	bytesBefore := liveBytes()
	testbed, err := newRelayTestbed(zones)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, testbed.close()) }()
	// With a document as large as that of the design size, each node's copies cost as much as they do there.
	if _, err = testbed.edit(ctx, largeDocument); err != nil {
		return nil, err
	}
	if err = testbed.awaitSettled(ctx); err != nil {
		return nil, err
	}
	steady, err := testbed.measureSteadyState(ctx, name, bytesBefore)
	if err != nil {
		return nil, err
	}
	figures = append(figures, steady...)
	edits, err := testbed.measureEdits(ctx, name)
	if err != nil {
		return nil, err
	}
	figures = append(figures, edits...)
	restarted, err := testbed.measureRestart(ctx, name)
	return append(figures, restarted...), err
}

// awaitSettled waits until every node has the root's VM list and the root reports the first revision as in force
// everywhere, so that the start of the fleet is not measured.
func (t *relayTestbed) awaitSettled(ctx context.Context) error {
	entry := t.editingEntry()
	for {
		root, ok := t.fleet.Root()
		if ok {
			list := root.Distribution.Relay.Current(distributor.VMList).Revision()
			missing := slices.ContainsFunc(t.fleet.Live(), func(n *demonstrator.FleetNode) bool {
				return list == 0 || n.Distribution.Relay.Current(distributor.VMList).Revision() != list
			})
			if !missing && entry.Distribution.AwaitAdoption(ctx, 1).Complete {
				return nil
			}
		}
		if ctx.Err() != nil {
			return fmt.Errorf("not every node has the VM list and revision 1: %w", context.Cause(ctx))
		}
		sleep(ctx, steadyStateTime/4)
	}
}

// measureSteadyState measures the costs per node. The measured time has one edit, eight times the rate of the design size.
func (t *relayTestbed) measureSteadyState(ctx context.Context, name string, bytesBefore uint64) ([]Figure, error) {
	live := t.fleet.Live()
	n := float64(len(live))
	traffic := make([]int64, len(live))
	for i, node := range live {
		traffic[i] = node.Traffic.Load()
	}
	reads, writes := t.store.Calls()
	cpu, began := processorTime(), t.clock.Monotonic()
	if _, err := t.edit(ctx, func(d configurator.Document) configurator.Document {
		return d.WithTeam(configurator.Team{Name: teamName(0), Weight: 2})
	}); err != nil {
		return nil, err
	}
	sleep(ctx, steadyStateTime)
	seconds := (t.clock.Monotonic() - began).Seconds()
	used := (processorTime() - cpu).Seconds()
	readsAfter, writesAfter := t.store.Calls()
	var total, most float64
	for i, node := range live {
		rate := float64(node.Traffic.Load()-traffic[i]) / seconds
		total += rate
		most = max(most, rate)
	}
	return []Figure{
		{Name: name + "/store-calls", Unit: "1/s", Value: float64(readsAfter+writesAfter-reads-writes) / seconds, Target: AtMost(maxStoreCalls)},
		{Name: name + "/traffic-mean", Unit: "bytes/s", Value: total / n, Target: AtMost(maxTrafficBytesPerSecond)},
		{Name: name + "/traffic-most", Unit: "bytes/s", Value: most, Target: AtMost(maxTrafficBytesPerSecond)},
		{Name: name + "/processor", Unit: "cores/node", Value: used / seconds / n, Target: AtMost(maxCores)},
		{Name: name + "/memory", Unit: "bytes/node", Value: float64(liveBytes()-bytesBefore) / n, Target: AtMost(maxMemoryBytes)},
	}, nil
}

// measureEdits measures how long it takes until changes and the withdrawal of a key are in force everywhere.
func (t *relayTestbed) measureEdits(ctx context.Context, name string) ([]Figure, error) {
	var all []time.Duration
	for i := range editCount {
		took, err := t.edit(ctx, func(d configurator.Document) configurator.Document {
			return d.WithTeam(configurator.Team{Name: teamName(i), Weight: float64(d.Revision())})
		})
		if err != nil {
			return nil, err
		}
		all = append(all, slices.Max(took))
	}
	withdrawn, err := t.edit(ctx, func(d configurator.Document) configurator.Document {
		k := d.Keys()[0]
		k.Withdrawn = true
		return d.WithKey(k)
	})
	if err != nil {
		return nil, err
	}
	slices.Sort(all)
	reported, err := t.measureReportDelay(ctx)
	if err != nil {
		return nil, err
	}
	return []Figure{
		{Name: name + "/everywhere-reported", Unit: "s", Value: reported.Seconds(), Target: AtMost(maxEverywhereTime.Seconds())},
		{Name: name + "/everywhere-p50", Unit: "s", Value: all[len(all)/2].Seconds(), Target: AtMost(maxEverywhereTime.Seconds())},
		{Name: name + "/everywhere-worst", Unit: "s", Value: all[len(all)-1].Seconds(), Target: AtMost(maxEverywhereTime.Seconds())},
		{Name: name + "/withdrawal-worst", Unit: "s", Value: slices.Max(withdrawn).Seconds(), Target: AtMost(maxWithdrawalTime.Seconds())},
	}, nil
}

// measureReportDelay measures the time from an edit until its entry reports to the operator that it is in force everywhere.
func (t *relayTestbed) measureReportDelay(ctx context.Context) (time.Duration, error) {
	entry := t.editingEntry()
	began := t.clock.Monotonic()
	r := entry.Publisher.Edit(ctx, 0, func(d configurator.Document) configurator.Document { return d.WithPreset(configurator.Maintenance) })
	if !r.Accepted() {
		return 0, fmt.Errorf("edit not accepted: %+v", r)
	}
	if adoption := entry.Distribution.AwaitAdoption(ctx, r.Document.Revision()); !adoption.Complete {
		return 0, fmt.Errorf("revision %d is not reported as in force everywhere: %+v", r.Document.Revision(), adoption)
	}
	return t.clock.Monotonic() - began, nil
}

// measureRestart replaces one of replacementInterval nodes, all at once, and measures how long it takes until the next
// change is in force at every node.
func (t *relayTestbed) measureRestart(ctx context.Context, name string) ([]Figure, error) {
	live := t.fleet.Live()
	began := t.clock.Monotonic()
	for i := 0; i < len(live); i += replacementInterval {
		if err := t.fleet.Replace(live[i]); err != nil {
			return nil, fmt.Errorf("replace node: %w", err)
		}
	}
	replaced := t.clock.Monotonic() - began
	if _, err := t.edit(ctx, func(d configurator.Document) configurator.Document { return d.WithPreset(configurator.Peak) }); err != nil {
		return nil, err
	}
	took := t.clock.Monotonic() - began - replaced
	return []Figure{
		{Name: name + "/restart-converged", Unit: "s", Value: took.Seconds(), Target: AtMost(maxEverywhereTime.Seconds())},
	}, nil
}

// The numbers of teams and keys in the document of the design size.
const (
	documentTeams = 200
	documentKeys  = 1000
)

// largeDocument returns d with the teams and keys of the design size.
func largeDocument(d configurator.Document) configurator.Document {
	teams := make([]configurator.Team, documentTeams)
	for i := range teams {
		teams[i] = configurator.Team{Name: teamName(i), Weight: 1}
	}
	keys := make([]configurator.Key, documentKeys)
	for i := range keys {
		keys[i] = configurator.Key{Caller: identifier.Caller(fmt.Sprintf("caller-%d", i)), Team: teamName(i % documentTeams)}
		keys[i].Hash[0], keys[i].Hash[1] = byte(i), byte(i>>8)
	}
	return d.WithTeams(teams...).WithKeys(keys...)
}

func teamName(i int) identifier.Team { return identifier.Team(fmt.Sprintf("team-%d", i)) }

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timeout := time.NewTimer(d)
	defer timeout.Stop()
	select {
	case <-timeout.C:
	case <-ctx.Done():
	}
}
