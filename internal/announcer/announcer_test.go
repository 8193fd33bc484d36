package announcer_test

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/announcer"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/router"
)

func registration(node string, start identifier.Incarnation) recorder.Registration {
	return recorder.Registration{Owner: recorder.Owner{Node: identifier.Node(node), Incarnation: start}}
}

// loads returns n loads of some attempts each.
func loads(n, count int, work time.Duration) []router.Load {
	all := make([]router.Load, n)
	for i := range all {
		all[i] = router.Load{Target: identifier.Target(fmt.Sprintf("t%04d", i)), Count: count, Work: work}
	}
	return all
}

// Guards against notices that are sent too often, without a real change, for long after this entry stopped leading, or not at all: after a
// change, before an unchanged state expires, and when it begins to lead.
func TestNotices(t *testing.T) {
	var out strings.Builder
	a := announcer.NewAnnouncer(registration("a", 1))
	introduction := announcer.Introduction{Announcer: a}
	told, introduced := 0, 0
	step := func(title string, leading bool, l []router.Load, from, to time.Duration) {
		fmt.Fprintf(&out, "# %s\n", title)
		for now := from; now < to; now += 50 * time.Millisecond {
			a.Update(leading, l, now)
			var n announcer.Notice
			if n, introduced = introduction.Observed(introduced); !n.IsEmpty() {
				fmt.Fprintf(&out, "%v introduction, number %d\n", now, n.Number)
			}
			if n, told = a.Observed(told); !n.IsEmpty() {
				fmt.Fprintf(&out, "%v number %d, leading %v, valid %v, %d loads\n", now, n.Number, n.Leading, n.Valid, len(n.Loads))
			}
		}
	}
	step("leads nothing", false, nil, 0, time.Second)
	step("begins to lead", true, loads(3, 1, time.Second), time.Second, 2*time.Second)
	step("a text grows a little", true, loads(3, 1, 900*time.Millisecond), 2*time.Second, 2200*time.Millisecond)
	step("a text grows much", true, loads(3, 1, 500*time.Millisecond), 2200*time.Millisecond, 2500*time.Millisecond)
	step("more attempts", true, loads(4, 2, 500*time.Millisecond), 2500*time.Millisecond, 3*time.Second)
	step("the job ends, and another begins soon", false, nil, 3*time.Second, 4*time.Second)
	step("many targets", true, loads(2700, 3, time.Minute), 4*time.Second, 8*time.Second)
	for i := range 23 {
		a.Apply(announcer.Notice{From: registration(fmt.Sprint("b", i), 1), Number: 1, Leading: true, Valid: time.Second}, 8*time.Second)
	}
	step("23 others lead too", true, loads(2700, 3, time.Minute), 8*time.Second, 15*time.Second)
	step("leads nothing any more", false, nil, 15*time.Second, 60*time.Second)
	step("begins again", true, loads(3, 1, time.Second), 60*time.Second, 60100*time.Millisecond)
	goldie.New(t).Assert(t, "notices", []byte(out.String()))
}

// Guards against what others told being used after they fell silent or stopped leading, in the order of arrival, of an earlier start or of this
// entry itself, and against a table that a faulty entry fills without bound.
func TestPeers(t *testing.T) {
	c := qt.New(t)
	a := announcer.NewAnnouncer(registration("a", 1))
	notice := func(node string, start identifier.Incarnation, number, n int) announcer.Notice {
		return announcer.Notice{From: registration(node, start), Number: number, Leading: true, Valid: 2 * time.Second, Loads: loads(n, 4, 4*time.Minute)}
	}
	known := func(now time.Duration) string {
		n, all := a.PeerLoads(now)
		sum := 0
		for _, l := range all {
			sum += len(l)
		}
		return fmt.Sprintf("%d leading, %d loads", n, sum)
	}
	c.Assert(a.Apply(notice("b", 2, 5, 3), 0), qt.IsTrue)
	c.Assert(a.Apply(notice("b", 2, 4, 9), 0), qt.IsFalse)
	c.Assert(a.Apply(notice("b", 1, 9, 9), 0), qt.IsFalse)
	c.Assert(a.Apply(notice("a", 1, 9, 9), 0), qt.IsFalse)
	c.Assert(known(time.Second), qt.Equals, "1 leading, 3 loads")
	c.Assert(a.Leaders([]recorder.Registration{registration("b", 2), registration("c", 1)}), qt.HasLen, 1)
	c.Assert(a.Leaders([]recorder.Registration{registration("b", 3)}), qt.HasLen, 0)
	c.Assert(known(3*time.Second), qt.Equals, "0 leading, 0 loads")
	c.Assert(a.Apply(notice("b", 3, 1, 2), 3*time.Second), qt.IsTrue)
	c.Assert(known(4*time.Second), qt.Equals, "1 leading, 2 loads")
	c.Assert(a.Apply(announcer.Notice{From: registration("b", 3), Number: 2, Valid: time.Minute}, 4*time.Second), qt.IsTrue)
	c.Assert(known(4*time.Second), qt.Equals, "0 leading, 0 loads")
	odd := notice("c", 1, 1, 0)
	odd.Loads = []router.Load{{Target: "x", Count: -1, Work: -1}, {Target: "y", Count: math.MaxInt, Work: math.MaxInt64}}
	a.Apply(odd, 4*time.Second)
	_, all := a.PeerLoads(4 * time.Second)
	c.Assert(all, qt.DeepEquals, [][]router.Load{{{Target: "x"}, {Target: "y", Count: 4096, Work: 24 * time.Hour}}})
	for i := range 200 {
		a.Apply(notice(fmt.Sprint("d", i), 1, 1, 1000), 5*time.Second)
	}
	c.Assert(known(5*time.Second), qt.Equals, fmt.Sprintf("%d leading, %d loads", 63, 62*256+2))
}

// Guards against slots that count as taken by others long after their attempts must have ended.
func TestPeerLoadsAge(t *testing.T) {
	c := qt.New(t)
	a := announcer.NewAnnouncer(registration("a", 1))
	a.Apply(announcer.Notice{From: registration("b", 1), Number: 1, Leading: true, Valid: time.Minute, Loads: loads(1, 4, 4*time.Second)}, 0)
	var counts []int
	for now := time.Duration(0); now <= 2*time.Second; now += 500 * time.Millisecond {
		_, all := a.PeerLoads(now)
		counts = append(counts, all[0][0].Count)
	}
	c.Assert(counts, qt.DeepEquals, []int{4, 3, 2, 1, 0})
}
