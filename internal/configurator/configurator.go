package configurator

import (
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Configurator holds the configuration that is in force at one node.
//
// Invariants: the revision only increases; a withdrawn key stays withdrawn. Lock rank: container.RankConfigurator.
type Configurator struct {
	lock      container.Lock[container.Configurator]
	current   Document
	withdrawn map[identifier.Caller]bool
	changed   chan struct{}
}

// Adoption is the outcome of Configurator.Adopt.
type Adoption int

const (
	// Adopted means that the document is now in force.
	Adopted Adoption = iota + 1
	// Stale means that the node already has this revision or a later one.
	Stale
	// Invalid means that the document is invalid and was not adopted.
	Invalid
)

// Adopt puts d in force if it is valid and its revision is higher than the current one.
func (c *Configurator) Adopt(d Document) Adoption {
	if len(d.Check()) > 0 {
		return Invalid
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if d.revision <= c.current.revision {
		return Stale
	}
	c.current = c.keepWithdrawn(d)
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
	return Adopted
}

// Current returns the configuration in force.
func (c *Configurator) Current() Document {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.current
}

// Watch returns the configuration in force and a channel that is closed when a later one replaces it.
func (c *Configurator) Watch() (Document, <-chan struct{}) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.current, c.changed
}

// keepWithdrawn returns d in which every key is withdrawn that was withdrawn in an adopted document, so that an edit that
// is based on an old copy can't restore a key.
func (c *Configurator) keepWithdrawn(d Document) Document {
	if c.withdrawn == nil {
		c.withdrawn = make(map[identifier.Caller]bool)
	}
	keys := d.Keys()
	for i, k := range keys {
		if k.Withdrawn {
			c.withdrawn[k.Caller] = true
		}
		keys[i].Withdrawn = c.withdrawn[k.Caller]
	}
	return d.WithKeys(keys...)
}

// EditOutcome is the outcome of Propose.
type EditOutcome int

const (
	// Accepted means that the edit may be written with the next revision.
	Accepted EditOutcome = iota + 1
	// Conflicting means that the edit is not based on the current revision.
	Conflicting
	// InvalidEdit means that the edited document is invalid.
	InvalidEdit
)

// Propose decides whether edited, which is based on revision base, may replace current. It returns the document to
// write, with the next revision and with every withdrawn key of current.
func Propose(current, edited Document, base identifier.Revision) (Document, EditOutcome, []Problem) {
	if base != current.revision {
		return current, Conflicting, nil
	}
	for _, k := range current.keys {
		if k.Withdrawn {
			edited = edited.WithKey(k)
		}
	}
	// The keys that are kept are checked as well: a document that no node can adopt would else be stored.
	if ps := edited.Check(); len(ps) > 0 {
		return current, InvalidEdit, ps
	}
	return edited.WithRevision(current.revision + 1), Accepted, nil
}
