package collector

import (
	"strings"

	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// WithScope returns a copy of s with the scope in which its prompts and samples may be.
func (s Spec) WithScope(scope confiner.Scope) Spec {
	s.Scope = scope
	return s
}

// scope returns where the prompts and samples of a run may be now: where the configuration at its opening and the present one allow it. It
// returns false while the entry has no configuration.
func (c *Collector) scope(s Spec) (confiner.Scope, bool) {
	present, ok := c.fleet.Regions(s)
	return s.Scope.With(present), ok
}

// mayHold reports whether an entry in a region may hold the prompts and samples of a run.
func (c *Collector) mayHold(s Spec, region identifier.Region) bool {
	scope, ok := c.scope(s)
	return ok && scope.AllowsEntry(region)
}

// MayLead reports whether this entry may hold a duty, if that is a run: it must be allowed to hold what the run contains.
func (c *Collector) MayLead(d identifier.Duty) bool {
	id, isRun := strings.CutPrefix(string(d), dutyPrefix)
	k, known := c.runs.Get(RunID(id))
	return !isRun || known && c.mayHold(k.spec, c.settings.Region)
}

// refuseUnserved refuses a submission that no target may get. One that the run has accepted is not refused, because it runs once a target
// may get it.
func (c *Collector) refuseUnserved(o *Owner, s Submission) (Reply, bool) {
	spec := o.run.Spec()
	scope, ok := c.scope(spec)
	if !ok || !scope.Restricted() || c.fleet.Serves(spec.Service, scope.Regions) {
		return Reply{}, false
	}
	admission, _ := o.run.Admit(s)
	return refusedReply(ReasonNoRegion), admission != AdmissionKnown
}
