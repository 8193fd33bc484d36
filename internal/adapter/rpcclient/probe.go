package rpcclient

import (
	"errors"
	"net/rpc"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/messenger"
)

const (
	// probePeriod is the time between two probes of a busy connection.
	probePeriod = time.Second
	// missedProbes is how many periods a probe may go without a reply before its connection is closed.
	missedProbes = 2
)

// probe sends probes on the connections that have open calls, and closes those on which a probe gets no reply. An idle
// connection costs nothing; when it has gone silent meanwhile, its next call finds that out.
func (c *Client) probe() {
	tick := c.clock.Every(probePeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
		case <-c.stop:
			return
		}
		for _, l := range c.lanes.Values() {
			if conn := l.due(); conn != nil {
				c.tasks.Go(func() { l.ping(conn) })
			}
		}
	}
}

// due returns the connection if a probe is to be sent on it, and closes it if a probe is overdue.
func (l *lane) due() *rpc.Client {
	l.lock.Lock()
	defer l.lock.Unlock()
	switch {
	case l.conn == nil:
		return nil
	case l.probing:
		l.missed++
		if l.missed >= missedProbes {
			// Close may wait for a write to the silent connection; closing the wire below it ends the write.
			_ = l.wire.Close()
			l.conn = nil
		}
		return nil
	case len(l.room) == 0:
		return nil
	default:
		l.probing, l.missed = true, 0
		return l.conn
	}
}

// ping sends one probe and waits for its reply or the end of the connection.
func (l *lane) ping(conn *rpc.Client) {
	call := <-conn.Go("Peer.Ping", &messenger.PingRequest{}, &messenger.PingReply{}, make(chan *rpc.Call, 1)).Done
	var remote rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &remote) {
		l.drop(conn)
		return
	}
	l.lock.Lock()
	defer l.lock.Unlock()
	if l.conn == conn {
		l.probing = false
	}
}
