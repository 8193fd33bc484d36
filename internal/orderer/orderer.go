package orderer

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/placer"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Settings are the region and timing of an Orderer.
type Settings struct {
	Region identifier.Region
	// Fenced says that the platform refuses old fencing numbers. Otherwise no order is sent before Term.Settled.
	Fenced bool
	// Startup and Drain are the times after which a target that does not start or drain is reported; zero means the
	// defaults.
	Startup time.Duration
	Drain   time.Duration
}

const (
	// DefaultStartup is the time after which a target that is not listed counts as dead.
	DefaultStartup = 10 * time.Minute
	// DefaultDrain is the time after which a target that is still busy is reported.
	DefaultDrain = 10 * time.Minute
)

// Orderer carries out the orders of a region while its process holds the duty. One goroutine uses it.
//
// Invariants: an order is stored before it is sent; one identity has one intent; nothing is sent outside a valid term; a
// target is stopped only after it has drained.
type Orderer struct {
	settings Settings
	store    Store
	form     Form
	platform Platform
	agents   Agents
	terms    Terms
	clock    timer.Service
	tell     func(Event, Order)
}

// NewOrderer returns an Orderer that tells the operator through tell.
func NewOrderer(
	s Settings, store Store, form Form, platform Platform, agents Agents, terms Terms, clock timer.Service, tell func(Event, Order),
) *Orderer {
	if s.Startup <= 0 {
		s.Startup = DefaultStartup
	}
	if s.Drain <= 0 {
		s.Drain = DefaultDrain
	}
	return &Orderer{
		settings: s, store: store, form: form, platform: platform, agents: agents, terms: terms, clock: clock, tell: tell,
	}
}

// Planner returns the orders that follow from the listed VMs and the open orders.
type Planner func(vms []VM, open []Order) []placer.Order

// page is a book as it is stored.
type page struct {
	book    OrderSet
	changed int64
}

// Round settles the open orders by observation, adds those that plan wants, and sends what is due. It reports false when
// it stopped before the end: for want of a valid term, of the store, or of the platform.
func (o *Orderer) Round(ctx context.Context, fence identifier.Fence, plan Planner) bool {
	p, ok := o.load(ctx)
	if !ok {
		return false
	}
	vms, ok := o.platform.List(ctx)
	if !ok {
		return false
	}
	book := p.book
	for _, order := range book.Orders {
		order, ok := o.observe(ctx, order, vms)
		if !ok {
			return false
		}
		book = book.WithOrder(order)
	}
	book = book.WithoutEnded()
	for _, want := range plan(vms, book.Orders) {
		book = book.WithPlanned(want, fence, o.clock.Now())
	}
	due, book := o.due(ctx, fence, book)
	// What is about to be sent is stored as sent: whoever comes next must settle it.
	if p, ok = o.save(ctx, fence, p, book); !ok {
		return false
	}
	whole := true
	for _, id := range due {
		if book, ok = o.send(ctx, fence, book, id); !ok {
			whole = false
			break
		}
	}
	_, ok = o.save(ctx, fence, p, book)
	return ok && whole
}

// ReadOrders returns the stored book.
func (o *Orderer) ReadOrders(ctx context.Context) (OrderSet, bool) {
	p, ok := o.load(ctx)
	return p.book, ok
}

func (o *Orderer) load(ctx context.Context) (page, bool) {
	entry, out := o.store.Get(ctx, Key(o.settings.Region))
	if out != storer.Applied {
		return page{}, false
	}
	if entry.Changed == 0 {
		return page{book: OrderSet{Region: o.settings.Region}}, true
	}
	book, err := o.form.DecodeOrderSet(entry.Value)
	return page{book: book, changed: entry.Changed}, err == nil
}

// save stores the book in place of the page. A book without changes is not written.
func (o *Orderer) save(ctx context.Context, fence identifier.Fence, p page, book OrderSet) (page, bool) {
	if equal(p.book, book) {
		return p, true
	}
	if _, ok := o.valid(fence); !ok {
		return p, false
	}
	book = book.withTerm(fence)
	key := Key(o.settings.Region)
	out := o.store.Commit(ctx, storer.Transaction{}.
		WithGuard(key, p.changed).WithPut(key, o.form.EncodeOrderSet(book), 0))
	if out != storer.Applied {
		return p, false
	}
	next, ok := o.load(ctx)
	return next, ok && next.book.Fence == book.Fence && next.book.Seq == book.Seq
}

// valid returns the present term if it is still the one with the given number and orders may be sent in it.
func (o *Orderer) valid(fence identifier.Fence) (leaser.Term, bool) {
	term, ok := o.terms.Term(Duty(o.settings.Region))
	return term, ok && term.Fence == fence
}

// send sends one order and notes the outcome. It reports false when no more may be sent.
func (o *Orderer) send(ctx context.Context, fence identifier.Fence, book OrderSet, id string) (OrderSet, bool) {
	order, ok := book.find(id)
	if !ok {
		return book, true
	}
	term, ok := o.valid(fence)
	if !ok || !o.settings.Fenced && !term.Settled(o.clock.Boot()) {
		return book, false
	}
	target, out := o.platform.Order(ctx, order, fence, term.ValidUntil)
	now := o.clock.Now()
	switch out {
	case Accepted:
		return book.WithOrder(order.WithTarget(target).WithState(Seen, now)), true
	case Rejected:
		o.tell(NotAccepted, order)
		return book.WithOrder(order.WithState(Failed, now)), true
	case Lost:
		return book.WithOrder(order.WithState(Unknown, now)), true
	default:
		// The order stays as sent and is settled in the next round.
		return book, false
	}
}
