package logger

import "github.com/hashicorp/go-hclog"

// Event is one kind of log line.
type Event struct {
	Number int
	Level  hclog.Level
	Text   string
	// Action says what an operator does about it.
	Action string
}

// The events. 10xx is the life of a process, 11xx configuration and keys, 12xx leases and the key-value service, 13xx
// membership and connections, 14xx requests, 15xx rollouts and weights, 16xx targets, 17xx usage.
var (
	ProcessStarted = Event{Number: 1001, Level: hclog.Info, Text: "process started", Action: "none"}
	ProcessStopped = Event{Number: 1002, Level: hclog.Info, Text: "process stopped", Action: "none"}
	DrainStarted   = Event{Number: 1003, Level: hclog.Info, Text: "drain started", Action: "none"}

	ConfigAdopted = Event{Number: 1101, Level: hclog.Info, Text: "configuration adopted", Action: "none"}

	ListUnavailable = Event{
		Number: 1301, Level: hclog.Warn, Text: "VM list unavailable", Action: "check the platform; the last list stays in use",
	}
	TargetSilent = Event{
		Number: 1302, Level: hclog.Warn, Text: "agent does not answer", Action: "check the target's VM if it lasts",
	}
	TargetServing = Event{Number: 1303, Level: hclog.Info, Text: "agent answers", Action: "none"}

	RequestHeld = Event{
		Number: 1401, Level: hclog.Warn, Text: "request held back after crashes", Action: "ask the team for the request; check the engine's log",
	}
)

// Events returns every event in order of its number.
func Events() []Event {
	return []Event{ProcessStarted, ProcessStopped, DrainStarted, ConfigAdopted, ListUnavailable, TargetSilent, TargetServing, RequestHeld}
}
