// Package jobpeer forwards submissions and reads of batch jobs to the processes that lead them, and serves the store
// changes that one process reads on behalf of others, over net/rpc.
package jobpeer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/rpccodec"
	"github.com/mimosalb/mimosalb/internal/attributor"
	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/limiter"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/relayer"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Query asks for the results of a job, starting at position After.
type Query struct {
	Job   identifier.Job
	After int
	Wait  time.Duration
}

// Reply holds results of a job. Led is false if the process does not lead the job.
type Reply struct {
	Led     bool
	Results []batcher.Result
}

// Handler handles calls for the jobs that a process leads.
type Handler interface {
	// LocalResults returns the results of a job from position after on. The second result is false if the process does
	// not lead the job.
	LocalResults(ctx context.Context, id identifier.Job, after int, wait time.Duration) ([]batcher.Result, bool)
	// AcceptForwarded accepts a job that was submitted to another process.
	AcceptForwarded(ctx context.Context, s batcher.Spec) conductor.Acceptance
	// KnownRecord returns the record of a job as this process knows it.
	KnownRecord(id identifier.Job) (recorder.Record, bool)
	// Refresh reads the record of a job from the store again, and reports whether that succeeded.
	Refresh(ctx context.Context, id identifier.Job) bool
}

// FindReply holds the record of a job. Found is false if the process does not know the job.
type FindReply struct {
	Found  bool
	Record recorder.Record
}

// FeedQuery asks for the changes of the keys with a prefix after a revision.
type FeedQuery struct {
	Prefix string
	After  int64
	Wait   time.Duration
}

// FeedReply holds changes and the revision to pass as After in the next query.
type FeedReply struct {
	Changes  []storer.Change
	Revision int64
	Outcome  storer.Outcome
}

// Feeds is the net/rpc receiver that serves store changes.
type Feeds struct {
	buffers map[string]*storer.ChangeBuffer // by key prefix
}

// Changes answers a FeedQuery; the outcome is Unavailable if this process does not buffer the prefix.
func (f *Feeds) Changes(q FeedQuery, reply *FeedReply) error {
	reply.Outcome = storer.Unavailable
	if buffer := f.buffers[q.Prefix]; buffer != nil {
		reply.Changes, reply.Revision, reply.Outcome = buffer.Changes(context.Background(), q.After, min(q.Wait, maxWait))
	}
	return nil
}

// Jobs is the net/rpc receiver that passes calls for jobs to a Handler.
type Jobs struct {
	handler Handler
}

// Results answers a Query.
func (j *Jobs) Results(q Query, reply *Reply) error {
	reply.Results, reply.Led = j.handler.LocalResults(context.Background(), q.Job, q.After, min(q.Wait, maxWait))
	return nil
}

// Submit accepts a job that was submitted to another process.
func (j *Jobs) Submit(s batcher.Spec, accepted *conductor.Acceptance) error {
	*accepted = j.handler.AcceptForwarded(context.Background(), s)
	return nil
}

// Find returns the record of a job as this process knows it.
func (j *Jobs) Find(id identifier.Job, reply *FindReply) error {
	reply.Record, reply.Found = j.handler.KnownRecord(id)
	return nil
}

// Notify reads the record of a job from the store again, because another process has changed it. The reply says whether that
// succeeded.
func (j *Jobs) Notify(id identifier.Job, refreshed *bool) error {
	*refreshed = j.handler.Refresh(context.Background(), id)
	return nil
}

// Crashes is the net/rpc receiver that takes in what other processes observed of requests that crash targets.
type Crashes struct {
	isolator *isolator.Isolator
	clock    timer.Service
}

// Inform adds evidence of another process.
func (c *Crashes) Inform(e isolator.Evidence, received *bool) error {
	c.isolator.Merge(e, c.clock.Now())
	*received = true
	return nil
}

// Allotter allots permits for the limited targets that a process is responsible for.
type Allotter interface {
	// AllotToPeer answers an ask of another process. The second result is false if this one is not responsible.
	AllotToPeer(q limiter.Ask) (limiter.Grant, bool)
}

