package runner

import (
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// timestamp is the part of a log line that differs between runs.
var timestamp = regexp.MustCompile(`,"@timestamp":"[^"]*"`)

// Guards against a warning that prevents the adoption of a configuration, that is not logged or is logged again with each further
// change, and against an error that is adopted or is logged without its field.
func TestAdoptionFollowsTheSeverity(t *testing.T) {
	var log, out strings.Builder
	config := &configurator.Configurator{}
	d := NewDistribution(DistributionSettings{
		Period: time.Second, Clock: &timer.Manual{}, Log: logger.NewLogger("n", "info", &log), Config: config,
	})
	doubtful := configurator.Document{}.WithServices(configurator.Service{Name: "ledger", Kind: configurator.Plain, Scoring: true})
	for i, doc := range []configurator.Document{
		doubtful, doubtful.WithTeams(configurator.Team{Name: "a"}), doubtful.WithTeams(configurator.Team{}), doubtful.WithPreset(configurator.Peak),
	} {
		doc = doc.WithRevision(config.Current().Revision() + 1)
		outcome := d.Relay.Offer(distributor.Config, distributor.NewCopy(doc.Revision(), codec.Encode(doc)))
		fmt.Fprintf(&out, "document %d adopted: %t\n%s", i, outcome == distributor.Adopted, timestamp.ReplaceAllString(log.String(), ""))
		log.Reset()
	}
	goldie.New(t).Assert(t, t.Name(), []byte(out.String()))
}
