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

// The targets of the design size for control: of a second of one core, of memory, of traffic, of the time until a
// change is in force everywhere, and a tenth of the calls that the key-value service sustains.
const (
	coreShare      = 0.028
	memoryBytes    = 64 << 20
	trafficRate    = 21_000
	everywhereTime = 8 * time.Second
	withdrawalTime = 3 * time.Second
	storeRate      = 200
)

const (
	// steadyTime is how long the steady state is measured.
	steadyTime = 4 * time.Second
	// settleTime is how long a fleet may take to begin.
	settleTime = 40 * time.Second
	// edits is the number of changes whose way is timed. The design size has 2,600 a day, one in 33 s, so that these are
	// at a far higher rate.
	edits = 8
)

var _ = Register("relay", func(ctx context.Context) ([]Figure, error) {
	var all []Figure
	for _, size := range []int{10, 100, 660} {
		figures, err := relayFigures(ctx, fmt.Sprintf("relay/%d", size), demonstrator.EvenZonePlans(size))
		if err != nil {
			return all, fmt.Errorf("%d nodes: %w", size, err)
		}
		all = append(all, figures...)
	}
	return all, nil
})

var _ = Register("relay-zone", func(ctx context.Context) ([]Figure, error) {
	// One zone of the design size with its agents; of the other 16 zones only the relays, with a few agents each.
	zones := demonstrator.EvenZonePlans(17)
	for i := range zones {
		zones[i].Agents = 2
	}
	zones[0].Entries, zones[0].Agents = 39, 159
	return relayFigures(ctx, "relay/zone-198", zones)
})

// bed is a fleet under measurement with its key-value service.
type bed struct {
	fleet  *demonstrator.Fleet
	store  *store.Store
	clock  *timer.System
	server *httptest.Server
}

func newBed(zones []demonstrator.ZonePlan) (*bed, error) {
	b := &bed{clock: timer.NewSystem()}
	b.store = store.NewStore(b.clock)
	b.server = httptest.NewServer(b.store.Handler())
	var err error
	b.fleet, err = demonstrator.NewFleet(demonstrator.FleetPlan{Zones: zones, Period: time.Second, Store: b.server.URL})
	if err != nil {
		b.server.Close()
		b.clock.Close()
		return nil, fmt.Errorf("start fleet: %w", err)
	}
	return b, nil
}

func (b *bed) close() error {
	err := b.fleet.Close()
	b.server.Close()
	b.clock.Close()
	if err != nil {
		return fmt.Errorf("close fleet: %w", err)
	}
	return nil
}

// editor returns an entry that is not the root, if there is one.
func (b *bed) editor() *demonstrator.FleetNode {
	var last *demonstrator.FleetNode
	for _, n := range b.fleet.Live() {
		if n.Publisher != nil {
			last = n
			if !n.Distribution.Leading() {
				return n
			}
		}
	}
	return last
}

// edit stores a change and waits until it is in force at every live node.
func (b *bed) edit(ctx context.Context, change func(configurator.Document) configurator.Document) ([]time.Duration, error) {
	began := b.clock.Boot()
	r := b.editor().Publisher.Edit(ctx, 0, change)
	if !r.Accepted() {
		return nil, fmt.Errorf("edit not accepted: %+v", r)
	}
	accepting := b.clock.Boot() - began
	took, err := b.fleet.AwaitRevision(ctx, r.Document.Revision())
	for i := range took {
		took[i] += accepting
	}
	return took, err //nolint:wrapcheck // it says which revision is late
}

func relayFigures(ctx context.Context, name string, zones []demonstrator.ZonePlan) (figures []Figure, err error) {
	ctx, cancel := timer.WithTimeout(ctx, timer.NewSystem(), 2*settleTime)
	defer cancel()
	before := liveBytes()
	b, err := newBed(zones)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, b.close()) }()
	// A document as large as that of the design size makes the copies of each node cost what they cost there.
	if _, err = b.edit(ctx, largeDocument); err != nil {
		return nil, err
	}
	if err = b.settled(ctx); err != nil {
		return nil, err
	}
	steady, err := b.steady(ctx, name, before)
	if err != nil {
		return nil, err
	}
	figures = append(figures, steady...)
	spread, err := b.spread(ctx, name)
	if err != nil {
		return nil, err
	}
	figures = append(figures, spread...)
	restarted, err := b.restart(ctx, name)
	return append(figures, restarted...), err
}

// settled waits until every node has the root's VM list and the root counts all of them, so that the start of the fleet
// is not measured.
func (b *bed) settled(ctx context.Context) error {
	at := b.editor()
	for {
		root, ok := b.fleet.Root()
		if ok {
			list := root.Distribution.Relay.Current(distributor.VMList).Revision()
			lacks := slices.ContainsFunc(b.fleet.Live(), func(n *demonstrator.FleetNode) bool {
				return list == 0 || n.Distribution.Relay.Current(distributor.VMList).Revision() != list
			})
			if !lacks && at.Distribution.AwaitEverywhere(ctx, 1).Everywhere {
				return nil
			}
		}
		if ctx.Err() != nil {
			return fmt.Errorf("the fleet does not settle: %w", context.Cause(ctx))
		}
		await(ctx, steadyTime/4)
	}
}

