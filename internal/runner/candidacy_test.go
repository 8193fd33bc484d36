package runner

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/platformclient"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/reporter"
)

// Guards against a duty for which no entry campaigns, and against one for which the whole fleet does, which would
// overload the key-value service.
func TestCandidacyIsLimited(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{0, 1, 4, 660} {
		vms := make([]platformclient.VM, 0, size)
		for i := range size {
			vms = append(vms, platformclient.VM{
				Name: identifier.Node(fmt.Sprint("entry-", i)), Role: platformclient.RoleEntry, Region: identifier.Region(fmt.Sprint(i % 2)),
			})
		}
		report, order := 0, 0
		for i := range max(size, 1) {
			p := &candidacy{name: identifier.Node(fmt.Sprint("entry-", i)), region: identifier.Region(fmt.Sprint(i % 2))}
			c.Check(p.eligible(reporter.Duty), qt.IsFalse)
			p.observe(vms)
			if p.eligible(reporter.Duty) {
				report++
			}
			if i%2 == 0 && p.eligible(orderer.Duty("0")) {
				order++
			}
		}
		c.Check(report, qt.Equals, min(max(size, 1), candidatesPerDuty))
		c.Check(order, qt.Equals, min(max((size+1)/2, 1), candidatesPerDuty))
	}
}
