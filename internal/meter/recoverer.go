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

// Recoverer takes over the records of meters whose process is gone and lets its own meter count them. The holder of the
// reporting duty runs it. It is not safe for concurrent use.
//
// Taking over the meter of a live process is safe: that meter can't store anything any more, so the usage that it has
// not stored is counted from the records. Two concurrent recoverers are safe: the agent assigns each record to one.
type Recoverer struct {
	meter  *Meter
	store  Store
	codec  Codec
	agents Agents
}

// NewRecoverer returns a Recoverer that counts recovered records in m.
func NewRecoverer(m *Meter, store Store, codec Codec, agents Agents) *Recoverer {
	return &Recoverer{meter: m, store: store, codec: codec, agents: agents}
}

// countedWindows is the number of windows before the last confirmed one whose values are searched for counted requests. An
// agent that is unreachable for longer is restarted by its operator, which drops its records.
const countedWindows = 60

// RecoveryState is the cluster state that a round of a Recoverer works from. It is immutable.
type RecoveryState struct {
	Term leaser.Term
	// Done is the last window whose reports are confirmed, Now the current window.
	Done Window
	Now  Window
	// Agents are the addresses of all agents.
	Agents []string
	// Gone reports whether the process of a meter is gone.
	Gone func(identifier.Node) bool
}

// RunRound takes over the meters that are gone and have records at the agents. It reports false when an agent or the store
// did not respond. Nothing is counted then, since the agent may hold the record of another attempt of a request.
func (rc *Recoverer) RunRound(ctx context.Context, s RecoveryState) bool {
	owners, ok := rc.owners(ctx, s.Agents)
	if !ok {
		return false
	}
	takenOver, ok := rc.takenOver(ctx)
	if !ok {
		return false
	}
	var orphans []orphanedRecord
	running := make(map[identifier.Request]bool)
	for _, owner := range slices.Sorted(maps.Keys(owners)) {
		if !rc.markTakenOver(ctx, s, takenOver, owner) {
			return false
		}
		if !takenOver[owner] {
			continue
		}
		for _, agent := range owners[owner] {
			reply, ok := rc.agents.Usage(ctx, agent, Query{Owner: rc.meter.Node(), Of: owner})
			if !ok {
				return false
			}
			for _, r := range reply.Records {
				orphans = append(orphans, orphanedRecord{record: r, agent: agent})
				if !rc.markTakenOver(ctx, s, takenOver, r.Owner) {
					return false
				}
			}
			for _, r := range reply.Running {
				running[r] = true
			}
		}
	}
	if len(orphans) == 0 {
		return true
	}
	counted, ok := rc.countedRequests(ctx, s)
	if ok {
		rc.assign(orphans, takenOver, counted, running)
	}
	return ok
}

// orphanedRecord is a record of a meter that was taken over, with the address of the agent that holds it.
type orphanedRecord struct {
	record Record
	agent  string
}

// owners returns, for each meter, the agents that hold records of it.
func (rc *Recoverer) owners(ctx context.Context, agents []string) (map[identifier.Node][]string, bool) {
	owners := make(map[identifier.Node][]string)
	for _, agent := range agents {
		reply, ok := rc.agents.Usage(ctx, agent, Query{Owner: rc.meter.Node(), Owners: true})
		if !ok {
			return nil, false
		}
		for _, owner := range reply.Owners {
			owners[owner] = append(owners[owner], agent)
		}
	}
	return owners, true
}

// takenOver returns the meters that are marked as taken over. A process whose meter is marked may still run; the
// records of what it counts are at the agents.
func (rc *Recoverer) takenOver(ctx context.Context) (map[identifier.Node]bool, bool) {
	entries, out := rc.store.List(ctx, MeterPrefix)
	takenOver := make(map[identifier.Node]bool)
	for _, e := range entries {
		if IsTakenOver(e) {
			takenOver[identifier.Node(strings.TrimPrefix(e.Key, MeterPrefix))] = true
		}
	}
	return takenOver, out == storer.Applied
}

// markTakenOver marks a meter whose process is gone as taken over, so that it can store nothing more. It reports false
// when the store did not confirm the write.
func (rc *Recoverer) markTakenOver(ctx context.Context, s RecoveryState, takenOver map[identifier.Node]bool, node identifier.Node) bool {
	if takenOver[node] || node == rc.meter.Node() || !s.Gone(node) {
		return true
	}
	key := MeterPrefix + string(node)
	entry, out := rc.store.Get(ctx, key)
	if out != storer.Applied {
		return false
	}
	out = rc.store.Commit(ctx, storer.Transaction{}.
		WithGuard(key, entry.Changed).WithPut(key, takenOverValue(rc.meter.Node(), s.Term.Fence), 0))
	takenOver[node] = out == storer.Applied
	return takenOver[node]
}

// countedRequests returns the requests that the stored values of all nodes count. It must be called after the records
// are read: when a request had records and is no longer listed in a value, it has been confirmed and its records are
// gone.
func (rc *Recoverer) countedRequests(ctx context.Context, s RecoveryState) (map[identifier.Request]bool, bool) {
	counted := make(map[identifier.Request]bool)
	for w := max(s.Done-countedWindows, 0); w <= s.Now; w++ {
		entries, out := rc.store.List(ctx, Prefix(w))
		if out != storer.Applied {
			return nil, false
		}
		for _, e := range entries {
			v, err := rc.codec.DecodeWindowUsage(e.Value)
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

// assign selects one record of each request for the meter to count, that of a complete answer if there is one, and lets
// the meter confirm the others. It skips requests that are running and requests whose record another live meter will
// count.
func (rc *Recoverer) assign(orphans []orphanedRecord, takenOver map[identifier.Node]bool, counted, running map[identifier.Request]bool) {
	slices.SortStableFunc(orphans, func(a, b orphanedRecord) int {
		return cmp.Or(
			cmp.Compare(a.record.Attempt.Request, b.record.Attempt.Request),
			cmp.Compare(completenessRank(a.record), completenessRank(b.record)),
			cmp.Compare(b.record.Attempt.Number, a.record.Attempt.Number))
	})
	for len(orphans) > 0 {
		best := orphans[0].record
		size := slices.IndexFunc(orphans, func(e orphanedRecord) bool { return e.record.Attempt.Request != best.Attempt.Request })
		if size < 0 {
			size = len(orphans)
		}
		receipts := make([]Receipt, 0, size)
		for _, e := range orphans[:size] {
			receipts = append(receipts, Receipt{Attempt: e.record.Attempt, Agent: e.agent})
		}
		orphans = orphans[size:]
		switch {
		case running[best.Attempt.Request]:
		case counted[best.Attempt.Request]:
			rc.meter.confirmCounted(best.Ended, receipts)
		case best.Owner == rc.meter.Node(), takenOver[best.Owner]:
			rc.meter.recoverRecord(best, receipts)
		}
	}
}

// completenessRank is a sort key that puts records of complete answers first.
func completenessRank(r Record) int {
	if r.Complete {
		return 0
	}
	return 1
}
