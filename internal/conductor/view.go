package conductor

import (
	"context"
	"hash/fnv"
	"strings"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// PresenceForm is the stored form of the processes that are there.
type PresenceForm interface {
	DecodePresence(data []byte) (recorder.Presence, error)
}

// View keeps a Conductor's records up to date from the key-value service.
type View struct {
	conductor *Conductor
	form      PresenceForm
}

// NewView returns the view of the keys below recorder.LivePrefix.
func NewView(c *Conductor, form PresenceForm) *View { return &View{conductor: c, form: form} }

// Reset takes over all entries.
func (v *View) Reset(entries []storer.Entry) {
	c := v.conductor
	records := make(map[identifier.Job]bool)
	nodes := make(map[identifier.Node]bool)
	for _, e := range entries {
		if id, ok := strings.CutPrefix(e.Key, recorder.JobPrefix); ok {
			records[identifier.Job(id)] = true
		} else if name, ok := strings.CutPrefix(e.Key, recorder.NodePrefix); ok {
			nodes[identifier.Node(name)] = true
		}
		v.Apply(storer.Change{Entry: e})
	}
	c.lock.Lock()
	var gone []identifier.Job
	for id := range c.records {
		if !records[id] {
			gone = append(gone, id)
		}
	}
	for name := range c.nodes {
		if !nodes[name] {
			delete(c.nodes, name)
		}
	}
	c.trusted, c.since = true, c.Clock.Boot()
	c.lock.Unlock()
	for _, id := range gone {
		c.forget(id)
	}
}

// Interrupted tells that the records may be out of date.
func (v *View) Interrupted() {
	c := v.conductor
	c.lock.Lock()
	defer c.lock.Unlock()
	c.trusted, c.since = false, c.Clock.Boot()
}

// Apply takes over one change.
func (v *View) Apply(change storer.Change) {
	c := v.conductor
	c.trust()
	if id, ok := strings.CutPrefix(change.Key, recorder.JobPrefix); ok {
		if change.Removed {
			c.forget(identifier.Job(id))
			return
		}
		record, err := c.Recorder.Decode(change.Entry)
		if err != nil {
			c.Log.Emit(logger.RecordUnreadable, "key", change.Key, "error", err)
			return
		}
		c.observe(record)
		return
	}
	if name, ok := strings.CutPrefix(change.Key, recorder.NodePrefix); ok {
		v.applyNode(identifier.Node(name), change)
	}
}

func (v *View) applyNode(name identifier.Node, change storer.Change) {
	c := v.conductor
	var p recorder.Presence
	if !change.Removed {
		var err error
		if p, err = v.form.DecodePresence(change.Value); err != nil {
			c.Log.Emit(logger.RecordUnreadable, "key", change.Key, "error", err)
			return
		}
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if change.Removed {
		delete(c.nodes, name)
	} else {
		c.nodes[name] = p
	}
	c.Log.Emit(logger.PeerChanged, "node", name, "there", !change.Removed, "address", p.Address)
}

// trust marks the view as up to date again once a change comes after an interruption.
func (c *Conductor) trust() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if !c.trusted {
		c.trusted, c.since = true, c.Clock.Boot()
	}
}

// observe takes over a record and begins or ends to lead its job.
func (c *Conductor) observe(r recorder.Record) {
	c.lock.Lock()
	if old, ok := c.records[r.ID]; ok && old.Changed >= r.Changed {
		c.lock.Unlock()
		return
	}
	c.records[r.ID] = r
	delete(c.missing, r.ID)
	l := c.led[r.ID]
	spec, fresh := c.fresh[r.ID]
	delete(c.fresh, r.ID)
	mine := r.Owner == c.Me
	if l != nil {
		l.record = r
	}
	c.lock.Unlock()
	switch {
	case l != nil && !mine:
		c.abandon(l, "another process leads the job")
	case l != nil && r.Ended:
		l.job.Finish()
	case l == nil && mine && !r.Ended && fresh:
		c.lead(r, batcher.NewJob(spec))
	}
	c.Signal()
}

// forget takes over that a job was erased.
func (c *Conductor) forget(id identifier.Job) {
	c.lock.Lock()
	delete(c.records, id)
	delete(c.missing, id)
	l := c.led[id]
	c.lock.Unlock()
	if l != nil {
		c.abandon(l, "the job was erased")
	}
}

// abandon stops leading a job.
func (c *Conductor) abandon(l *led, why string) {
	l.job.Finish()
	l.stop()
	c.lock.Lock()
	if c.led[l.id] == l {
		delete(c.led, l.id)
	}
	c.lock.Unlock()
	c.Log.Emit(logger.JobLeft, "job", l.id, "reason", why)
}

// lead begins to lead a job.
func (c *Conductor) lead(r recorder.Record, j *batcher.Job) {
	ctx, stop := context.WithCancel(context.Background())
	l := &led{id: r.ID, job: j, record: r, stop: stop}
	c.lock.Lock()
	if c.closing || c.led[r.ID] != nil || c.records[r.ID].Changed != r.Changed {
		c.lock.Unlock()
		stop()
		return
	}
	c.led[r.ID] = l
	c.running.Go(func() { c.commit(ctx, l) })
	c.lock.Unlock()
	c.Log.Emit(logger.JobLed, "job", r.ID, "term", r.Term, "items", r.Total)
	c.Signal()
}

// heir returns the process that should lead a job, by rendezvous hashing over those that fit.
func (c *Conductor) heir(id identifier.Job, fits func(recorder.Presence) bool) (recorder.Presence, bool) {
	c.lock.Lock()
	defer c.lock.Unlock()
	var best recorder.Presence
	var most uint64
	found := false
	for name, p := range c.nodes {
		if !fits(p) {
			continue
		}
		h := fnv.New64a()
		_, _ = h.Write([]byte(string(id) + "/" + string(name))) // a hash takes every write
		if weight := h.Sum64(); !found || weight > most {
			best, most, found = p, weight, true
		}
	}
	return best, found
}
