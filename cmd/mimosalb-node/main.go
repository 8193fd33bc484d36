// Command mimosalb-node runs a process of the rollout service on a user-provided platform. Each role is a subcommand.
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
	"github.com/mimosalb/mimosalb/internal/commander"
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
	// memoryPercent is the percentage of the platform's memory limit that is set as the runtime's memory limit.
	memoryPercent = 80
	// gcPercent is the heap growth in percent that triggers a garbage collection. It is low because memory is expensive
	// on the platform, and the live heap is small.
	gcPercent = 20
)

// stopper stops a running process.
type stopper interface {
	Stop(ctx context.Context)
}

func main() {
	// A reload that is requested while the process starts must not end it, which is what the signal does by default.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	app := kingpin.New("mimosalb-node", "A process of the rollout service on a user-provided platform.")
	path := app.Flag("config", "Settings file of the platform.").Short('c').Envar(platform.SettingsVariable).Required().String()
	level := app.Flag("log", "Lowest level of logged events: debug, info, warn or error.").Default("info").Enum("debug", "info", "warn", "error")
	metrics := app.Flag("metrics", "Port at the VM's address that serves the metrics; they are not served if it is not set.").Int()
	relay := app.Flag("relay", "Let an entry that does not reach the key-value service make its calls through another entry.").Default("true").Bool()
	placement := app.Flag("placement", "How an entry places the items of batch jobs: by expected cost, or by free slots alone.").
		Default(string(hoster.PlaceByCost)).Enum(string(hoster.PlaceByCost), string(hoster.PlaceBySlots))
	slack := app.Flag("slack", "Let an entry decide under load by slack, measured speeds, expected waits and shares of teams.").Bool()
	entry := app.Command("entry", "Serve callers and trainers.")
	app.Command("controller", "Campaign for the duty of switching weight versions and reporting usage.")
	check := app.Command("check", "Check the settings file and start nothing.")
	plan := check.Arg("plan", "File with the operators' configuration to check as well. Exit code 0: no findings, 1: findings, 2: not checked.").String()
	output := check.Flag("output", "Output format of the findings: table, json or yaml.").Short('o').Default("table").Enum("table", "json", "yaml")
	command, err := app.Parse(os.Args[1:])
	exitOnUsage(err)

	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	signal.Ignore(syscall.SIGPIPE)
	settings := load(*path)
	settings.Placement = hoster.Placement(*placement)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(settings.Memory) * memoryPercent / 100)
	if command == check.FullCommand() {
		checkPlan(settings, *plan, *output)
		return
	}
	lines := logger.NewBoundedWriter(os.Stdout)
	log := logger.NewLogger(string(settings.Node), *level, lines)
	hosted := settings.Hosted(address(settings, *metrics))
	hosted.WithoutRelay, hosted.BySlack = !*relay, *slack
	process, err := start(command == entry.FullCommand(), settings, hosted, hoster.Observers{
		Log: log, Lines: lines, Metrics: exporter.NewHosted(),
	})
	exitOnError(err)
	for ctx.Err() == nil {
		select {
		case <-reload:
			recheckSettings(*path, log)
		case <-ctx.Done():
		}
	}
	process.Stop(context.WithoutCancel(ctx))
	lines.Close()
}

// checkPlan checks a file with the operators' configuration, if there is one. It exits if there are findings or no check could be made.
func checkPlan(settings platform.Settings, file, output string) {
	if file == "" {
		return
	}
	data, err := os.ReadFile(file) //nolint:gosec // the operator names the file
	if err != nil {
		fmt.Fprintln(os.Stderr, "mimosalb-node:", err)
		os.Exit(exitSettings)
	}
	findings, complete := settings.Review(file, data)
	if code := commander.WriteFindings(os.Stdout, output, file, complete, findings); code != commander.Done {
		os.Exit(int(code))
	}
}

// start starts an entry or a controller.
func start(entry bool, s platform.Settings, h hoster.Settings, o hoster.Observers) (stopper, error) {
	if entry {
		return hoster.StartEntry(h, platform.New(s, o.Log, o.Metrics), platform.NewFront, o)
	}
	return hoster.StartController(h, platform.New(s, o.Log, o.Metrics), o)
}

// address returns the VM's address with the given port, or an empty string if the port is 0.
func address(s platform.Settings, port int) string {
	if port == 0 {
		return ""
	}
	return net.JoinHostPort(s.IP, strconv.Itoa(port))
}

// recheckSettings validates changed settings and logs the result. They take effect when the process is restarted.
func recheckSettings(path string, log *logger.Logger) {
	if _, problems := platform.Load(path); len(problems) > 0 {
		log.Emit(logger.SettingsInvalid, "faults", fmt.Sprint(problems))
		return
	}
	log.Emit(logger.SettingsReloaded)
}

// load reads the settings. It prints their problems and exits if there are any.
func load(path string) platform.Settings {
	settings, problems := platform.Load(path)
	for _, problem := range problems {
		fmt.Fprintln(os.Stderr, "mimosalb-node:", problem)
	}
	if len(problems) > 0 {
		os.Exit(exitSettings)
	}
	return settings
}

// exitOnUsage prints the error of a wrong command line and exits if there is one. The parser's own exit code is 1, which stands for findings
// of a check.
func exitOnUsage(err error) {
	if err != nil {
		fmt.Fprintf(os.Stderr, "mimosalb-node: %v; see mimosalb-node --help\n", err)
		os.Exit(exitSettings)
	}
}

// exitOnError prints err and exits if it is not nil.
func exitOnError(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, "mimosalb-node:", err)
		os.Exit(exitFailed)
	}
}
