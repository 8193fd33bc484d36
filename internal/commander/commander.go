// Package commander implements the commands of mimosactl, the command-line tool for operators.
package commander

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// command is one command of mimosactl: its clause of the command line and the function that runs it.
type command struct {
	clause *kingpin.CmdClause
	run    func(ctx context.Context, c *client) (Listing, error)
	// failed is the exit code of every failure of the command; if it is zero, the failure has its own.
	failed Code
}

// options are the flags that all commands share.
type options struct {
	address string
	token   string
	output  string
	timeout time.Duration
}

// Run parses args, runs the command and returns the exit code. Results go to out, errors to errOut.
func Run(ctx context.Context, args []string, out, errOut io.Writer) Code {
	app := kingpin.New("mimosactl", "Operate a mimosalb deployment.")
	app.UsageWriter(out).ErrorWriter(errOut)
	o := &options{}
	app.Flag("address", "URL of an entry's API for operators.").Default("http://127.0.0.1:8090").
		Envar("MIMOSA_ADDRESS").StringVar(&o.address)
	app.Flag("token", "File with the operators' bearer token.").Envar("MIMOSA_TOKEN").StringVar(&o.token)
	app.Flag("output", "Output format: table, json or yaml.").Short('o').Default(formatTable).
		EnumVar(&o.output, formatTable, formatJSON, formatYAML)
	app.Flag("timeout", "Time limit of the command.").Default("30s").DurationVar(&o.timeout)

	commands := make(map[string]command)
	for _, add := range []func(*kingpin.Application) []command{
		documentCommands, checkCommands, presetCommands, teamCommands, keyCommands, serviceCommands, targetCommands, zoneCommands,
		statusCommands, explainCommands,
	} {
		for _, cmd := range add(app) {
			commands[cmd.clause.FullCommand()] = cmd
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
	code, err := o.execute(ctx, commands[name], out)
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "mimosactl: %v\n", err)
		return cmp.Or(commands[name].failed, codeOf(err))
	}
	return code
}

// parserExit is the panic value that unwinds the parser when it calls its Terminate function to end the process.
type parserExit struct{}

// parse parses args. done is true if no command is to be run, as for --help and the completion scripts. The parser
// expects that its Terminate function does not return: if it did, the parser would print the usage after the script.
func parse(app *kingpin.Application, args []string) (name string, done bool, err error) {
	app.Terminate(func(int) { panic(parserExit{}) })
	defer func() {
		switch r := recover().(type) {
		case nil:
		case parserExit:
			done = true
		default:
			panic(r)
		}
	}()
	name, err = app.Parse(args)
	return name, false, err
}

// execute runs cmd and writes its listing in the requested format. It returns the exit code of the listing.
func (o *options) execute(ctx context.Context, cmd command, out io.Writer) (Code, error) {
	c, err := newClient(o.address, o.token)
	if err != nil {
		return Failed, err
	}
	listing, err := cmd.run(ctx, c)
	if err != nil {
		return Failed, err
	}
	text, ok := outputFormats().Decide(outputRequest{format: o.output, listing: listing})
	if !ok {
		panic("invariant output-form: the flag accepts known formats only")
	}
	if _, err := out.Write(text); err != nil {
		return Failed, fmt.Errorf("write output: %w", err)
	}
	return listing.code, nil
}
