package commander

import (
	"context"
	"fmt"
	"slices"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

// limitFlags are the flags for the limits of teams and services. A flag that is not given keeps the limit.
type limitFlags struct {
	requests    float64
	tokens      float64
	concurrency int
}

// unchanged is the default of a flag that keeps the value of its field.
const unchanged = "-1"

func newLimitFlags(clause *kingpin.CmdClause) *limitFlags {
	l := &limitFlags{}
	clause.Flag("requests", "Limit in requests per second; 0 is no limit.").Default(unchanged).Float64Var(&l.requests)
	clause.Flag("tokens", "Limit in tokens per second; 0 is no limit.").Default(unchanged).Float64Var(&l.tokens)
	clause.Flag("concurrency", "Limit of concurrent requests; 0 is no limit.").Default(unchanged).IntVar(&l.concurrency)
	return l
}

// apply returns limits with the values that the flags set.
func (l *limitFlags) apply(limits configurator.Limits) configurator.Limits {
	if l.requests >= 0 {
		limits.RequestRate = l.requests
	}
	if l.tokens >= 0 {
		limits.TokenRate = l.tokens
	}
	if l.concurrency >= 0 {
		limits.Concurrency = l.concurrency
	}
	return limits
}

// teamCommands returns the commands for teams.
func teamCommands(app *kingpin.Application) []command {
	group := app.Command("team", "Manage teams with their shares and limits.")
	list := group.Command("list", "List the teams.")
	set := group.Command("set", "Add or change a team.")
	setName := set.Arg("team", "Name of the team.").Required().String()
	weight := set.Flag("weight", "Share relative to other teams.").Default(unchanged).Float64()
	limits := newLimitFlags(set)
	regions := newRegionsFlag(set)
	remove := group.Command("remove", "Remove a team that has never had a key.")
	removeName := remove.Arg("team", "Name of the team.").Required().String()
	return []command{
		{clause: list, run: listTeams},
		{clause: set, run: func(ctx context.Context, c *client) (Listing, error) {
			return c.edit(ctx, func(d configurator.Document) (configurator.Document, error) {
				team, _ := d.Team(identifier.Team(*setName))
				team.Name = identifier.Team(*setName)
				if *weight >= 0 {
					team.Weight = *weight
				}
				team.Limits = limits.apply(team.Limits)
				team.Regions = regions.apply(team.Regions)
				return d.WithTeam(team), nil
			})
		}},
		{clause: remove, run: func(ctx context.Context, c *client) (Listing, error) {
			return c.edit(ctx, func(d configurator.Document) (configurator.Document, error) { return removeTeam(d, *removeName) })
		}},
	}
}

func listTeams(ctx context.Context, c *client) (Listing, error) {
	doc, err := c.current(ctx)
	if err != nil {
		return Listing{}, err
	}
	teams := codec.FromDocument(doc).Teams
	columns := []Column[codec.Team]{
		{columnName, func(t codec.Team) string { return string(t.Name) }},
		{"weight", func(t codec.Team) string { return fmt.Sprint(t.Weight) }},
		{"requests", func(t codec.Team) string { return fmt.Sprint(t.Limits.Requests) }},
		{"tokens", func(t codec.Team) string { return fmt.Sprint(t.Limits.Tokens) }},
		{"concurrency", func(t codec.Team) string { return fmt.Sprint(t.Limits.Concurrency) }},
	}
	columns = withRegionsColumn(columns, teams, func(t codec.Team) []identifier.Region { return t.Regions })
	return NewListing(teams, columns...), nil
}

// removeTeam returns d without the team. A team that has a key can't be removed, because keys are kept permanently, also
// withdrawn ones, and name their team.
func removeTeam(d configurator.Document, name string) (configurator.Document, error) {
	for _, k := range d.Keys() {
		if string(k.Team) == name {
			return d, &Failure{Code: BadInput, Text: fmt.Sprintf("team %s has the key %s; keys, also withdrawn ones, can't be removed", name, k.Caller)}
		}
	}
	teams := d.Teams()
	i := slices.IndexFunc(teams, func(t configurator.Team) bool { return string(t.Name) == name })
	if i < 0 {
		return d, &Failure{Code: BadInput, Text: fmt.Sprintf("there is no team %s", name)}
	}
	return d.WithTeams(slices.Delete(teams, i, i+1)...), nil
}
