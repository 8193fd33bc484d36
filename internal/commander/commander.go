// Package commander holds the commands of mimosactl, the command-line tool for operators.
package commander

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// verb is one command: its place in the command line and what it does.
type verb struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context, c *client) (Listing, error)
}

// options are the flags that all commands share.
type options struct {
	address string
	token   string
	output  string
	timeout time.Duration
}

// Run parses args, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) Code {
	app := kingpin.New("mimosactl", "Operate a mimosalb deployment.")
	app.UsageWriter(out).ErrorWriter(errOut)
	o := &options{}
	app.Flag("address", "URL of an entry's operators' interface.").Default("http://127.0.0.1:8090").
		Envar("MIMOSA_ADDRESS").StringVar(&o.address)
	app.Flag("token", "File with the operators' bearer token.").Envar("MIMOSA_TOKEN").StringVar(&o.token)
	app.Flag("output", "Form of the output: table, json or yaml.").Short('o').Default(formatTable).
		EnumVar(&o.output, formatTable, formatJSON, formatYAML)
	app.Flag("timeout", "Time limit of the command.").Default("30s").DurationVar(&o.timeout)

	verbs := make(map[string]verb)
	for _, add := range []func(*kingpin.Application) []verb{
		documentVerbs, presetVerbs, teamVerbs, keyVerbs, serviceVerbs, targetVerbs, statusVerbs, explainVerbs,
	} {
		for _, v := range add(app) {
			verbs[v.clause.FullCommand()] = v
		}
	}
	name, done, err := parse(app, args)
	switch {
	case done:
		return Done
	case err != nil:
		_, _ = fmt.Fprintf(errOut, "mimosactl: %v; see mimosactl --help\n", err)
		return BadInput
	}
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	err = o.execute(ctx, verbs[name], out)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "mimosactl: %v\n", err)
	}
	return codeOf(err)
}

// terminated unwinds the parser.
type terminated struct{}

// parse parses args. It reports true when the parser has done all there is to do, as for --help and the completion
// scripts. The parser expects its Terminate function not to return and would print its usage after a script otherwise.
func parse(app *kingpin.Application, args []string) (name string, done bool, err error) {
	app.Terminate(func(int) { panic(terminated{}) })
	defer func() {
		switch r := recover().(type) {
		case nil:
		case terminated:
			done = true
		default:
			panic(r)
		}
	}()
	name, err = app.Parse(args)
	return name, false, err
}

func (o *options) execute(ctx context.Context, v verb, out io.Writer) error {
	c, err := newClient(o.address, o.token)
	if err != nil {
		return err
	}
	listing, err := v.run(ctx, c)
	if err != nil {
		return err
	}
	text, ok := formats().Decide(request{format: o.output, listing: listing})
	if !ok {
		panic("invariant output-form: the flag admits known forms only")
	}
	if _, err := out.Write(text); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
