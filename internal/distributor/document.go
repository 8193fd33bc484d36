package distributor

import (
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Topic names a document that is relayed.
type Topic int

const (
	// Config is the operators' configuration.
	Config Topic = iota
	// VMList is the VM list.
	VMList
	// TopicCount is the number of topics.
	TopicCount
)

// Known is what a node has of a document. Sum is the beginning of the digest, which is enough to tell copies apart; the
// whole digest comes with the update. The zero value asks for the whole document.
type Known struct {
	Revision identifier.Revision
	Sum      uint64
}

// Update turns the document of revision Base, or none if Base is zero, into that of Revision. The zero value updates
// nothing. It is immutable.
type Update struct {
	Topic    Topic
	Base     identifier.Revision
	Revision identifier.Revision
	Digest   Digest
	Stored   int64
	Parts    []Part
}

// kept is the number of earlier copies for which a relay can make differences. Children that are further behind get
// the whole document.
const kept = 4

// document is one topic at one node.
type document struct {
	current Copy
	earlier container.Window[Copy]
	updates map[identifier.Revision]Update
	// whole asks for the whole document after a difference that did not fit.
	whole bool
}

// replace makes c the current copy.
func (d *document) replace(c Copy) {
	d.earlier.Capacity = kept
	if d.current.revision > 0 {
		d.earlier.Add(d.current)
	}
	d.current, d.updates, d.whole = c, make(map[identifier.Revision]Update), false
}

func (d *document) known() Known {
	if d.whole {
		return Known{}
	}
	return Known{Revision: d.current.revision, Sum: d.current.digest.sum()}
}

// update returns what a node with k lacks. Differences are made once for each base and used for all children.
func (d *document) update(k Known) Update {
	if k.Revision >= d.current.revision {
		return Update{}
	}
	base := Copy{}
	for _, c := range d.earlier.Values() {
		if c.revision == k.Revision && c.digest.sum() == k.Sum {
			base = c
		}
	}
	if u, ok := d.updates[base.revision]; ok {
		return u
	}
	u := Update{
		Base: base.revision, Revision: d.current.revision, Digest: d.current.digest, Stored: d.current.stored,
		Parts: Diff(base.body, d.current.body),
	}
	d.updates[base.revision] = u
	return u
}

// merge returns the copy that u makes. It reports false when the base is not there or the digest does not match.
func (d *document) merge(u Update) (Copy, bool) {
	base := Copy{}
	if u.Base != 0 {
		for _, c := range append(d.earlier.Values(), d.current) {
			if c.revision == u.Base {
				base = c
			}
		}
		if base.revision != u.Base {
			return Copy{}, false
		}
	}
	body, ok := Apply(base.body, u.Parts)
	if !ok {
		return Copy{}, false
	}
	c := NewCopy(u.Revision, body).WithStored(u.Stored)
	return c, c.digest == u.Digest
}
