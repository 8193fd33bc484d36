package commander

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// switchValues are the values of a flag that turns a property on or off or keeps it.
var switchValues = []string{"yes", "no", "keep"}

// serviceFlags are the flags of the command service set.
type serviceFlags struct {
	kind    string
	open    string
	once    string
	scoring string
	timeout time.Duration
	limits  *limitFlags
	regions *regionsFlag
}

func newServiceFlags(clause *kingpin.CmdClause) *serviceFlags {
	f := &serviceFlags{limits: newLimitFlags(clause), regions: newRegionsFlag(clause)}
	clause.Flag("kind", "Kind of the service: model or plain.").EnumVar(&f.kind, string(configurator.Model), string(configurator.Plain))
	clause.Flag("open", "Whether requests without a key are accepted.").Default("keep").EnumVar(&f.open, switchValues...)
	clause.Flag("once", "Whether a call must not be executed more than once.").Default("keep").EnumVar(&f.once, switchValues...)
	clause.Flag("scoring", "Whether its rollouts have priority in training windows.").Default("keep").EnumVar(&f.scoring, switchValues...)
	clause.Flag("request-timeout", "Time limit of one request, such as 30s.").Default("-1ns").DurationVar(&f.timeout)
	return f
}

// apply returns s with the properties that the flags set.
func (f *serviceFlags) apply(s configurator.Service) configurator.Service {
	if f.kind != "" {
		s.Kind = configurator.Kind(f.kind)
	}
	setSwitch(&s.Open, f.open)
	setSwitch(&s.Once, f.once)
	setSwitch(&s.Scoring, f.scoring)
	if f.timeout >= 0 {
		s.Timeout = f.timeout
	}
	s.Limits = f.limits.apply(s.Limits)
	s.Regions = f.regions.apply(s.Regions)
	return s
}

// setSwitch sets property to a value of switchValues.
func setSwitch(property *bool, value string) {
	if value != "keep" {
		*property = value == "yes"
	}
}

// serviceCommands returns the commands for services.
func serviceCommands(app *kingpin.Application) []command {
	group := app.Command("service", "Manage the services that callers can call.")
	list := group.Command("list", "List the services.")
	set := group.Command("set", "Add or change a service.")
	setName := set.Arg("service", "Name of the service.").Required().String()
	flags := newServiceFlags(set)
	remove := group.Command("remove", "Remove a service.")
	removeName := remove.Arg("service", "Name of the service.").Required().String()
	return []command{
		{clause: list, run: listServices},
		{clause: set, run: func(ctx context.Context, c *client) (Listing, error) {
			return c.edit(ctx, func(d configurator.Document) (configurator.Document, error) {
				service, ok := d.Service(identifier.Service(*setName))
				if !ok && flags.kind == "" {
					return d, &Failure{Code: BadInput, Text: fmt.Sprintf("service %s does not exist yet: want --kind", *setName)}
				}
				service.Name = identifier.Service(*setName)
				return d.WithService(flags.apply(service)), nil
			})
		}},
		{clause: remove, run: func(ctx context.Context, c *client) (Listing, error) {
			return c.edit(ctx, func(d configurator.Document) (configurator.Document, error) { return removeService(d, *removeName) })
		}},
	}
}

func listServices(ctx context.Context, c *client) (Listing, error) {
	doc, err := c.current(ctx)
	if err != nil {
		return Listing{}, err
	}
	services := codec.FromDocument(doc).Services
	columns := []Column[codec.Service]{
		{columnName, func(s codec.Service) string { return string(s.Name) }},
		{"kind", func(s codec.Service) string { return string(s.Kind) }},
		{"open", func(s codec.Service) string { return strconv.FormatBool(s.Open) }},
		{"once", func(s codec.Service) string { return strconv.FormatBool(s.Once) }},
		{"scoring", func(s codec.Service) string { return strconv.FormatBool(s.Scoring) }},
		{"timeout", func(s codec.Service) string { return cmp.Or(s.Timeout, "-") }},
	}
	columns = withRegionsColumn(columns, services, func(s codec.Service) []identifier.Region { return s.Regions })
	return NewListing(services, columns...), nil
}

func removeService(d configurator.Document, name string) (configurator.Document, error) {
	services := d.Services()
	i := slices.IndexFunc(services, func(s configurator.Service) bool { return string(s.Name) == name })
	if i < 0 {
		return d, &Failure{Code: BadInput, Text: fmt.Sprintf("there is no service %s", name)}
	}
	return d.WithServices(slices.Delete(services, i, i+1)...), nil
}
