package dispatcher

import (
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/router"
)

// suspectWait bounds how long a suspected request waits for a target that has no other suspected request. With 2 s and
// three targets, the suspects of one crash did not each get a target of their own, and a third target crashed.
const suspectWait = 10 * time.Second

// chooseTarget picks the target of the next attempt.
func (d *Dispatcher) chooseTarget(j *job) (router.Target, bool) {
	requirements := router.Requirements{
		Service:     j.request.Service.Name,
		Zone:        d.settings.Zone,
		Region:      d.settings.Region,
		Version:     j.request.Call.Version,
		PromptBytes: identifier.Bytes(len(j.request.Call.Prompt)),
		Prefix:      j.prefix,
		Regions:     d.scope(j.request).Regions,
		Avoid:       j.failedTargets,
	}
	if j.resumable() && j.progress.tokens > 0 {
		requirements.Release = j.release
	}
	if d.isolator.IsSuspected(j.request.Call.Fingerprint) {
		if target, ok := d.chooseIsolatedTarget(j, requirements); ok {
			return target, true
		}
	}
	return d.router.Choose(requirements)
}

// chooseIsolatedTarget picks a target on which this entry has no other suspected request, and waits for one if there
// is none. The next crash then has only one of the suspects of the last crash.
func (d *Dispatcher) chooseIsolatedTarget(j *job, requirements router.Requirements) (router.Target, bool) {
	timeout := d.clock.After(suspectWait)
	defer timeout.Stop()
	for {
		reserved, released := d.isolator.ReservedTargets()
		requirements.Avoid = append(slices.Clone(j.failedTargets), reserved...)
		scope := d.scope(j.request)
		requirements.Regions = scope.Regions
		target, ok := d.router.Choose(requirements)
		switch {
		case ok && d.isolator.Reserve(target.ID):
			j.reservedTargets = append(j.reservedTargets, target.ID)
			return target, true
		case ok:
			// Another suspected request reserved the target after the call of Reserved. The next iteration avoids it.
			d.router.Release(target.ID)
			continue
		case len(reserved) == 0, d.unserved(requirements.Service, scope):
			return router.Target{}, false
		}
		select {
		case <-released:
		case <-timeout.C():
			return router.Target{}, false
		case <-j.ctx.Done():
			return router.Target{}, false
		}
	}
}

// releaseTarget ends the use of a target that choose returned, and its reservation by a suspected request.
func (d *Dispatcher) releaseTarget(j *job, id identifier.Target) {
	d.router.Release(id)
	if i := slices.Index(j.reservedTargets, id); i >= 0 {
		j.reservedTargets = slices.Delete(j.reservedTargets, i, i+1)
		d.isolator.Unreserve(id)
	}
}
