package meter

import (
	"maps"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Record is the usage of one ended attempt as its agent measured it. It is immutable.
type Record struct {
	Attempt identifier.Attempt
	// First is the meter of the entry that sent the attempt, Owner the one that may count it now.
	First identifier.Node
	Owner identifier.Node
	Team  identifier.Team
	Ended time.Time
	// Complete is set when the whole answer was made.
	Complete bool
	Figures  Figures
}

// WithOwner returns a copy of r that owner may count.
func (r Record) WithOwner(owner identifier.Node) Record {
	r.Owner = owner
	return r
}

// RecordBuffer holds the records of an agent until a meter has confirmed them. The zero value holds none.
//
// Invariants: a record goes only when the count of its request is stored; a record has one owner at a time. The number
// of records is bounded by what the target can run while no entry is reachable. Lock rank: container.RankMeter.
type RecordBuffer struct {
	records container.Table[container.Meter, identifier.Attempt, Record]
}

// Keep adds the record of an attempt that has ended.
func (k *RecordBuffer) Keep(r Record) { k.records.PutAbsent(r.Attempt, r) }

// Len returns the number of records.
func (k *RecordBuffer) Len() int { return k.records.Len() }

// Answer returns the keeper's answer to a query. The same query may come again when its answer was lost.
func (k *RecordBuffer) Answer(q Query) Reply {
	for _, a := range q.Confirm {
		k.records.Delete(a)
	}
	var r Reply
	for _, t := range q.Want {
		if record, ok := k.want(q.Owner, t); ok {
			r.Records = append(r.Records, record)
		}
	}
	switch {
	case q.Of != "":
		for _, record := range k.records.Values() {
			if record.First == q.Of {
				r.Records = append(r.Records, record)
			}
		}
	case q.Owners:
		r.Owners = k.owners()
	}
	return r
}

// want returns the record of an attempt if owner may count it. It passes to owner if its owner so far is t.From.
func (k *RecordBuffer) want(owner identifier.Node, t RecordRequest) (Record, bool) {
	var found Record
	k.records.Update(t.Attempt, func(old Record, ok bool) (Record, bool) {
		if ok && t.From != "" && old.Owner == t.From {
			old = old.WithOwner(owner)
		}
		found = old
		return old, ok
	})
	return found, found.Owner == owner && owner != ""
}

// owners returns the meters of the entries whose attempts have records here.
func (k *RecordBuffer) owners() []identifier.Node {
	all := make(map[identifier.Node]bool)
	k.records.Each(func(_ identifier.Attempt, r Record) bool {
		all[r.First] = true
		return true
	})
	return slices.Sorted(maps.Keys(all))
}
