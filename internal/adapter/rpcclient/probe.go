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
	// maxMissedPeriods is the number of periods without a reply to a probe after which its connection is closed.
	maxMissedPeriods = 2
)

// runProbes sends probes on the connections that have open calls, and closes those on which a probe gets no reply. An
// idle connection is not probed and so costs nothing; if it has gone silent, the next call on it starts the probes that
// detect this.
func (c *Client) runProbes() {
	tick := c.clock.Every(probePeriod)
	defer tick.Stop()
	for {
		select {
		case <-tick.C():
		case <-c.stop:
			return
		}
		for _, e := range c.endpoints.Values() {
			if conn := e.beginProbe(); conn != nil {
				c.tasks.Go(func() { e.sendProbe(conn) })
			}
		}
	}
}

// beginProbe returns the connection if a probe must be sent on it, else nil. It closes the connection if the reply to
// an earlier probe is overdue.
func (e *endpoint) beginProbe() *rpc.Client {
	e.lock.Lock()
	defer e.lock.Unlock()
	switch {
	case e.conn == nil:
		return nil
	case e.probePending:
		e.missedPeriods++
		if e.missedPeriods >= maxMissedPeriods {
			// rpc.Client.Close may wait for a write to the silent connection; closing the socket ends the write.
			_ = e.socket.Close()
			e.conn = nil
		}
		return nil
	case len(e.slots) == 0:
		return nil
	default:
		e.probePending, e.missedPeriods = true, 0
		return e.conn
	}
}

// sendProbe sends one probe and waits for its reply or the end of the connection.
func (e *endpoint) sendProbe(conn *rpc.Client) {
	call := <-conn.Go("Peer.Ping", &messenger.PingRequest{}, &messenger.PingReply{}, make(chan *rpc.Call, 1)).Done
	var remote rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &remote) {
		e.drop(conn)
		return
	}
	e.lock.Lock()
	defer e.lock.Unlock()
	if e.conn == conn {
		e.probePending = false
	}
}
