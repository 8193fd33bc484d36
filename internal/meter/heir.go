package meter

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/leaser"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// Recoverer takes over the records of meters whose process is gone and lets its own meter count them. The holder of the duty
// that reports runs it. One goroutine uses it.
//
// Being wrong about a meter is safe: a meter that was taken over can't store anything any more, so what it has not
// stored is counted from the records. Two heirs at a time are safe: the agent gives each record to one of them.
type Recoverer struct {
	meter  *Meter
	store  Store
	form   Codec
	agents Agents
}

// NewRecoverer returns an Heir that counts in m.
func NewRecoverer(m *Meter, store Store, form Codec, agents Agents) *Recoverer {
	return &Recoverer{meter: m, store: store, form: form, agents: agents}
}

// evidenceWindows is the number of windows before the last done one whose values are searched for counted requests. An
// agent that nobody reaches for longer is restarted by its operator, which drops its records.
const evidenceWindows = 60

// RecoveryState is what a round of an Heir depends on. It is immutable.
type RecoveryState struct {
	Term leaser.Term
	// Done is the last window whose reports are confirmed, Now the present one.
	Done Window
	Now  Window
	// Agents are the addresses of all agents.
	Agents []string
	// Gone tells whether the process of a meter is gone.
	Gone func(identifier.Node) bool
}

// Round takes over the meters that are gone and have records at the agents. It reports false when an agent or the store
// did not answer. Nothing is counted then, since the agent may keep the record of another attempt of a request.
func (h *Recoverer) Round(ctx context.Context, s RecoveryState) bool {
	owners, ok := h.owners(ctx, s.Agents)
	if !ok {
		return false
	}
	taken, ok := h.taken(ctx)
	if !ok {
		return false
	}
	var all []estate
	running := make(map[identifier.Request]bool)
	for _, owner := range slices.Sorted(maps.Keys(owners)) {
		if !h.depose(ctx, s, taken, owner) {
			return false
		}
		if !taken[owner] {
			continue
		}
		for _, agent := range owners[owner] {
			reply, ok := h.agents.Usage(ctx, agent, Query{Owner: h.meter.Node(), Of: owner})
			if !ok {
				return false
			}
			for _, r := range reply.Records {
				all = append(all, estate{record: r, agent: agent})
				if !h.depose(ctx, s, taken, r.Owner) {
					return false
				}
			}
			for _, r := range reply.Running {
				running[r] = true
			}
		}
	}
	if len(all) == 0 {
		return true
	}
	counted, ok := h.evidence(ctx, s)
	if ok {
		h.divide(all, taken, counted, running)
	}
	return ok
}

// estate is a record of a meter that was taken over, with the agent that keeps it.
type estate struct {
	record Record
	agent  string
}

// owners returns the agents that keep records of each meter.
func (h *Recoverer) owners(ctx context.Context, agents []string) (map[identifier.Node][]string, bool) {
	owners := make(map[identifier.Node][]string)
	for _, agent := range agents {
		reply, ok := h.agents.Usage(ctx, agent, Query{Owner: h.meter.Node(), Owners: true})
		if !ok {
			return nil, false
		}
		for _, owner := range reply.Owners {
			owners[owner] = append(owners[owner], agent)
		}
	}
	return owners, true
}

// taken returns the meters that are marked as taken over. A process whose meter is marked may still run; what it counts
// is found at the agents.
func (h *Recoverer) taken(ctx context.Context) (map[identifier.Node]bool, bool) {
	entries, out := h.store.List(ctx, MeterPrefix)
	taken := make(map[identifier.Node]bool)
	for _, e := range entries {
		if Taken(e) {
			taken[identifier.Node(strings.TrimPrefix(e.Key, MeterPrefix))] = true
		}
	}
	return taken, out == storer.Applied
}

// depose marks a meter that is gone, so that it can store nothing more. It reports false when the store did not say
// that it did.
func (h *Recoverer) depose(ctx context.Context, s RecoveryState, taken map[identifier.Node]bool, node identifier.Node) bool {
	if taken[node] || node == h.meter.Node() || !s.Gone(node) {
		return true
	}
	key := MeterPrefix + string(node)
	entry, out := h.store.Get(ctx, key)
	if out != storer.Applied {
		return false
	}
	out = h.store.Commit(ctx, storer.Transaction{}.
		WithGuard(key, entry.Changed).WithPut(key, takenValue(h.meter.Node(), s.Term.Fence), 0))
	taken[node] = out == storer.Applied
	return taken[node]
}

// evidence returns the requests that any node's stored values count. It is read after the records: a request whose
// records were there and whose count is no longer in a value has been confirmed, and its records are gone.
func (h *Recoverer) evidence(ctx context.Context, s RecoveryState) (map[identifier.Request]bool, bool) {
	counted := make(map[identifier.Request]bool)
	for w := max(s.Done-evidenceWindows, 0); w <= s.Now; w++ {
		entries, out := h.store.List(ctx, Prefix(w))
		if out != storer.Applied {
			return nil, false
		}
		for _, e := range entries {
			v, err := h.form.DecodeWindowUsage(e.Value)
			if err != nil {
				return nil, false
			}
			for _, r := range v.Requests {
				counted[r] = true
			}
		}
	}
	return counted, true
}

// divide gives one record of each request to the meter to count, the one of a whole answer if there is one, and lets it
// confirm the others. It passes over requests that run or whose record another live meter is to count.
func (h *Recoverer) divide(all []estate, taken map[identifier.Node]bool, counted, running map[identifier.Request]bool) {
	slices.SortStableFunc(all, func(a, b estate) int {
		return cmp.Or(
			cmp.Compare(a.record.Attempt.Request, b.record.Attempt.Request),
			cmp.Compare(rank(a.record), rank(b.record)),
			cmp.Compare(b.record.Attempt.Number, a.record.Attempt.Number))
	})
	for len(all) > 0 {
		best := all[0].record
		size := slices.IndexFunc(all, func(e estate) bool { return e.record.Attempt.Request != best.Attempt.Request })
		if size < 0 {
			size = len(all)
		}
		receipts := make([]Receipt, 0, size)
		for _, e := range all[:size] {
			receipts = append(receipts, Receipt{Attempt: e.record.Attempt, Agent: e.agent})
		}
		all = all[size:]
		switch {
		case running[best.Attempt.Request]:
		case counted[best.Attempt.Request]:
			h.meter.dismiss(best.Ended, receipts)
		case best.Owner == h.meter.Node(), taken[best.Owner]:
			h.meter.inherit(best, receipts)
		}
	}
}

// rank puts records of whole answers first.
func rank(r Record) int {
	if r.Complete {
		return 0
	}
	return 1
}
