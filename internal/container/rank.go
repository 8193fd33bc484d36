package container

// Rank orders locks. A goroutine takes locks in ascending rank only, which rules out lock cycles.
type Rank int

// Ranks of the aggregates' locks. docs/design.md lists the same order.
const (
	RankConfigurator  Rank = 10
	RankNavigator     Rank = 15
	RankAuthenticator Rank = 20
	RankTracker       Rank = 30
	RankDistributor   Rank = 40
	RankLeaser        Rank = 50
	RankAdmitter      Rank = 60
	RankScheduler     Rank = 70
	RankRouter        Rank = 80
	RankEstimator     Rank = 85
	RankRationer      Rank = 86
	RankAnnouncer     Rank = 87
	RankRetrier       Rank = 90
	RankClaimer       Rank = 95
	RankIsolator      Rank = 100
	RankLimiter       Rank = 105
	RankGatekeeper    Rank = 110
	RankStreamer      Rank = 120
	RankRegistrar     Rank = 115
	RankEvacuator     Rank = 116
	RankDepartures    Rank = 117
	RankAttributor    Rank = 118
	RankConductor     Rank = 125
	RankCollector     Rank = 130
	RankBatcher       Rank = 135
	RankUpdater       Rank = 140
	RankOrderer       Rank = 150
	RankMeter         Rank = 160
	RankTallier       Rank = 165
	RankReporter      Rank = 170
	RankStorer        Rank = 175
	RankGuarder       Rank = 185
	RankConnection    Rank = 180
	RankTimer         Rank = 190
	RankLogger        Rank = 200
)

// Ranked is a type parameter that determines the rank of a lock, so that the zero value of a lock has its rank.
type Ranked interface {
	Rank() Rank
}

type (
	// Configurator ranks the lock of the configuration.
	Configurator struct{}
	// Authenticator ranks the lock of the key table.
	Authenticator struct{}
	// Tracker ranks the lock of the membership table.
	Tracker struct{}
	// Distributor ranks the lock of the relay state.
	Distributor struct{}
	// Navigator ranks the lock of the plan of routes.
	Navigator struct{}
	// Registrar ranks the lock of the registered targets.
	Registrar struct{}
	// Evacuator ranks the lock of the orders to evacuate availability zones.
	Evacuator struct{}
	// Departures ranks the lock of the targets that leave.
	Departures struct{}
	// Attributor ranks the lock of the origins of streams.
	Attributor struct{}
	// Conductor ranks the lock of the batch jobs that a process leads.
	Conductor struct{}
	// Batcher ranks the lock of one batch job.
	Batcher struct{}
	// Tallier ranks the lock of the request counts.
	Tallier struct{}
	// Leaser ranks the lock of the terms of duties.
	Leaser struct{}
	// Admitter ranks the locks of the rate and concurrency limits.
	Admitter struct{}
	// Scheduler ranks the lock of the fair queue.
	Scheduler struct{}
	// Router ranks the lock of the target view and the load counts.
	Router struct{}
	// Estimator ranks the lock of the observed work.
	Estimator struct{}
	// Announcer ranks the lock of what leading entries tell each other.
	Announcer struct{}
	// Rationer ranks the lock of the requests that entries admitted.
	Rationer struct{}
	// Retrier ranks the locks of the retry budget and the latency statistics.
	Retrier struct{}
	// Claimer ranks the lock of the claims.
	Claimer struct{}
	// Isolator ranks the locks of the crash records.
	Isolator struct{}
	// Limiter ranks the locks of the rates that targets name.
	Limiter struct{}
	// Gatekeeper ranks the lock of the attempts that an agent admitted.
	Gatekeeper struct{}
	// Streamer ranks the lock of one stream.
	Streamer struct{}
	// Collector ranks the lock of one training run.
	Collector struct{}
	// Updater ranks the locks of a weight roll-out.
	Updater struct{}
	// Orderer ranks the lock of the open orders.
	Orderer struct{}
	// Meter ranks the lock of the usage counts.
	Meter struct{}
	// Reporter ranks the lock of the usage windows.
	Reporter struct{}
	// Storer ranks the locks of the budget and the back-off of calls to the key-value service.
	Storer struct{}
	// Guarder ranks the lock of what clients make a process hold.
	Guarder struct{}
	// Connection ranks the lock of a connection table.
	Connection struct{}
	// Timer ranks the lock of the timer service.
	Timer struct{}
	// Logger is the highest rank. The logger itself takes no ranked lock; the clock for tests uses the rank.
	Logger struct{}
)

