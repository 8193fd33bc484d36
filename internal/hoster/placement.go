package hoster

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/announcer"
	"github.com/mimosalb/mimosalb/internal/broadcaster"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/estimator"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
)

// Placement is how an entry places the items of batch jobs.
type Placement string

const (
	// PlaceByCost places an item where it is expected to be done first. It is in force where the settings name nothing else.
	PlaceByCost Placement = "cost"
	// PlaceBySlots places an item at the target with the lowest share of slots that the entry itself has taken.
	PlaceBySlots Placement = "slots"
)

const (
	// placementPeriod is the time between two looks at what there is to tell other leading entries.
	placementPeriod = 250 * time.Millisecond
	// adoptionPeriod is the time between two looks at what is left of what others told. One takes a fraction of a millisecond at 2,700
	// targets.
	adoptionPeriod = 100 * time.Millisecond
)

// itemPlacer keeps what an entry needs to place items by cost. Its fields are nil, and its methods do nothing, where items are placed by slots.
type itemPlacer struct {
	*Entry
	estimator *estimator.Estimator
	announcer *announcer.Announcer
	router    *router.Router
	registrar *registrar.Registrar
	// leaders is the number of other leading entries that were heard last, and led is set if this entry led a job then. Only run uses them.
	leaders int
	led     bool
}

// newPlacer returns the placer of an entry and the policy by which its router chooses targets.
func newPlacer(e *Entry) (*itemPlacer, router.Policy) {
	if e.Placement == PlaceBySlots {
		return &itemPlacer{Entry: e}, router.NewCombined()
	}
	self := recorder.Registration{Owner: e.owner(), Address: e.Peer, Region: e.Region, Cores: e.Cores}
	return &itemPlacer{
		Entry: e, estimator: estimator.NewEstimator(), announcer: announcer.NewAnnouncer(self),
	}, router.NewCombined().WithSpread(router.Cost{})
}

// ApplyNotice takes in what another leading entry has in flight.
func (p *itemPlacer) ApplyNotice(n announcer.Notice) {
	if p.announcer != nil {
		p.announcer.Apply(n, p.clock.Monotonic())
	}
}

// start tells other leading entries what this one has in flight, and uses what they tell, until ctx ends.
func (p *itemPlacer) start(ctx context.Context) {
	if p.announcer == nil {
		return
	}
	introduction := announcer.Introduction{Announcer: p.announcer}
	introductions := broadcaster.NewBroadcaster(introduction, p.conductor.OtherMembers, p.client.TellPlacements, p.clock)
	p.running.Go(func() { introductions.Run(ctx) })
	loads := broadcaster.NewBroadcaster(p.announcer, p.leadersToTell, p.client.TellPlacements, p.clock)
	p.running.Go(func() { loads.Run(ctx) })
	p.running.Go(func() { p.run(ctx) })
}

// leadersToTell returns the other leading entries.
func (p *itemPlacer) leadersToTell() []recorder.Registration {
	return p.announcer.Leaders(p.conductor.OtherMembers())
}

// run looks at what there is to tell and to use until ctx ends.
func (p *itemPlacer) run(ctx context.Context) {
	updates, adoptions := p.clock.Every(placementPeriod), p.clock.Every(adoptionPeriod)
	defer updates.Stop()
	defer adoptions.Stop()
	for {
		select {
		case <-updates.C():
			p.update(p.conductor)
		case <-adoptions.C():
			p.adopt()
		case <-ctx.Done():
			return
		}
	}
}

// update tells what this entry has in flight if it leads a job.
func (p *itemPlacer) update(c *conductor.Conductor) {
	now, leading := p.clock.Monotonic(), c.LeadsUnfinished()
	var loads []router.Load
	switch {
	case leading:
		p.router.AdoptSpeeds(p.registrar.Speeds(now))
		loads = p.router.OwnLoads()
	case p.led:
		// Nothing measures them any more.
		p.router.AdoptSpeeds(nil)
	}
	p.led = leading
	p.announcer.Update(leading, loads, now)
}

// adopt uses what is expected to be left of what the other leading entries told. An item may find a slot then.
func (p *itemPlacer) adopt() {
	n, loads := p.announcer.PeerLoads(p.clock.Monotonic())
	if n == 0 && p.leaders == 0 {
		return
	}
	if n != p.leaders {
		p.log.Emit(logger.LeadersHeard, "entries", n, "before", p.leaders)
	}
	p.leaders = n
	p.router.AdoptPeerLoads(n, loads)
	p.conductor.TriggerAssignment()
}
