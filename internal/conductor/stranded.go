package conductor

import (
	"slices"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/navigator"
)

// stranded reports whether all targets of the services that would run a job are in evacuated availability zones, so that the job could
// not begin.
func (c *Conductor) stranded(s batcher.Spec) bool {
	if c.Stranded == nil {
		return false
	}
	route, ok := c.Navigator.Current().Route(s.Host, s.Path)
	used := slices.DeleteFunc(slices.Clone(route.Shares), func(share navigator.Share) bool { return share.Weight <= 0 })
	return ok && len(used) > 0 && !slices.ContainsFunc(used, func(share navigator.Share) bool { return !c.Stranded(share.Service) })
}