// Rank returns RankConfigurator.
func (Configurator) Rank() Rank { return RankConfigurator }

// Rank returns RankAuthenticator.
func (Authenticator) Rank() Rank { return RankAuthenticator }

// Rank returns RankTracker.
func (Tracker) Rank() Rank { return RankTracker }

// Rank returns RankDistributor.
func (Distributor) Rank() Rank { return RankDistributor }

// Rank returns RankLeaser.
func (Leaser) Rank() Rank { return RankLeaser }

// Rank returns RankAdmitter.
func (Admitter) Rank() Rank { return RankAdmitter }

// Rank returns RankScheduler.
func (Scheduler) Rank() Rank { return RankScheduler }

// Rank returns RankRouter.
func (Router) Rank() Rank { return RankRouter }

// Rank returns RankEstimator.
func (Estimator) Rank() Rank { return RankEstimator }

// Rank returns RankAnnouncer.
func (Announcer) Rank() Rank { return RankAnnouncer }

// Rank returns RankRationer.
func (Rationer) Rank() Rank { return RankRationer }

// Rank returns RankRetrier.
func (Retrier) Rank() Rank { return RankRetrier }

// Rank returns RankClaimer.
func (Claimer) Rank() Rank { return RankClaimer }

// Rank returns RankIsolator.
func (Isolator) Rank() Rank { return RankIsolator }

// Rank returns RankLimiter.
func (Limiter) Rank() Rank { return RankLimiter }

// Rank returns RankGatekeeper.
func (Gatekeeper) Rank() Rank { return RankGatekeeper }

// Rank returns RankStreamer.
func (Streamer) Rank() Rank { return RankStreamer }

// Rank returns RankCollector.
func (Collector) Rank() Rank { return RankCollector }

// Rank returns RankUpdater.
func (Updater) Rank() Rank { return RankUpdater }

// Rank returns RankOrderer.
func (Orderer) Rank() Rank { return RankOrderer }

// Rank returns RankMeter.
func (Meter) Rank() Rank { return RankMeter }

// Rank returns RankReporter.
func (Reporter) Rank() Rank { return RankReporter }

// Rank returns RankStorer.
func (Storer) Rank() Rank { return RankStorer }

// Rank returns RankGuarder.
func (Guarder) Rank() Rank { return RankGuarder }

// Rank returns RankConnection.
func (Connection) Rank() Rank { return RankConnection }

// Rank returns RankTimer.
func (Timer) Rank() Rank { return RankTimer }

// Rank returns RankLogger.
func (Logger) Rank() Rank { return RankLogger }

// Rank returns RankNavigator.
func (Navigator) Rank() Rank { return RankNavigator }

// Rank returns RankRegistrar.
func (Registrar) Rank() Rank { return RankRegistrar }

// Rank returns RankEvacuator.
func (Evacuator) Rank() Rank { return RankEvacuator }

// Rank returns RankDepartures.
func (Departures) Rank() Rank { return RankDepartures }

// Rank returns RankAttributor.
func (Attributor) Rank() Rank { return RankAttributor }

// Rank returns RankConductor.
func (Conductor) Rank() Rank { return RankConductor }

// Rank returns RankBatcher.
func (Batcher) Rank() Rank { return RankBatcher }

// Rank returns RankTallier.
func (Tallier) Rank() Rank { return RankTallier }
