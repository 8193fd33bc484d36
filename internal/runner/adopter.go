package runner

import (
	"errors"
	"os"
	"slices"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/checker"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/logger"
)

// configAdopter adopts relayed configurations.
type configAdopter struct{ d *Distribution }

// Adopt saves a valid configuration, then puts it in force. The copy is saved first, so that a node that restarts
// between the two steps does not start with a lower revision than it had. Warnings are logged and don't prevent the adoption.
func (a configAdopter) Adopt(c distributor.Copy) bool {
	doc, err := codec.Decode(c.Body())
	if err != nil || doc.Revision() != c.Revision() {
		a.d.settings.Log.Emit(logger.DocumentRefused, "topic", "config", "revision", c.Revision(), "error", err)
		return false
	}
	findings := doc.Findings()
	if errs := checker.Of(findings, checker.Error); len(errs) > 0 {
		a.d.settings.Log.Emit(logger.DocumentRefused, "topic", "config", "revision", c.Revision(), "findings", checker.Texts(errs))
		return false
	}
	a.d.save(c)
	before := a.d.settings.Config.Current().Findings()
	adoption := a.d.settings.Config.Adopt(doc)
	// A finding that stays is logged once: there are thousands of nodes, and thousands of changes a day.
	if adoption == configurator.Adopted && len(findings) > 0 && !slices.Equal(findings, before) {
		a.d.settings.Log.Emit(logger.ConfigDoubtful, "revision", c.Revision(), "count", len(findings), "findings", checker.Texts(findings))
	}
	return adoption != configurator.Invalid
}

// listAdopter adopts relayed VM lists.
type listAdopter struct{ d *Distribution }

// Adopt puts a VM list in use. It returns false if the list cannot be decoded.
func (a listAdopter) Adopt(c distributor.Copy) bool {
	vms, err := codec.DecodeVMList(c.Body())
	if err != nil {
		a.d.settings.Log.Emit(logger.DocumentRefused, "topic", "list", "revision", c.Revision(), "error", err)
		return false
	}
	a.d.adoptVMs(vms)
	return true
}

// save writes a copy to the data folder. A failure is only logged: without a saved copy the node works like one that has
// no disk.
func (d *Distribution) save(c distributor.Copy) {
	if d.archive == nil {
		return
	}
	if err := d.archive.Save(c, d.provenAt()); err != nil {
		d.settings.Log.Emit(logger.CopyUnusable, "error", err)
	}
}

// provenAt returns the wall clock time of the last proof of freshness, or zero if there is none.
func (d *Distribution) provenAt() time.Time {
	age, ok := d.Age()
	if !ok {
		return time.Time{}
	}
	return d.settings.Clock.Now().Add(-age)
}

// loadCopy offers the saved copy to the relay when the node starts. Its proof of freshness is used unless the wall clock
// was set back after it was saved.
func (d *Distribution) loadCopy() {
	if d.archive == nil {
		return
	}
	c, proven, err := d.archive.Load()
	if err != nil {
		if !errors.Is(err, os.ErrNotExist) {
			d.settings.Log.Emit(logger.CopyUnusable, "error", err)
		}
		return
	}
	d.Relay.Offer(distributor.Config, c)
	if age := d.settings.Clock.Now().Sub(proven); !proven.IsZero() && age >= 0 {
		d.Relay.MarkFresh(d.settings.Clock.Monotonic() - age)
	}
}
