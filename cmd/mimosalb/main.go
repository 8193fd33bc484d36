// Command mimosalb is the daemon of the rollout service. Each role of a process is a subcommand.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb"
	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

// roleConfig is the value of check's role flag that selects the operators' configuration.
const roleConfig = "config"

func main() {
	app := kingpin.New("mimosalb", "Rollout service for reinforcement learning.")
	files := make(map[string]*string)
	for role, help := range map[loader.Role]string{
		loader.RoleEntry:   "Run an entry: the interface to callers, trainers and operators.",
		loader.RoleAgent:   "Run the agent beside one target.",
		loader.RoleStandin: "Run stand-ins of the platform and the back ends; docs/standins.md lists their failure switches.",
	} {
		cmd := app.Command(string(role), help)
		files[string(role)] = cmd.Flag("config", "Settings file.").Short('c').Required().String()
	}
	check := app.Command("check", "Check a settings or configuration file and start nothing.")
	checkFile := check.Flag("config", "File to check.").Short('c').Required().String()
	checkRole := check.Flag("role", "Role that the settings are for; config for the operators' configuration.").
		Default("entry").Enum("entry", "agent", "standin", roleConfig)
	demo := app.Command("demo", "Run all roles in this process on loopback and execute the demonstration.")
	serve := demo.Flag("serve", "Keep the deployment running afterwards and print how to use it.").Bool()
	verbose := demo.Flag("verbose", "Write events to the standard error output.").Bool()

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	switch cmd := kingpin.MustParse(app.Parse(os.Args[1:])); cmd {
	case check.FullCommand():
		if *checkRole == roleConfig {
			_, problems, err := codec.Load(*checkFile)
			exitOnProblems(problems, err)
			return
		}
		load(*checkFile, loader.Role(*checkRole))
	case demo.FullCommand():
		log := os.Stderr
		if !*verbose {
			log, _ = os.Open(os.DevNull)
		}
		run := demonstrator.Run
		if *serve {
			run = demonstrator.Serve
		}
		exitOnError(run(ctx, os.Stdout, log))
	default:
		settings := load(*files[cmd], loader.Role(cmd))
		exitOnError(mimosalb.New(loader.Role(cmd), settings).Run(ctx))
	}
}

// load reads the settings. It prints their problems and exits if there are any.
func load(file string, role loader.Role) loader.Settings {
	settings, problems, err := loader.Load(file, role)
	exitOnProblems(problems, err)
	return settings
}

// exitOnProblems prints the problems of a file, or the error of reading it, and exits if there are any.
func exitOnProblems(problems []loader.Problem, err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "mimosalb:", err)
	}
	for _, p := range problems {
		fmt.Fprintln(os.Stderr, p)
	}
	if err != nil || len(problems) > 0 {
		os.Exit(exitSettings)
	}
}

// exitOnError prints err and exits if it is not nil.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "mimosalb:", err)
		os.Exit(exitFailed)
	}
}