// AllotReply holds the answer to an ask. Responsible is false if the process does not allot permits for that target.
type AllotReply struct {
	Responsible bool
	Grant       limiter.Grant
}

// Limits is the net/rpc receiver that allots permits for limited targets, and takes in which targets are limited.
type Limits struct {
	allotter Allotter
	limiter  *limiter.Limiter
}

// Notify takes in what answers to another process showed.
func (l *Limits) Notify(n limiter.Notices, received *bool) error {
	l.limiter.Apply(n)
	*received = true
	return nil
}

// Allot answers an ask.
func (l *Limits) Allot(q limiter.Ask, reply *AllotReply) error {
	reply.Grant, reply.Responsible = l.allotter.AllotToPeer(q)
	return nil
}

// Services are what a process does for others. The zero value does nothing.
type Services struct {
	Jobs Handler
	// Buffers holds, by key prefix, the changes that other processes may read here.
	Buffers map[string]*storer.ChangeBuffer
	// Isolator takes in evidence of crashes. It needs Clock.
	Isolator *isolator.Isolator
	Clock    timer.Service
	// Allotter allots permits for limited targets, and Limiter takes in which these are.
	Allotter Allotter
	Limiter  *limiter.Limiter
	// Departures takes in which targets leave, Usage what other processes have at them.
	Departures Departures
	Usage      UsageTaker
	// Placements takes in what other leading entries have in flight.
	Placements PlacementReceiver
	// Attributor keeps the origins of streams. It needs Clock.
	Attributor *attributor.Attributor
	// Relays makes calls to the key-value service for processes that do not reach it.
	Relays *relayer.Executor
}

// receivers returns the net/rpc receivers of the services that there are.
func (s Services) receivers() []any {
	all := []any{&Feeds{buffers: s.Buffers}}
	if s.Jobs != nil {
		all = append(all, jobReceivers(s.Jobs)...)
	}
	if s.Isolator != nil {
		all = append(all, &Crashes{isolator: s.Isolator, clock: s.Clock})
	}
	if s.Allotter != nil {
		all = append(all, &Limits{allotter: s.Allotter, limiter: s.Limiter})
	}
	if s.Departures != nil {
		all = append(all, &Targets{departures: s.Departures})
	}
	if s.Placements != nil {
		all = append(all, &Placements{receiver: s.Placements})
	}
	if s.Usage != nil {
		all = append(all, &Usage{taker: s.Usage})
	}
	if s.Attributor != nil {
		all = append(all, &Origins{attributor: s.Attributor, clock: s.Clock})
	}
	if s.Relays != nil {
		all = append(all, &Relays{executor: s.Relays})
	}
	return all
}

// Serve answers calls on l until l is closed.
func Serve(l net.Listener, s Services) error {
	server := rpc.NewServer()
	for _, receiver := range s.receivers() {
		if err := server.Register(receiver); err != nil {
			return fmt.Errorf("register receiver: %w", err)
		}
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return nil //nolint:nilerr // the listener was closed
		}
		go server.ServeCodec(rpccodec.New(conn, rpccodec.DefaultInFlight))
	}
}

// Dial opens a connection to address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Client calls other processes. It keeps one connection to each.
type Client struct {
	dial  Dial
	clock timer.Service
	log   *logger.Logger
	conns container.Table[container.Connection, string, *rpc.Client]
}

// NewClient returns a Client that opens connections with dial.
func NewClient(dial Dial, clock timer.Service, log *logger.Logger) *Client {
	return &Client{dial: dial, clock: clock, log: log}
}

// Results returns the results of a job from the process at address. The second result is false if the call failed or
// the process does not lead the job.
func (c *Client) Results(ctx context.Context, address string, id identifier.Job, after int, wait time.Duration) ([]batcher.Result, bool) {
	var reply Reply
	if !c.call(ctx, address, "Jobs.Results", Query{Job: id, After: after, Wait: wait}, &reply, wait+replyMargin) {
		return nil, false
	}
	return reply.Results, reply.Led
}

