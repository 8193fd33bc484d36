package dispatcher

import "github.com/mimosalb/mimosalb/internal/container"

// activity counts the accepted requests that have not ended. The zero value accepts.
//
// Lock rank: container.RankClaimer.
type activity struct {
	lock    container.Lock[container.Claimer]
	count   int
	stopped bool
	idle    chan struct{}
}

// begin counts one more request. It reports false after stop.
func (a *activity) begin() bool {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.stopped {
		return false
	}
	a.count++
	return true
}

// end ends what begin counted.
func (a *activity) end() {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.count--
	if a.count == 0 && a.idle != nil {
		close(a.idle)
		a.idle = nil
	}
}

// stop accepts no more. The returned channel is closed when no request is open.
func (a *activity) stop() <-chan struct{} {
	a.lock.Lock()
	defer a.lock.Unlock()
	a.stopped = true
	idle := a.idle
	if idle == nil {
		idle = make(chan struct{})
		a.idle = idle
	}
	if a.count == 0 {
		close(idle)
		a.idle = nil
	}
	return idle
}
