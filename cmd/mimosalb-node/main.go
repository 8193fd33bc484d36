// Command mimosalb-node is a process of the rollout service on the users' platform. Its subcommands are the roles.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/hoster"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/platform"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

const (
	// memoryPercent is the part of the platform's memory limit that the runtime keeps below.
	memoryPercent = 80
	// collectPercent is the growth of the heap after which garbage is collected. Memory is dear on the platform and the
	// live heap is small.
	collectPercent = 50
)

// stopper is a started process.
type stopper interface {
	Stop(ctx context.Context) error
}

func main() {
	app := kingpin.New("mimosalb-node", "A process of the rollout service on the users' platform.")
	path := app.Flag("config", "Settings file of the platform.").Short('c').Envar(platform.SettingsVariable).Required().String()
	level := app.Flag("log", "Least level of events: debug, info, warn or error.").Default("info").Enum("debug", "info", "warn", "error")
	entry := app.Command("entry", "Serve callers and trainers.")
	controller := app.Command("controller", "Campaign for the duty of giving orders and reporting usage.")
	check := app.Command("check", "Check the settings file and start nothing.")
	command := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	settings := load(*path)
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(settings.Memory) * memoryPercent / 100)
	log := logger.NewLogger(string(settings.Node), *level, os.Stdout)
	var process stopper
	switch command {
	case check.FullCommand():
		return
	case entry.FullCommand():
		e, err := hoster.StartEntry(settings.Hosted(), platform.New(settings, log), platform.NewFront, log)
		exit(err)
		process = e
	case controller.FullCommand():
		process = hoster.StartController(settings.Hosted(), platform.New(settings, log), log)
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	for ctx.Err() == nil {
		select {
		case <-reload:
			reread(*path, log)
		case <-ctx.Done():
		}
	}
	exit(process.Stop(context.WithoutCancel(ctx)))
}

// reread checks changed settings. Those of this process hold until it is started again.
func reread(path string, log *logger.Logger) {
	if _, faults := platform.Load(path); len(faults) > 0 {
		log.Emit(logger.SettingsFaulty, "faults", fmt.Sprint(faults))
		return
	}
	log.Emit(logger.SettingsReloaded)
}

// load reads the settings and ends the process when they have faults.
func load(path string) platform.Settings {
	settings, faults := platform.Load(path)
	for _, fault := range faults {
		fmt.Fprintln(os.Stderr, "mimosalb-node:", fault)
	}
	if len(faults) > 0 {
		os.Exit(exitSettings)
	}
	return settings
}

// exit ends the process when err is set.
func exit(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "mimosalb-node:", err)
		os.Exit(exitFailed)
	}
}
