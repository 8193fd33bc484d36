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

	PeersPlain = Event{
		Number: 1004, Level: hclog.Warn, Text: "connections between own processes are not encrypted",
		Action: "set tls.certificate, tls.key and tls.authority unless all processes are on loopback",
	}
	CertificateReloaded   = Event{Number: 1005, Level: hclog.Info, Text: "certificate files reloaded", Action: "none"}
	CertificateUnreadable = Event{
		Number: 1006, Level: hclog.Error, Text: "certificate files do not fit together",
		Action: "replace certificate, key and authority together; the last good ones stay in use",
	}
	PeerRefused = Event{
		Number: 1007, Level: hclog.Error, Text: "peer has a certificate of another authority",
		Action: "give the peer a certificate of the deployment's authority, or find out who connects",
	}

	HandlerPanicked = Event{
		Number: 1008, Level: hclog.Error, Text: "handler panicked",
		Action: "report the stack as a fault of mimosalb; the process goes on",
	}

	ConfigAdopted   = Event{Number: 1101, Level: hclog.Info, Text: "configuration adopted", Action: "none"}
	DocumentRefused = Event{
		Number: 1102, Level: hclog.Error, Text: "relayed document refused",
		Action: "compare the versions of the programs; the present one stays in force",
	}
	CopyUnusable = Event{
		Number: 1103, Level: hclog.Warn, Text: "saved copy not usable", Action: "check the data folder; the node asks its peers",
	}
	RootBegan = Event{Number: 1104, Level: hclog.Info, Text: "term of the root began", Action: "none"}
	RootEnded = Event{Number: 1105, Level: hclog.Info, Text: "term of the root ended", Action: "none"}
	KeysStale = Event{
		Number: 1106, Level: hclog.Error, Text: "keys not used: no proof of freshness within keygrace",
		Action: "restore the key-value service or the way to it",
	}
	KeysFresh = Event{Number: 1107, Level: hclog.Info, Text: "keys used again", Action: "none"}

	ListUnavailable = Event{
		Number: 1301, Level: hclog.Warn, Text: "VM list unavailable", Action: "check the platform; the last list stays in use",
	}
	TargetSilent = Event{
		Number: 1302, Level: hclog.Warn, Text: "agent does not answer", Action: "check the target's VM if it lasts",
	}
	TargetNotDrained = Event{
		Number: 1601, Level: hclog.Warn, Text: "target does not drain", Action: "find out what runs on it; it is not stopped before it is idle",
	}
	TargetNotStarted = Event{
		Number: 1602, Level: hclog.Warn, Text: "target did not start or died", Action: "check the platform; another one is ordered if needed",
	}
	OrderRefused = Event{
		Number: 1603, Level: hclog.Warn, Text: "order refused by the platform", Action: "check the limits of the availability zone",
	}
	OrdersHeld = Event{
		Number: 1604, Level: hclog.Warn, Text: "orders held back", Action: "check the key-value service and the platform if it lasts",
	}

	MeterDeposed = Event{
		Number: 1701, Level: hclog.Error, Text: "usage records taken over by another entry", Action: "restart the entry; what it counts is taken over",
	}
	ReportDelayed = Event{
		Number: 1702, Level: hclog.Warn, Text: "usage report delayed", Action: "check the key-value service and the usage intake if it lasts",
	}

	TargetServing = Event{Number: 1303, Level: hclog.Info, Text: "agent answers", Action: "none"}
	ParentSilent  = Event{
		Number: 1311, Level: hclog.Warn, Text: "relay does not answer", Action: "check the VM of the relay if it lasts; the node asks another",
	}

	RequestHeld = Event{
		Number: 1401, Level: hclog.Warn, Text: "request held back after crashes", Action: "ask the team for the request; check the engine's log",
	}
)

// Events returns every event in order of its number.
func Events() []Event {
	return []Event{
		ProcessStarted, ProcessStopped, DrainStarted, PeersPlain, CertificateReloaded, CertificateUnreadable, PeerRefused,
		HandlerPanicked, ConfigAdopted, DocumentRefused, CopyUnusable, RootBegan, RootEnded, KeysStale, KeysFresh,
		ListUnavailable, TargetSilent, TargetServing, ParentSilent, RequestHeld,
		TargetNotDrained, TargetNotStarted, OrderRefused, OrdersHeld, MeterDeposed, ReportDelayed,
	}
}
