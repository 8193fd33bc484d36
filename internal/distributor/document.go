package distributor

import (
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Topic identifies a relayed document.
type Topic int

const (
	// Config is the operators' configuration.
	Config Topic = iota
	// VMList is the VM list.
	VMList
	// TopicCount is the number of topics.
	TopicCount
)

// Known identifies the copy of a document that a node has. Sum is the first 8 bytes of the digest, which is enough to
// tell copies apart; the whole digest comes with the update. The zero value requests the whole document.
type Known struct {
	Revision identifier.Revision
	Sum      uint64
}

// Update is a delta from the document's revision Base to Revision; with a Base of zero it holds the whole document.
// The zero value updates nothing. It is immutable.
type Update struct {
	Topic    Topic
	Base     identifier.Revision
	Revision identifier.Revision
	Digest   Digest
	Stored   int64
	Parts    []Part
}

// maxEarlierCopies is the number of earlier copies from which a relay can make deltas. Children with an older copy
// get the whole document.
const maxEarlierCopies = 4

// document holds a node's copies of one topic and the updates made from them, by base revision.
type document struct {
	current Copy
	earlier container.Window[Copy]
	updates map[identifier.Revision]Update
	// requestWhole is set after an update that could not be applied.
	requestWhole bool
}

// replace makes c the current copy and keeps the previous one as a base for updates.
func (d *document) replace(c Copy) {
	d.earlier.Capacity = maxEarlierCopies
	if d.current.revision > 0 {
		d.earlier.Add(d.current)
	}
	d.current, d.updates, d.requestWhole = c, make(map[identifier.Revision]Update), false
}

func (d *document) known() Known {
	if d.requestWhole {
		return Known{}
	}
	return Known{Revision: d.current.revision, Sum: d.current.digest.sum()}
}

// update returns the update for a node that has the copy k. Each delta is made once per base and used for all
// children.
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

// merge returns the copy that results from applying u. It reports false when u's base is missing, u does not fit it
// or the digest does not match.
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
