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

// switches are the values of a flag that turns a property on, off or leaves it.
var switches = []string{"yes", "no", "keep"}

// serviceFlags are the flags of service set.
type serviceFlags struct {
	kind    string
	open    string
	once    string
	scoring string
	timeout time.Duration
	limits  *limitFlags
}

func newServiceFlags(clause *kingpin.CmdClause) *serviceFlags {
	f := &serviceFlags{limits: newLimitFlags(clause)}
	clause.Flag("kind", "How targets serve it: model or plain.").EnumVar(&f.kind, string(configurator.Model), string(configurator.Plain))
	clause.Flag("open", "Whether requests without a key run.").Default("keep").EnumVar(&f.open, switches...)
	clause.Flag("once", "Whether calls may not be repeated.").Default("keep").EnumVar(&f.once, switches...)
	clause.Flag("scoring", "Whether its rollouts come first in training windows.").Default("keep").EnumVar(&f.scoring, switches...)
	clause.Flag("request-timeout", "Time limit of one request, such as 30s.").Default("-1ns").DurationVar(&f.timeout)
	return f
}

func (f *serviceFlags) apply(s configurator.Service) configurator.Service {
	if f.kind != "" {
		s.Kind = configurator.Kind(f.kind)
	}
	turn(&s.Open, f.open)
	turn(&s.Once, f.once)
	turn(&s.Scoring, f.scoring)
	if f.timeout >= 0 {
		s.Timeout = f.timeout
	}
	s.Limits = f.limits.apply(s.Limits)
	return s
}

func turn(property *bool, to string) {
	if to != "keep" {
		*property = to == "yes"
	}
}

// serviceVerbs are the commands for services.
func serviceVerbs(app *kingpin.Application) []verb {
	group := app.Command("service", "Services: what callers can ask for.")
	list := group.Command("list", "List the services.")
	set := group.Command("set", "Add a service or change it.")
	setName := set.Arg("service", "Name of the service.").Required().String()
	flags := newServiceFlags(set)
	remove := group.Command("remove", "Remove a service.")
	removeName := remove.Arg("service", "Name of the service.").Required().String()
	return []verb{
		{clause: list, run: listServices},
		{clause: set, run: func(ctx context.Context, c *client) (Listing, error) {
			return c.edit(ctx, func(d configurator.Document) (configurator.Document, error) {
				service, ok := d.Service(identifier.Service(*setName))
				if !ok && flags.kind == "" {
					return d, &Failure{Code: BadInput, Text: fmt.Sprintf("service %s is new: want --kind", *setName)}
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
	return NewListing(codec.FromDocument(doc).Services,
		Column[codec.Service]{columnName, func(s codec.Service) string { return string(s.Name) }},
		Column[codec.Service]{"kind", func(s codec.Service) string { return string(s.Kind) }},
		Column[codec.Service]{"open", func(s codec.Service) string { return strconv.FormatBool(s.Open) }},
		Column[codec.Service]{"once", func(s codec.Service) string { return strconv.FormatBool(s.Once) }},
		Column[codec.Service]{"scoring", func(s codec.Service) string { return strconv.FormatBool(s.Scoring) }},
		Column[codec.Service]{"timeout", func(s codec.Service) string { return cmp.Or(s.Timeout, "-") }},
	), nil
}

func removeService(d configurator.Document, name string) (configurator.Document, error) {
	services := d.Services()
	i := slices.IndexFunc(services, func(s configurator.Service) bool { return string(s.Name) == name })
	if i < 0 {
		return d, &Failure{Code: BadInput, Text: fmt.Sprintf("there is no service %s", name)}
	}
	return d.WithServices(slices.Delete(services, i, i+1)...), nil
}
