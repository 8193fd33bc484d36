package router

import (
	"github.com/mimosalb/mimosalb/internal/confiner"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// drawConfined calls consider for as many random targets as drawAny does, all of them in zones of the required regions. Draws from all
// zones would mostly miss a small set of regions, and leave the load there unbalanced.
func (c *Choice) drawConfined(consider func(i int)) {
	local, hasLocal := c.group.byZone[c.Requirements.Zone]
	draws := localCandidates + remoteCandidates
	if hasLocal && c.allowsZone(local) {
		for range localCandidates {
			consider(c.randomMember(c.group.zones[local].members))
		}
		draws = remoteCandidates
	} else {
		hasLocal = false
	}
	remote := 0
	for z := range c.group.zones {
		if c.allowsZone(z) && (!hasLocal || z != local) {
			remote++
		}
	}
	if remote == 0 {
		return
	}
	for range draws {
		left := c.router.random.IntN(remote)
		for z := range c.group.zones {
			if !c.allowsZone(z) || hasLocal && z == local {
				continue
			}
			if left == 0 {
				consider(c.randomMember(c.group.zones[z].members))
				break
			}
			left--
		}
	}
}

func (c *Choice) allowsZone(z int) bool {
	return c.Requirements.Regions.Allows(c.group.zones[z].region)
}

// ServesIn reports whether a target of a service is in one of the regions.
func (v View) ServesIn(s identifier.Service, r confiner.Regions) bool {
	if g := v.groups[groupKey{service: s}]; g != nil {
		for _, z := range g.zones {
			if r.Allows(z.region) {
				return true
			}
		}
	}
	return false
}

// Outside returns the targets of a service that are in none of the regions.
func (v View) Outside(s identifier.Service, r confiner.Regions) []identifier.Target {
	g := v.groups[groupKey{service: s}]
	if g == nil || !r.Restricted() {
		return nil
	}
	var ids []identifier.Target
	for _, z := range g.zones {
		if r.Allows(z.region) {
			continue
		}
		for _, i := range z.members {
			ids = append(ids, v.targets[i].ID)
		}
	}
	return ids
}