// Changes returns the changes that the process at address has read, and the revision for the next call.
func (c *Client) Changes(ctx context.Context, address, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, storer.Outcome) {
	var reply FeedReply
	if !c.call(ctx, address, "Feeds.Changes", FeedQuery{Prefix: prefix, After: after, Wait: wait}, &reply, wait+replyMargin) {
		return nil, 0, storer.Unavailable
	}
	return reply.Changes, reply.Revision, reply.Outcome
}

// Submit submits a job to the process at address. The second result is false if the call failed.
func (c *Client) Submit(ctx context.Context, address string, s batcher.Spec) (conductor.Acceptance, bool) {
	var accepted conductor.Acceptance
	replied := c.call(ctx, address, "Jobs.Submit", s, &accepted, submitTimeout)
	return accepted, replied
}

// Find returns the record of a job as the process at address knows it. The second result is false if the call failed or the
// process does not know the job.
func (c *Client) Find(ctx context.Context, address string, id identifier.Job) (recorder.Record, bool) {
	var reply FindReply
	if !c.call(ctx, address, "Jobs.Find", id, &reply, findTimeout) {
		return recorder.Record{}, false
	}
	return reply.Record, reply.Found
}

// findTimeout limits the search for a job at one process. A process that is cut off refuses its caller after that time.
const findTimeout = 150 * time.Millisecond

// submitTimeout limits a submission. A process that takes longer is frozen or has lost the store.
const submitTimeout = 600 * time.Millisecond

// Notify makes the process at address read the record of a job again, and reports whether it has done so.
func (c *Client) Notify(ctx context.Context, address string, id identifier.Job) bool {
	var refreshed bool
	return c.call(ctx, address, "Jobs.Notify", id, &refreshed, notifyTimeout) && refreshed
}

// notifyTimeout limits a notification. The process that receives it reads the store before it replies.
const notifyTimeout = time.Second

// Inform sends evidence of crashes to the process at address, and reports whether that process received it.
func (c *Client) Inform(ctx context.Context, address string, e isolator.Evidence) bool {
	var received bool
	return c.call(ctx, address, "Crashes.Inform", e, &received, informTimeout) && received
}

// informTimeout limits the delivery of evidence, which the receiver only adds to its own.
const informTimeout = 500 * time.Millisecond

// Allot asks the process at address for a permit. The second result is false if the call failed or the process is not
// responsible for the target.
func (c *Client) Allot(ctx context.Context, address string, q limiter.Ask) (limiter.Grant, bool) {
	var reply AllotReply
	replied := c.call(ctx, address, "Limits.Allot", q, &reply, allotTimeout)
	return reply.Grant, replied && reply.Responsible
}

// NotifyLimits tells the process at address which targets are limited, and reports whether that process received it.
func (c *Client) NotifyLimits(ctx context.Context, address string, n limiter.Notices) bool {
	var received bool
	return c.call(ctx, address, "Limits.Notify", n, &received, informTimeout) && received
}

// allotTimeout limits an ask for a permit, which the receiver answers at once.
const allotTimeout = 300 * time.Millisecond

// call makes one call within timeout. A kept connection may belong to a process that has since been restarted, so a
// call that fails on it is repeated once on a new connection. Calls are idempotent, so the repeat does no harm.
func (c *Client) call(ctx context.Context, address, method string, args, reply any, timeout time.Duration) bool {
	ctx, cancel := timer.WithTimeout(ctx, c.clock, timeout)
	defer cancel()
	_, kept := c.conns.Get(address)
	err := c.callOnce(ctx, address, method, args, reply)
	if err != nil && kept && ctx.Err() == nil {
		err = c.callOnce(ctx, address, method, args, reply)
	}
	if err != nil {
		c.log.Emit(logger.PeerFailed, "address", address, "call", method, "error", err)
	}
	return err == nil
}
