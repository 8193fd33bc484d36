// Package jobpeer carries submissions and reads of batch jobs between the processes that lead them, and the changes that
// one of them reads for others, over net/rpc.
package jobpeer

import (
	"context"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/conductor"
	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// slack is the time that an answer may take besides the wait that was asked for.
	slack = 400 * time.Millisecond
	// longestWait bounds how long a read may hold a call open.
	longestWait = 5 * time.Second
)

// Query asks for the results of a job from a position on.
type Query struct {
	Job   identifier.Job
	After int
	Wait  time.Duration
}

// Reply holds readable results. Led is false if the process does not lead the job.
type Reply struct {
	Led     bool
	Results []batcher.Result
}

// Handler reads the jobs that a process leads.
type Handler interface {
	LocalResults(ctx context.Context, id identifier.Job, after int, wait time.Duration) ([]batcher.Result, bool)
	// AcceptForwarded accepts a job that another process got.
	AcceptForwarded(ctx context.Context, s batcher.Spec) conductor.Acceptance
	// Refresh reads the record of a job again.
	Refresh(ctx context.Context, id identifier.Job)
}

// FeedQuery asks for the changes of keys below a prefix after a revision.
type FeedQuery struct {
	Prefix string
	After  int64
	Wait   time.Duration
}

// FeedReply holds changes and the revision to go on from.
type FeedReply struct {
	Changes  []storer.Change
	Revision int64
	Outcome  storer.Outcome
}

// Feeds is the receiver of the calls for changes.
type Feeds struct {
	relays map[string]*storer.ChangeBuffer
}

// Changes answers a query.
func (f *Feeds) Changes(q FeedQuery, reply *FeedReply) error {
	reply.Outcome = storer.Unavailable
	if relay := f.relays[q.Prefix]; relay != nil {
		reply.Changes, reply.Revision, reply.Outcome = relay.Changes(context.Background(), q.After, min(q.Wait, longestWait))
	}
	return nil
}

// Jobs is the receiver of the calls.
type Jobs struct {
	reader Handler
}

// Results answers a query.
func (j *Jobs) Results(q Query, reply *Reply) error {
	reply.Results, reply.Led = j.reader.LocalResults(context.Background(), q.Job, q.After, min(q.Wait, longestWait))
	return nil
}

// Submit accepts a job.
func (j *Jobs) Submit(s batcher.Spec, accepted *conductor.Acceptance) error {
	*accepted = j.reader.AcceptForwarded(context.Background(), s)
	return nil
}

// Notify takes over that the record of a job has changed.
func (j *Jobs) Notify(id identifier.Job, told *bool) error {
	*told = true
	j.reader.Refresh(context.Background(), id)
	return nil
}

// Serve answers queries on a listener until it is closed. The relays are those of prefixes that others may read here.
func Serve(l net.Listener, r Handler, relays map[string]*storer.ChangeBuffer) error {
	server := rpc.NewServer()
	for _, receiver := range []any{&Jobs{reader: r}, &Feeds{relays: relays}} {
		if err := server.Register(receiver); err != nil {
			return fmt.Errorf("register receiver: %w", err)
		}
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return nil //nolint:nilerr // the listener was closed
		}
		go server.ServeConn(conn)
	}
}

// Dial opens a connection.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Client asks other processes. One connection to each is kept.
type Client struct {
	dial  Dial
	clock timer.Service
	log   *logger.Logger
	conns container.Table[container.Connection, string, *rpc.Client]
}

// NewClient returns a Client that opens connections by dial.
func NewClient(dial Dial, clock timer.Service, log *logger.Logger) *Client {
	return &Client{dial: dial, clock: clock, log: log}
}

// Results asks the process at an address for the results of a job that it leads.
func (c *Client) Results(ctx context.Context, address string, id identifier.Job, after int, wait time.Duration) ([]batcher.Result, bool) {
	var reply Reply
	if !c.call(ctx, address, "Jobs.Results", Query{Job: id, After: after, Wait: wait}, &reply, wait+slack) {
		return nil, false
	}
	return reply.Results, reply.Led
}

// Changes asks the process at an address for the changes that it has read.
func (c *Client) Changes(ctx context.Context, address, prefix string, after int64, wait time.Duration) ([]storer.Change, int64, storer.Outcome) {
	var reply FeedReply
	if !c.call(ctx, address, "Feeds.Changes", FeedQuery{Prefix: prefix, After: after, Wait: wait}, &reply, wait+slack) {
		return nil, 0, storer.Unavailable
	}
	return reply.Changes, reply.Revision, reply.Outcome
}

// Submit lets the process at an address accept a job.
func (c *Client) Submit(ctx context.Context, address string, s batcher.Spec) (conductor.Acceptance, bool) {
	var accepted conductor.Acceptance
	known := c.call(ctx, address, "Jobs.Submit", s, &accepted, submitTime)
	return accepted, known
}

// submitTime bounds a submission. A process that takes longer is frozen or has lost the store.
const submitTime = 600 * time.Millisecond

// Notify tells the process at an address that the record of a job has changed.
func (c *Client) Notify(ctx context.Context, address string, id identifier.Job) bool {
	var told bool
	return c.call(ctx, address, "Jobs.Notify", id, &told, notifyTime) && told
}

// notifyTime bounds a notice. The process that gets it reads the store before it answers.
const notifyTime = time.Second

// call makes one call within a time. A kept connection may lead to an earlier start of the process; when the call fails
// on it, it is made once more on a new one. Calls change nothing, so that a repeat does no harm.
func (c *Client) call(ctx context.Context, address, method string, args, reply any, within time.Duration) bool {
	ctx, cancel := timer.WithTimeout(ctx, c.clock, within)
	defer cancel()
	_, kept := c.conns.Get(address)
	err := c.try(ctx, address, method, args, reply)
	if err != nil && kept && ctx.Err() == nil {
		err = c.try(ctx, address, method, args, reply)
	}
	if err != nil {
		c.log.Emit(logger.PeerFailed, "address", address, "call", method, "error", err)
	}
	return err == nil
}

// try makes one call on the connection to an address.
func (c *Client) try(ctx context.Context, address, method string, args, reply any) error {
	conn, err := c.conn(ctx, address)
	if err != nil {
		return err
	}
	call := conn.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		err = call.Error
	case <-ctx.Done():
		err = context.Cause(ctx)
	}
	if err != nil {
		c.drop(address, conn)
	}
	return err
}

func (c *Client) conn(ctx context.Context, address string) (*rpc.Client, error) {
	if conn, ok := c.conns.Get(address); ok {
		return conn, nil
	}
	raw, err := c.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	conn := rpc.NewClient(raw)
	kept, added := c.conns.PutAbsent(address, conn)
	if !added {
		_ = conn.Close() // another call was first
	}
	return kept, nil
}

// drop closes a connection that failed or is silent; other calls on it fail and are answered from the store.
func (c *Client) drop(address string, conn *rpc.Client) {
	c.conns.Update(address, func(old *rpc.Client, ok bool) (*rpc.Client, bool) { return old, ok && old != conn })
	_ = conn.Close() // it is of no more use
}
