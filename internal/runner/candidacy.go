package runner

import (
	"sync/atomic"

	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
)

// candidacy limits the entries that campaign for a duty, so that the number of calls to the key-value service does not
// grow with the fleet. The zero value makes the process campaign for no duty until observe is called.
type candidacy struct {
	name    identifier.Node
	region  identifier.Region
	entries atomic.Pointer[[]platformclient.VM]
}

// candidatesPerDuty is the number of entries that campaign for a duty. The failure of a zone stops one or two of them.
const candidatesPerDuty = 5

// observe records the entries of a VM list.
func (c *candidacy) observe(vms []platformclient.VM) {
	var entries []platformclient.VM
	for _, vm := range vms {
		if vm.Role == platformclient.RoleEntry {
			entries = append(entries, vm)
		}
	}
	c.entries.Store(&entries)
}

// eligible reports whether the process campaigns for a duty. It returns false until a VM list was observed.
func (c *candidacy) eligible(d identifier.Duty) bool {
	entries := c.entries.Load()
	if entries == nil {
		return false
	}
	region := identifier.Region("")
	if d == orderer.Duty(c.region) {
		region = c.region
	}
	return c.isCandidate(d, *entries, region)
}

// isCandidate reports whether the process is one of the first candidatesPerDuty entries in the order for a duty, which
// differs between duties. If region is not empty, only its entries are candidates. It returns true if vms has no entries.
func (c *candidacy) isCandidate(d identifier.Duty, vms []platformclient.VM, region identifier.Region) bool {
	entries, earlier, listed := 0, 0, false
	own := seed(string(d) + "/" + string(c.name))
	for _, vm := range vms {
		if vm.Role != platformclient.RoleEntry || region != "" && vm.Region != region {
			continue
		}
		entries++
		listed = listed || vm.Name == c.name
		other := seed(string(d) + "/" + string(vm.Name))
		if other < own || other == own && vm.Name < c.name {
			earlier++
		}
	}
	return entries == 0 || listed && earlier < candidatesPerDuty
}