// steady measures the costs per node with one edit in the time measured, eight times the rate of the design size.
func (b *bed) steady(ctx context.Context, name string, before uint64) ([]Figure, error) {
	live := b.fleet.Live()
	n := float64(len(live))
	traffic := make([]int64, len(live))
	for i, node := range live {
		traffic[i] = node.Traffic.Load()
	}
	reads, writes := b.store.Calls()
	cpu, began := processorTime(), b.clock.Boot()
	if _, err := b.edit(ctx, func(d configurator.Document) configurator.Document {
		return d.WithTeam(configurator.Team{Name: teamName(0), Weight: 2})
	}); err != nil {
		return nil, err
	}
	await(ctx, steadyTime)
	seconds := (b.clock.Boot() - began).Seconds()
	used := (processorTime() - cpu).Seconds()
	readsAfter, writesAfter := b.store.Calls()
	var total, most float64
	for i, node := range live {
		rate := float64(node.Traffic.Load()-traffic[i]) / seconds
		total += rate
		most = max(most, rate)
	}
	return []Figure{
		{Name: name + "/store-calls", Unit: "1/s", Value: float64(readsAfter+writesAfter-reads-writes) / seconds, Target: AtMost(storeRate)},
		{Name: name + "/traffic-mean", Unit: "bytes/s", Value: total / n, Target: AtMost(trafficRate)},
		{Name: name + "/traffic-most", Unit: "bytes/s", Value: most, Target: AtMost(trafficRate)},
		{Name: name + "/processor", Unit: "cores/node", Value: used / seconds / n, Target: AtMost(coreShare)},
		{Name: name + "/memory", Unit: "bytes/node", Value: float64(liveBytes()-before) / n, Target: AtMost(memoryBytes)},
	}, nil
}

// spread measures how long changes and a withdrawal take to be in force everywhere.
func (b *bed) spread(ctx context.Context, name string) ([]Figure, error) {
	var all []time.Duration
	for i := range edits {
		took, err := b.edit(ctx, func(d configurator.Document) configurator.Document {
			return d.WithTeam(configurator.Team{Name: teamName(i), Weight: float64(d.Revision())})
		})
		if err != nil {
			return nil, err
		}
		all = append(all, slices.Max(took))
	}
	withdrawn, err := b.edit(ctx, func(d configurator.Document) configurator.Document {
		k := d.Keys()[0]
		k.Withdrawn = true
		return d.WithKey(k)
	})
	if err != nil {
		return nil, err
	}
	slices.Sort(all)
	reported, err := b.reported(ctx)
	if err != nil {
		return nil, err
	}
	return []Figure{
		{Name: name + "/everywhere-reported", Unit: "s", Value: reported.Seconds(), Target: AtMost(everywhereTime.Seconds())},
		{Name: name + "/everywhere-p50", Unit: "s", Value: all[len(all)/2].Seconds(), Target: AtMost(everywhereTime.Seconds())},
		{Name: name + "/everywhere-worst", Unit: "s", Value: all[len(all)-1].Seconds(), Target: AtMost(everywhereTime.Seconds())},
		{Name: name + "/withdrawal-worst", Unit: "s", Value: slices.Max(withdrawn).Seconds(), Target: AtMost(withdrawalTime.Seconds())},
	}, nil
}

// reported measures how long it takes until an operator is told that an accepted edit is in force everywhere.
func (b *bed) reported(ctx context.Context) (time.Duration, error) {
	at := b.editor()
	began := b.clock.Boot()
	r := at.Publisher.Edit(ctx, 0, func(d configurator.Document) configurator.Document { return d.WithPreset(configurator.Maintenance) })
	if !r.Accepted() {
		return 0, fmt.Errorf("edit not accepted: %+v", r)
	}
	if a := at.Distribution.AwaitEverywhere(ctx, r.Document.Revision()); !a.Everywhere {
		return 0, fmt.Errorf("revision %d is not reported as in force everywhere: %+v", r.Document.Revision(), a)
	}
	return b.clock.Boot() - began, nil
}

// restart replaces a tenth of the nodes at once and measures how long the whole fleet takes to have the next change.
func (b *bed) restart(ctx context.Context, name string) ([]Figure, error) {
	live := b.fleet.Live()
	began := b.clock.Boot()
	for i := 0; i < len(live); i += 10 {
		if err := b.fleet.Replace(live[i]); err != nil {
			return nil, fmt.Errorf("replace: %w", err)
		}
	}
	replaced := b.clock.Boot() - began
	if _, err := b.edit(ctx, func(d configurator.Document) configurator.Document { return d.WithPreset(configurator.Peak) }); err != nil {
		return nil, err
	}
	took := b.clock.Boot() - began - replaced
	return []Figure{
		{Name: name + "/restart-converged", Unit: "s", Value: took.Seconds(), Target: AtMost(everywhereTime.Seconds())},
	}, nil
}

// Sizes of the document of the design size.
const (
	manyTeams = 200
	manyKeys  = 1000
)

// largeDocument has the teams, keys and zones of the design size.
func largeDocument(d configurator.Document) configurator.Document {
	teams := make([]configurator.Team, manyTeams)
	for i := range teams {
		teams[i] = configurator.Team{Name: teamName(i), Weight: 1}
	}
	keys := make([]configurator.Key, manyKeys)
	for i := range keys {
		keys[i] = configurator.Key{Caller: identifier.Caller(fmt.Sprintf("caller-%d", i)), Team: teamName(i % manyTeams)}
		keys[i].Hash[0], keys[i].Hash[1] = byte(i), byte(i>>8)
	}
	return d.WithTeams(teams...).WithKeys(keys...)
}

func teamName(i int) identifier.Team { return identifier.Team(fmt.Sprintf("team-%d", i)) }

// await waits for d on the wall clock.
func await(ctx context.Context, d time.Duration) {
	alarm := time.NewTimer(d)
	defer alarm.Stop()
	select {
	case <-alarm.C:
	case <-ctx.Done():
	}
}
