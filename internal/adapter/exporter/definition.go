// Package exporter defines and exports the Prometheus metrics of the processes. docs/metrics.md lists them.
package exporter

import (
	"slices"
	"strings"
)

// Kind is the type of a metric.
type Kind string

// Kinds of metrics.
const (
	Counter   Kind = "counter"
	Gauge     Kind = "gauge"
	Histogram Kind = "histogram"
)

// Definition describes one metric. Its name has the form mimosalb_<aggregate>_<what>_<unit>. It is immutable.
type Definition struct {
	Name   string
	Kind   Kind
	Labels string // names, separated by commas
	Help   string
}

// labels splits Labels into the label names.
func (d Definition) labels() []string {
	return strings.FieldsFunc(d.Labels, func(r rune) bool { return r == ',' || r == ' ' })
}

// Metrics of entries.
var (
	requests = Definition{
		"mimosalb_dispatcher_requests_total", Counter, "service, team, outcome",
		"Requests that ended, by outcome: answered, ran, not-run or unknown.",
	}
	requestAttempts = Definition{
		"mimosalb_dispatcher_attempts_total", Counter, "service",
		"Attempts of requests that ended.",
	}
	requestDuration = Definition{
		"mimosalb_dispatcher_request_seconds", Histogram, "service, team",
		"Time from leaving the queue to the end of a request.",
	}
	queueWait = Definition{
		"mimosalb_scheduler_wait_seconds", Histogram, "service, team",
		"Time that a request waited in the queue.",
	}
	waitingRequests = Definition{
		"mimosalb_scheduler_waiting_requests", Gauge, "",
		"Requests in the queue.",
	}
	adoptedRevision = Definition{
		"mimosalb_configurator_adopted_revision", Gauge, "",
		"Revision of the configuration in force at this process.",
	}
	listedTargets = Definition{
		"mimosalb_tracker_listed_targets", Gauge, "zone",
		"Targets that the VM list names.",
	}
	servingTargets = Definition{
		"mimosalb_tracker_serving_targets", Gauge, "zone",
		"Targets to which this entry gives new work.",
	}
	clientConnections = Definition{
		"mimosalb_rpcclient_open_connections", Gauge, "",
		"Open connections to other processes of the system.",
	}
	responses = Definition{
		"mimosalb_httpserver_responses_total", Counter, "listener, status",
		"HTTP responses of the callers' and operators' listeners.",
	}
)

// Metrics of agents.
var (
	targetAttempts = Definition{
		"mimosalb_executor_attempts_total", Counter, "service, end",
		"Attempts that ended on the target, by the way they ended.",
	}
	targetAttemptDuration = Definition{
		"mimosalb_executor_attempt_seconds", Histogram, "service",
		"Time of an attempt on the target.",
	}
	runningAttempts = Definition{
		"mimosalb_gatekeeper_running_attempts", Gauge, "",
		"Admitted attempts that have not ended.",
	}
	drainingState = Definition{
		"mimosalb_gatekeeper_draining_state", Gauge, "",
		"1 while the agent takes no new attempts, else 0.",
	}
	serverConnections = Definition{
		"mimosalb_rpcserver_open_connections", Gauge, "",
		"Open connections from other processes of the system.",
	}
)

