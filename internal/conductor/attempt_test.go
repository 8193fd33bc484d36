package conductor_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Guards against short texts that are cut at a slow target after two events, which ends them no sooner: the load is texts of 8 events at a
// target that takes three times as long as its peers.
func TestShortTextsStay(t *testing.T) {
	c := qt.New(t)
	reg, now := registrar.NewRegistrar(nil), time.Second
	conduct := conductor.NewConductor(conductor.Dependencies{Registrar: reg, Router: router.NewRouter(), Clock: &timer.Manual{}, BySlack: true})
	for id, interval := range map[identifier.Target]time.Duration{"a": 20, "b": 20, "c": 20, "slow": 60} {
		reg.Put(registrar.Listing{ID: id, Service: "s"})
		for range 8 {
			reg.RecordInterval(id, interval*time.Millisecond, now)
			reg.RecordFirst(id, 200*time.Millisecond, now)
		}
	}
	c.Assert(reg.IsSlow("slow", now), qt.IsTrue)
	c.Assert(conduct.MovesText("slow", 8, 2, now), qt.IsFalse)
	c.Assert(conduct.MovesText("slow", 8, 6, now), qt.IsFalse)
	c.Assert(conduct.MovesText("slow", 100, 2, now), qt.IsTrue)
	c.Assert(conduct.MovesText("slow", 100, 98, now), qt.IsFalse)
	c.Assert(conduct.MovesText("a", 100, 2, now), qt.IsFalse)
}
