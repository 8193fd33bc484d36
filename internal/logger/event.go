package logger

import "github.com/hashicorp/go-hclog"

// Event is a kind of log line.
type Event struct {
	Number int
	Level  hclog.Level
	Text   string
	// Action is what an operator should do about it.
	Action string
}

// The events. 10xx is the start, stop and settings of a process, 11xx configuration and keys, 12xx leases and the
// key-value service, 13xx membership and connections, 14xx requests, 15xx rollouts and weights, 16xx targets, 17xx usage.
var (
	ProcessStarted = Event{Number: 1001, Level: hclog.Info, Text: "process started", Action: "none"}
	ProcessStopped = Event{Number: 1002, Level: hclog.Info, Text: "process stopped", Action: "none"}
	DrainStarted   = Event{Number: 1003, Level: hclog.Info, Text: "drain started", Action: "none"}

	PeersUnencrypted = Event{
		Number: 1004, Level: hclog.Warn, Text: "connections between own processes are not encrypted",
		Action: "set tls.certificate, tls.key and tls.authority unless all processes are on loopback",
	}
	CertificateReloaded   = Event{Number: 1005, Level: hclog.Info, Text: "certificate files reloaded", Action: "none"}
	CertificateUnreadable = Event{
		Number: 1006, Level: hclog.Error, Text: "certificate files unreadable or inconsistent",
		Action: "replace certificate, key and authority together; the last valid ones stay in use",
	}
	PeerRefused = Event{
		Number: 1007, Level: hclog.Error, Text: "peer has a certificate of another authority",
		Action: "give the peer a certificate of the deployment's authority, or find out who connects",
	}

	HandlerPanicked = Event{
		Number: 1008, Level: hclog.Error, Text: "handler panicked",
		Action: "report the stack as a bug in mimosalb; the process continues",
	}

	ConfigAdopted   = Event{Number: 1101, Level: hclog.Info, Text: "configuration adopted", Action: "none"}
	DocumentRefused = Event{
		Number: 1102, Level: hclog.Error, Text: "relayed document refused",
		Action: "compare the program versions; the current document stays in force",
	}
	CopyUnusable = Event{
		Number: 1103, Level: hclog.Warn, Text: "saved copy not written or not readable",
		Action: "check the data directory; without a copy the node asks its peers",
	}
	RootBegan = Event{Number: 1104, Level: hclog.Info, Text: "term of the root began", Action: "none"}
	RootEnded = Event{Number: 1105, Level: hclog.Info, Text: "term of the root ended", Action: "none"}
	KeysStale = Event{
		Number: 1106, Level: hclog.Error, Text: "keys not used: no proof of freshness within keygrace",
		Action: "restore the key-value service or the network path to it",
	}
	KeysFresh      = Event{Number: 1107, Level: hclog.Info, Text: "keys used again", Action: "none"}
	ConfigDoubtful = Event{
		Number: 1110, Level: hclog.Warn, Text: "configuration contradicts itself or has parts without effect",
		Action: "check the file that it came from (mimosactl check, mimosalb-node check); it is in force as it is",
	}

	ListUnavailable = Event{
		Number: 1301, Level: hclog.Warn, Text: "VM list unavailable", Action: "check the platform; the last list stays in use",
	}
	TargetSilent = Event{
		Number: 1302, Level: hclog.Warn, Text: "agent does not answer", Action: "check the target's VM if this persists",
	}
	TargetNotDrained = Event{
		Number: 1601, Level: hclog.Warn, Text: "target does not drain", Action: "find out what runs on it; it is not stopped before it is idle",
	}
	TargetNotStarted = Event{
		Number: 1602, Level: hclog.Warn, Text: "target did not start or failed", Action: "check the platform; another one is ordered if needed",
	}
	OrderRefused = Event{
		Number: 1603, Level: hclog.Warn, Text: "order refused by the platform", Action: "check the limits of the availability zone",
	}
	OrdersHeld = Event{
		Number: 1604, Level: hclog.Warn, Text: "orders held back", Action: "check the key-value service and the platform if this persists",
	}

	MeterTakenOver = Event{
		Number: 1701, Level: hclog.Error, Text: "usage records taken over by another entry",
		Action: "restart the entry; the usage that it counts is recovered from the agents",
	}
	ReportDelayed = Event{
		Number: 1702, Level: hclog.Warn, Text: "usage report delayed", Action: "check the key-value service and the usage intake if this persists",
	}

	TargetServing = Event{Number: 1303, Level: hclog.Info, Text: "agent answers", Action: "none"}
	ParentSilent  = Event{
		Number: 1311, Level: hclog.Warn, Text: "relay does not answer", Action: "check the VM of the relay if this persists; the node uses another relay",
	}

	ZoneEvacuated = Event{
		Number: 1320, Level: hclog.Warn, Text: "availability zone evacuated", Action: "none; its targets get no requests until the zone is taken back",
	}
	ZoneTakenBack = Event{Number: 1321, Level: hclog.Info, Text: "availability zone taken back", Action: "none; its targets get requests again"}
	ZoneUnknown   = Event{
		Number: 1322, Level: hclog.Error, Text: "order to evacuate an unknown availability zone",
		Action: "remove the order and write one for a zone of the deployment; this one changes nothing",
	}
	ServiceStranded = Event{
		Number: 1323, Level: hclog.Error, Text: "all targets of a service are in evacuated availability zones",
		Action: "take a zone back or start targets elsewhere; requests for the service are refused",
	}
	ServiceRegained = Event{
		Number: 1324, Level: hclog.Info, Text: "targets of a service outside the evacuated availability zones again", Action: "none",
	}

	RequestHeld = Event{
		Number: 1401, Level: hclog.Warn, Text: "request held back after crashes", Action: "ask the team for the request; check the engine's log",
	}

	RequestReleased = Event{
		Number: 1406, Level: hclog.Info, Text: "request no longer held back: its targets live or ended with others", Action: "none",
	}

	TargetLimited = Event{
		Number: 1605, Level: hclog.Warn, Text: "target names a rate of requests",
		Action: "find out what the target lacks; requests are limited until it names none",
	}
	TargetUnlimited = Event{Number: 1606, Level: hclog.Info, Text: "target no longer names a rate of requests", Action: "none"}
	RateUnreadable  = Event{
		Number: 1607, Level: hclog.Warn, Text: "rate that a target names makes no sense", Action: "check the target; what it named before stays in force",
	}

	TargetLeaving = Event{Number: 1608, Level: hclog.Info, Text: "target says that it leaves", Action: "none; it gets no more requests"}

	TargetCold = Event{
		Number: 1609, Level: hclog.Info, Text: "target is cold", Action: "none; requests are limited until it is warm",
	}

	LinesDropped = Event{
		Number: 1011, Level: hclog.Warn, Text: "log lines dropped", Action: "make the log reader faster; a metric counts the dropped lines",
	}
	ConnectionsCut = Event{
		Number: 1012, Level: hclog.Warn, Text: "connections closed at the end of the grace period",
		Action: "none if their callers were unreachable; otherwise lengthen the grace period",
	}
	ClientsCut = Event{
		Number: 1013, Level: hclog.Warn, Text: "connections of clients closed or refused for lack of room or progress",
		Action: "find out which clients hold connections, heads or bodies open; raise memory-mb if they are regular ones",
	}
	SettingsReloaded = Event{Number: 1009, Level: hclog.Info, Text: "settings read again", Action: "none"}
	SettingsInvalid  = Event{
		Number: 1010, Level: hclog.Error, Text: "settings invalid", Action: "correct the settings file; the last valid ones stay in use",
	}
	ConfigUnreadable = Event{
		Number: 1108, Level: hclog.Error, Text: "configuration not readable", Action: "check what the operator wrote; the last valid one stays in force",
	}
	StoreLost = Event{
		Number: 1201, Level: hclog.Warn, Text: "connection to the key-value service lost",
		Action: "check the service and the network path to it if this persists",
	}
	StoreRegained = Event{Number: 1202, Level: hclog.Info, Text: "connection to the key-value service restored", Action: "none"}
	StoreFailed   = Event{
		Number: 1203, Level: hclog.Warn, Text: "call to the key-value service failed", Action: "check the service if this persists",
	}
	DutyBegan          = Event{Number: 1204, Level: hclog.Info, Text: "term of a duty began", Action: "none"}
	DutyEnded          = Event{Number: 1205, Level: hclog.Info, Text: "term of a duty ended", Action: "none"}
	RegistrationLapsed = Event{Number: 1206, Level: hclog.Warn, Text: "registration lapsed", Action: "none; the process registers again"}
	RecordUnreadable   = Event{
		Number: 1207, Level: hclog.Error, Text: "stored value not readable", Action: "compare the program versions",
	}
	StoreRelayed = Event{
		Number: 1208, Level: hclog.Warn, Text: "calls to the key-value service go through another entry",
		Action: "check this machine's network path to the service",
	}
	StoreDirect       = Event{Number: 1209, Level: hclog.Info, Text: "calls to the key-value service go directly again", Action: "none"}
	TargetListed      = Event{Number: 1304, Level: hclog.Info, Text: "target listed", Action: "none"}
	TargetUnlisted    = Event{Number: 1305, Level: hclog.Info, Text: "target no longer listed", Action: "none"}
	ListingUnreadable = Event{
		Number: 1306, Level: hclog.Warn, Text: "listing not readable", Action: "find out who wrote it; it is ignored",
	}
	PeerChanged = Event{Number: 1307, Level: hclog.Info, Text: "process of the deployment joined or left", Action: "none"}
	PeerFailed  = Event{
		Number: 1308, Level: hclog.Warn, Text: "process of the deployment unreachable", Action: "check the VM of the process if this persists",
	}
	LeadersHeard    = Event{Number: 1309, Level: hclog.Debug, Text: "number of other leading entries with attempts in flight changed", Action: "none"}
	RequestAnswered = Event{Number: 1402, Level: hclog.Info, Text: "request answered by a target", Action: "none"}
	RequestRefused  = Event{
		Number: 1403, Level: hclog.Warn, Text: "request refused", Action: "see its fields reason and tries",
	}
	RequestFailed = Event{
		Number: 1404, Level: hclog.Warn, Text: "request ended without an answer", Action: "see its field tries",
	}
	AnswerUnusable = Event{
		Number: 1405, Level: hclog.Warn, Text: "answer of a target not usable", Action: "check the target if this persists",
	}
	ConnectionStale = Event{
		Number: 1407, Level: hclog.Info, Text: "call not sent, its kept connection was closed", Action: "none; it is sent on a new connection",
	}
	StatusInvalid = Event{
		Number: 1408, Level: hclog.Warn, Text: "answer with a status that the protocol does not allow",
		Action: "check the target or service that its fields name; the answer is not used",
	}
	OriginsUnsaved = Event{
		Number: 1410, Level: hclog.Warn, Text: "origins of streams not stored", Action: "check the key-value service if this persists",
	}
	JobSubmitted  = Event{Number: 1510, Level: hclog.Info, Text: "batch job submitted", Action: "none"}
	JobLeadBegan  = Event{Number: 1511, Level: hclog.Info, Text: "batch job led by this process", Action: "none"}
	JobLeadEnded  = Event{Number: 1512, Level: hclog.Info, Text: "batch job no longer led by this process", Action: "none"}
	JobAdopted    = Event{Number: 1513, Level: hclog.Info, Text: "batch job taken over", Action: "none"}
	JobHandedOver = Event{Number: 1514, Level: hclog.Info, Text: "batch job handed over", Action: "none"}
	JobEnded      = Event{Number: 1515, Level: hclog.Info, Text: "batch job ended", Action: "none"}
	JobErased     = Event{Number: 1516, Level: hclog.Info, Text: "batch job erased", Action: "none"}
	JobUnreadable = Event{
		Number: 1517, Level: hclog.Warn, Text: "batch job not readable now", Action: "check the key-value service if this persists",
	}
	ResultsHeld = Event{
		Number: 1518, Level: hclog.Warn, Text: "results not stored yet", Action: "check the key-value service if this persists",
	}
	JobRead       = Event{Number: 1519, Level: hclog.Info, Text: "batch job read", Action: "none"}
	ItemAttempted = Event{Number: 1520, Level: hclog.Info, Text: "attempt of an item ended", Action: "none"}
	ItemScored    = Event{Number: 1521, Level: hclog.Info, Text: "scoring call of an item ended", Action: "none"}
	TextsReused   = Event{Number: 1522, Level: hclog.Info, Text: "texts of an earlier job reused", Action: "none"}
	TextsUnsaved  = Event{
		Number: 1523, Level: hclog.Warn, Text: "texts of a batch job not saved", Action: "check the key-value service if this persists",
	}
	TextRestarted = Event{Number: 1524, Level: hclog.Info, Text: "text begun anew, no target continues it", Action: "none"}
	JobWaiting    = Event{
		Number: 1525, Level: hclog.Warn, Text: "batch job waits, no entry in its regions",
		Action: "start an entry in one of the regions that the event names; the job goes on there",
	}
	RegionsUnserved = Event{
		Number: 1109, Level: hclog.Error, Text: "allowed regions without a target",
		Action: "correct the allowed regions, or start targets of the service there; the requests are refused until then",
	}
	JobLedUnread          = Event{Number: 1527, Level: hclog.Info, Text: "batch job led before its record was read", Action: "none"}
	StandingChanged       = Event{Number: 1526, Level: hclog.Info, Text: "time left to a batch job compared with its work changed", Action: "none"}
	WantedVersionReceived = Event{Number: 1530, Level: hclog.Info, Text: "wanted weight version received", Action: "none"}
	LoadOrdered           = Event{Number: 1531, Level: hclog.Info, Text: "load of weights ordered", Action: "none"}
	LoadEnded             = Event{Number: 1532, Level: hclog.Info, Text: "load of weights ended or abandoned", Action: "none"}
	DiskVMReleased        = Event{Number: 1610, Level: hclog.Info, Text: "VM with a disk released", Action: "none"}
	UsageReported         = Event{Number: 1710, Level: hclog.Info, Text: "usage of a window reported", Action: "none"}
	CountsLost            = Event{
		Number: 1711, Level: hclog.Error, Text: "counts of a window not stored", Action: "check the key-value service; the window's report may be low",
	}
)

