package dispatcher

import "github.com/mimosalb/mimosalb/internal/container"

// requestCounter counts the accepted requests that have not ended. The zero value accepts requests.
//
// Lock rank: container.RankClaimer.
type requestCounter struct {
	lock    container.Lock[container.Claimer]
	count   int
	stopped bool
	idle    chan struct{}
}

// begin counts one more request. It reports false after stop.
func (c *requestCounter) begin() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.stopped {
		return false
	}
	c.count++
	return true
}

// end removes a request that begin counted.
func (c *requestCounter) end() {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.count--
	if c.count == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// stop makes begin refuse further requests. The returned channel is closed when no request is open.
func (c *requestCounter) stop() <-chan struct{} {
	c.lock.Lock()
	defer c.lock.Unlock()
	c.stopped = true
	idle := c.idle
	if idle == nil {
		idle = make(chan struct{})
		c.idle = idle
	}
	if c.count == 0 {
		close(idle)
		c.idle = nil
	}
	return idle
}
