// Command mimosalb-node is a process of the rollout service on the users' platform. Its subcommands are the roles.
package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime/debug"
	"strconv"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"github.com/mimosalb/mimosalb/internal/adapter/exporter"
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
	collectPercent = 20
)

// stopper is a started process.
type stopper interface {
	Stop(ctx context.Context)
}

func main() {
	app := kingpin.New("mimosalb-node", "A process of the rollout service on the users' platform.")
	path := app.Flag("config", "Settings file of the platform.").Short('c').Envar(platform.SettingsVariable).Required().String()
	level := app.Flag("log", "Least level of events: debug, info, warn or error.").Default("info").Enum("debug", "info", "warn", "error")
	metrics := app.Flag("metrics", "Port of the metrics at the VM's address; none without it.").Int()
	entry := app.Command("entry", "Serve callers and trainers.")
	app.Command("controller", "Campaign for the duty of giving orders and reporting usage.")
	check := app.Command("check", "Check the settings file and start nothing.")
	command := kingpin.MustParse(app.Parse(os.Args[1:]))

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	settings := load(*path)
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(settings.Memory) * memoryPercent / 100)
	if command == check.FullCommand() {
		return
	}
	lines := logger.NewBoundedWriter(os.Stdout)
	log := logger.NewLogger(string(settings.Node), *level, lines)
	process, err := start(command == entry.FullCommand(), settings, address(settings, *metrics), hoster.Observers{
		Log: log, Lines: lines, Metrics: exporter.NewHosted(),
	})
	exit(err)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	for ctx.Err() == nil {
		select {
		case <-reload:
			reread(*path, log)
		case <-ctx.Done():
		}
	}
	process.Stop(context.WithoutCancel(ctx))
	lines.Close()
}

// start starts an entry or a controller.
func start(entry bool, s platform.Settings, metrics string, o hoster.Observers) (stopper, error) {
	if entry {
		return hoster.StartEntry(s.Hosted(metrics), platform.New(s, o.Log, o.Metrics), platform.NewFront, o)
	}
	return hoster.StartController(s.Hosted(metrics), platform.New(s, o.Log, o.Metrics), o)
}

// address returns the address of a port of the VM; empty without a port.
func address(s platform.Settings, port int) string {
	if port == 0 {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(port))
}

// reread checks changed settings. Those of this process hold until it is started again.
func reread(path string, log *logger.Logger) {
	if _, faults := platform.Load(path); len(faults) > 0 {
		log.Emit(logger.SettingsInvalid, "faults", fmt.Sprint(faults))
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
