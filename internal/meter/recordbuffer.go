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
	// First is the meter of the entry that sent the attempt, Owner the meter that may count it now.
	First identifier.Node
	Owner identifier.Node
	Team  identifier.Team
	Ended time.Time
	// Complete is set if the attempt produced its whole answer.
	Complete bool
	Figures  Figures
}

// WithOwner returns a copy of r that owner may count.
func (r Record) WithOwner(owner identifier.Node) Record {
	r.Owner = owner
	return r
}

// RecordBuffer holds the records of an agent until a meter has confirmed them. The zero value is empty.
//
// Invariants: a record is removed only after the count of its request is stored; a record has one owner at a time. The
// number of records is bounded by what the target can run while no entry is reachable. Lock rank: container.RankMeter.
type RecordBuffer struct {
	records container.Table[container.Meter, identifier.Attempt, Record]
}

// Add adds the record of an attempt that has ended, unless the buffer has one.
func (b *RecordBuffer) Add(r Record) { b.records.PutAbsent(r.Attempt, r) }

// Len returns the number of records.
func (b *RecordBuffer) Len() int { return b.records.Len() }

// Answer handles a query. It is idempotent, since a meter repeats a query whose reply was lost.
func (b *RecordBuffer) Answer(q Query) Reply {
	for _, a := range q.Confirm {
		b.records.Delete(a)
	}
	var r Reply
	for _, want := range q.Want {
		if record, ok := b.transfer(q.Owner, want); ok {
			r.Records = append(r.Records, record)
		}
	}
	switch {
	case q.Of != "":
		for _, record := range b.records.Values() {
			if record.First == q.Of {
				r.Records = append(r.Records, record)
			}
		}
	case q.Owners:
		r.Owners = b.owners()
	}
	return r
}

// transfer returns the record of an attempt if owner may count it. If its owner is want.From, owner becomes its owner.
func (b *RecordBuffer) transfer(owner identifier.Node, want RecordRequest) (Record, bool) {
	var found Record
	b.records.Update(want.Attempt, func(old Record, ok bool) (Record, bool) {
		if ok && want.From != "" && old.Owner == want.From {
			old = old.WithOwner(owner)
		}
		found = old
		return old, ok
	})
	return found, found.Owner == owner && owner != ""
}

// owners returns the meters of the entries that sent the attempts with records in the buffer.
func (b *RecordBuffer) owners() []identifier.Node {
	all := make(map[identifier.Node]bool)
	b.records.Each(func(_ identifier.Attempt, r Record) bool {
		all[r.First] = true
		return true
	})
	return slices.Sorted(maps.Keys(all))
}
