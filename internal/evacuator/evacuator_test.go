package evacuator_test

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/evacuator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// parse returns the orders in a text: "z1@5" is one for z1 at revision 5, "-z2@7" the removal of the one for z2 at revision 7.
func parse(text string) (orders []evacuator.Order) {
	for _, m := range regexp.MustCompile(`(-?)(\w+)@(\d+)`).FindAllStringSubmatch(text, -1) {
		revision, _ := strconv.ParseInt(m[3], 10, 64)
		orders = append(orders, evacuator.Order{Zone: identifier.Zone(m[2]), Removed: m[1] != "", Revision: revision})
	}
	return orders
}

// Guards against an order that is lost, undone or repeated because it comes late, twice, from two operators, after a read of all orders
// or for an unknown zone, and against a zone that stays evacuated after its order is gone.
func TestOrders(t *testing.T) {
	e := evacuator.NewEvacuator("z1", "z2", "z3")
	out := fmt.Sprintf("started: z3 used %t, synced %t\n", !e.Evacuated("z3"), e.Synced())
	for _, step := range []string{
		"read z1@5", "two operators z2@7 z2@8", "again z2@7", "taken back -z2@10", "late z2@8", "taken back again -z2@11",
		"evacuated again z2@12", "late removal -z2@10", "removal at the revision of the order -z2@12",
		"unknown z9@13 z9@13 z9@14", "unknown taken back -z9@15", "unknown again z9@15", "evacuated z3@16",
		"read without z3 z1@5 z9@15", "evacuated z2@20", "read of a restored store z3@3", "at its lower revision z1@4",
	} {
		orders := parse(step)
		var changes []evacuator.Change
		if strings.HasPrefix(step, "read") {
			changes, orders = e.Replace(orders), nil
		}
		for _, o := range orders {
			changes = append(changes, e.Apply(o)...)
		}
		out += fmt.Sprintf("%s: %v, now %v, unknown %v, z3 used %t\n", step, changes, e.Zones().Names(), e.Unknown(), !e.Evacuated("z3"))
	}
	for i := range 100 {
		e.Apply(parse(fmt.Sprintf("x%d@%d", i, 30+i))[0])
	}
	out += fmt.Sprintf("%d of 100 unknown zones are kept\n", len(e.Unknown()))
	goldie.New(t).Assert(t, "orders", []byte(out))
}
