package dispatcher

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// suspectPatience bounds how long a suspected request waits for a target without another one. With 2 s the requests of
// one crash did not all get a target of their own among three, and a third target crashed.
const suspectPatience = 10 * time.Second

// choose picks the target of the next attempt.
func (d *Dispatcher) choose(j *job) (router.Target, bool) {
	need := router.Requirements{
		Service:     j.request.Service.Name,
		Zone:        d.settings.Zone,
		Region:      d.settings.Region,
		Version:     j.request.Call.Version,
		PromptBytes: identifier.Bytes(len(j.request.Call.Prompt)),
		Prefix:      j.prefix,
		Avoid:       j.used,
	}
	if d.isolator.Suspected(j.request.Call.Fingerprint) {
		if target, ok := d.chooseApart(j, need); ok {
			return target, true
		}
	}
	return d.router.Choose(need)
}

// chooseApart picks a target on which this entry has no other suspected request, and waits for one if need be: the
// next crash then tells the requests of the last one apart.
func (d *Dispatcher) chooseApart(j *job, need router.Requirements) (router.Target, bool) {
	patience := d.clock.After(suspectPatience)
	defer patience.Stop()
	for {
		busy, freed := d.isolator.Reserved()
		need.Avoid = append(slices.Clone(j.used), busy...)
		target, ok := d.router.Choose(need)
		switch {
		case ok && d.isolator.Reserve(target.ID):
			j.entered = append(j.entered, target.ID)
			return target, true
		case ok:
			// Another request entered it since Busy, so that the next round avoids it.
			d.router.Release(target.ID)
			continue
		case len(busy) == 0:
			return router.Target{}, false
		}
		select {
		case <-freed:
		case <-patience.C():
			return router.Target{}, false
		case <-j.ctx.Done():
			return router.Target{}, false
		}
	}
}

// leave ends what choose began.
func (d *Dispatcher) leave(j *job, id identifier.Target) {
	d.router.Release(id)
	if i := slices.Index(j.entered, id); i >= 0 {
		j.entered = slices.Delete(j.entered, i, i+1)
		d.isolator.Unreserve(id)
	}
}