// Events returns all events, ordered by number.
func Events() []Event {
	return []Event{
		ProcessStarted, ProcessStopped, DrainStarted, PeersUnencrypted, CertificateReloaded,
		CertificateUnreadable, PeerRefused, HandlerPanicked, SettingsReloaded, SettingsInvalid, LinesDropped,
		ConnectionsCut, ClientsCut, ConfigAdopted, DocumentRefused, CopyUnusable, RootBegan, RootEnded, KeysStale,
		KeysFresh, ConfigUnreadable, RegionsUnserved, ConfigDoubtful, StoreLost, StoreRegained, StoreFailed, DutyBegan, DutyEnded,
		RegistrationLapsed, RecordUnreadable, StoreRelayed, StoreDirect, ListUnavailable, TargetSilent, TargetServing,
		TargetListed, TargetUnlisted, ListingUnreadable, PeerChanged, PeerFailed, LeadersHeard, ParentSilent,
		ZoneEvacuated, ZoneTakenBack, ZoneUnknown, ServiceStranded, ServiceRegained, RequestHeld, RequestAnswered,
		RequestRefused, RequestFailed, AnswerUnusable, RequestReleased, ConnectionStale, StatusInvalid, OriginsUnsaved,
		JobSubmitted, JobLeadBegan, JobLeadEnded, JobAdopted, JobHandedOver, JobEnded,
		JobErased, JobUnreadable, ResultsHeld, JobRead, ItemAttempted, ItemScored, TextsReused, TextsUnsaved,
		TextRestarted, JobWaiting, StandingChanged, JobLedUnread,
		WantedVersionReceived, LoadOrdered, LoadEnded, TargetNotDrained, TargetNotStarted, OrderRefused,
		OrdersHeld, TargetLimited, TargetUnlimited, RateUnreadable, TargetLeaving, TargetCold,
		DiskVMReleased, MeterTakenOver, ReportDelayed, UsageReported, CountsLost,
	}
}