// Metrics of processes that run on the users' own platform.
var (
	forwardedRequests = Definition{
		"mimosalb_forwarder_requests_total", Counter, "kind, outcome, reason",
		"Requests that ended, by the kind of their route, their outcome and why they have not run.",
	}
	forwardedDuration = Definition{
		"mimosalb_forwarder_request_seconds", Histogram, "kind, outcome",
		"Time of a request at the entry.",
	}
	itemAttempts = Definition{
		"mimosalb_conductor_attempts_total", Counter, "end",
		"Attempts of items of batch jobs that ended, by the way they ended.",
	}
	itemAttemptDuration = Definition{
		"mimosalb_conductor_attempt_seconds", Histogram, "end",
		"Time of an attempt of an item.",
	}
	ledJobs = Definition{
		"mimosalb_conductor_led_jobs", Gauge, "",
		"Batch jobs that this process leads or keeps for readers.",
	}
	lateJobs = Definition{
		"mimosalb_conductor_late_jobs", Gauge, "",
		"Batch jobs of this process with waiting items that can't be in time any more, or are left out because the slots are too few.",
	}
	dependencyCalls = Definition{
		"mimosalb_hoster_calls_total", Counter, "dependency, outcome",
		"Calls to the key-value service, the platform and other processes.",
	}
	dependencyCallDuration = Definition{
		"mimosalb_hoster_call_seconds", Histogram, "dependency",
		"Time of such a call; waiting watches are left out.",
	}
	invalidStatuses = Definition{
		"mimosalb_inspector_invalid_statuses_total", Counter, "dependency",
		"Answers of targets, the key-value service, the platform or the weight store whose status the protocol does not allow.",
	}
	planRevision = Definition{
		"mimosalb_navigator_plan_revision", Gauge, "",
		"Revision of the configuration in force at this process.",
	}
	droppedLogLines = Definition{
		"mimosalb_logger_dropped_lines", Gauge, "",
		"Log lines that were dropped because their reader was too slow.",
	}
	heldRequests = Definition{
		"mimosalb_isolator_held_requests", Gauge, "",
		"Requests that this process holds back because they crash targets.",
	}
	limitedTargets = Definition{
		"mimosalb_limiter_limited_targets", Gauge, "",
		"Targets that name a rate of requests to this process.",
	}
	coldTargets = Definition{
		"mimosalb_limiter_cold_targets", Gauge, "",
		"Targets that are cold to this process.",
	}
	unusableListings = Definition{
		"mimosalb_registrar_unusable_listings", Gauge, "",
		"Entries among the listings of targets that name no target to use.",
	}
	evacuatedZones = Definition{
		"mimosalb_evacuator_evacuated_zones", Gauge, "",
		"Availability zones to whose targets this process sends nothing because an operator evacuated them.",
	}
	unknownZones = Definition{
		"mimosalb_evacuator_unknown_zones", Gauge, "",
		"Orders to evacuate a zone that the deployment does not have; they change nothing.",
	}
	strandedServices = Definition{
		"mimosalb_evacuator_stranded_services", Gauge, "",
		"Services all of whose targets are in evacuated zones; their requests are refused.",
	}
	unservedRestrictions = Definition{
		"mimosalb_confiner_unserved_restrictions", Gauge, "",
		"Regions of services, and of teams for a service, in which no target of the service is listed; the requests are refused.",
	}
	relayedCalls = Definition{
		"mimosalb_relayer_calls_total", Counter, "role, outcome",
		"Calls to the key-value service that another process was asked to make, or that this one executed for another.",
	}
	relayingState = Definition{
		"mimosalb_relayer_relaying_state", Gauge, "",
		"1 while calls to the key-value service go through another process, else 0.",
	}
	estimatorKinds = Definition{
		"mimosalb_estimator_known_kinds", Gauge, "",
		"Kinds of attempts of which this process has observed the work.",
	}
	estimatorDeviation = Definition{
		"mimosalb_estimator_deviation_ratio", Gauge, "",
		"Mean error of the latest predictions of the work of attempts, as a share of the actual work.",
	}
	omittedLogLines = Definition{
		"mimosalb_logger_omitted_lines", Gauge, "",
		"Log lines of requests that went as they should and were left out under load.",
	}
)

// Metrics of what a process holds for clients.
var (
	guardedConnections = Definition{
		"mimosalb_guarder_open_connections", Gauge, "",
		"Open connections of clients, on all listeners of the process.",
	}
	guardedBytes = Definition{
		"mimosalb_guarder_held_bytes", Gauge, "",
		"Memory held for heads, small bodies and answers that clients have not read, beyond that of their connections.",
	}
	cutConnections = Definition{
		"mimosalb_guarder_cut_connections", Gauge, "",
		"Connections that were closed because they made no progress, since the process started.",
	}
	refusedClients = Definition{
		"mimosalb_guarder_refused_clients", Gauge, "",
		"Connections and requests that found no room, since the process started.",
	}
)

// Definitions returns the definitions of all metrics, sorted by name.
func Definitions() []Definition {
	all := []Definition{
		requests, requestAttempts, requestDuration, queueWait, waitingRequests, adoptedRevision,
		listedTargets, servingTargets, clientConnections, responses,
		targetAttempts, targetAttemptDuration, runningAttempts, drainingState, serverConnections,
		forwardedRequests, forwardedDuration, itemAttempts, itemAttemptDuration, ledJobs, lateJobs,
		dependencyCalls, dependencyCallDuration, planRevision, droppedLogLines, omittedLogLines, heldRequests, limitedTargets, coldTargets,
		unusableListings, invalidStatuses, evacuatedZones, unknownZones, strandedServices, unservedRestrictions,
		relayedCalls, relayingState, estimatorKinds, estimatorDeviation,
		guardedConnections, guardedBytes, cutConnections, refusedClients,
	}
	slices.SortFunc(all, func(a, b Definition) int { return strings.Compare(a.Name, b.Name) })
	return all
}
