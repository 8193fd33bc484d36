package runner

import (
	"sync/atomic"

	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
)

// candidacy limits the entries that campaign for a duty, so that calls to the key-value service do not grow with the
// fleet. The zero value lets the process campaign for everything.
type candidacy struct {
	name    identifier.Node
	region  identifier.Region
	entries atomic.Pointer[[]platformclient.VM]
}

// candidates is the number of entries that campaign for a duty. A zone failure takes one or two of them.
const candidates = 5

// observe takes over the entries of the VM list.
func (c *candidacy) observe(vms []platformclient.VM) {
	var entries []platformclient.VM
	for _, vm := range vms {
		if vm.Role == platformclient.RoleEntry {
			entries = append(entries, vm)
		}
	}
	c.entries.Store(&entries)
}

// eligible reports whether the process campaigns for a duty. Before the first VM list it campaigns for none.
func (c *candidacy) eligible(d identifier.Duty) bool {
	entries := c.entries.Load()
	if entries == nil {
		return false
	}
	region := identifier.Region("")
	if d == orderer.Duty(c.region) {
		region = c.region
	}
	return c.among(d, *entries, region)
}

// among reports whether the process is one of the first entries for a duty, in an order that differs between duties.
// region limits the entries unless it is empty. A list without entries lets every process campaign.
func (c *candidacy) among(d identifier.Duty, vms []platformclient.VM, region identifier.Region) bool {
	entries, before, listed := 0, 0, false
	own := seed(string(d) + "/" + string(c.name))
	for _, vm := range vms {
		if vm.Role != platformclient.RoleEntry || region != "" && vm.Region != region {
			continue
		}
		entries++
		listed = listed || vm.Name == c.name
		other := seed(string(d) + "/" + string(vm.Name))
		if other < own || other == own && vm.Name < c.name {
			before++
		}
	}
	return entries == 0 || listed && before < candidates
}
