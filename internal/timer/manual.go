package timer

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
)

// Manual is a Service whose time moves only when Advance is called. The zero value starts at the Unix epoch.
type Manual struct {
	// The lock has the highest rank, so that the time can be read while a lock of any other rank is held.
	lock     container.Lock[container.Logger]
	elapsed  time.Duration
	schedule schedule
}

// Now returns the Unix epoch plus the elapsed time.
func (m *Manual) Now() time.Time { return time.Unix(0, 0).UTC().Add(m.Monotonic()) }

// Monotonic returns the elapsed time, which is the sum of all advances.
func (m *Manual) Monotonic() time.Duration {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.elapsed
}

// After returns a subscription that fires once, when the time has advanced by d.
func (m *Manual) After(d time.Duration) Subscription { return m.schedule.add(m.Monotonic(), d, 0) }

// Every returns a subscription that fires whenever the time has advanced by another d.
func (m *Manual) Every(d time.Duration) Subscription { return m.schedule.add(m.Monotonic(), d, d) }

// Advance moves the time by d, stopping at each due subscription on the way.
func (m *Manual) Advance(d time.Duration) {
	end := m.Monotonic() + d
	for {
		due, ok := m.schedule.next()
		if !ok || due > end {
			break
		}
		m.setElapsed(due)
		m.schedule.fire(due, m.Now())
	}
	m.setElapsed(end)
}

// Subscribers returns the number of active subscriptions, so that a test can wait until the code under test subscribes.
func (m *Manual) Subscribers() int {
	m.schedule.lock.Lock()
	defer m.schedule.lock.Unlock()
	return len(m.schedule.queue)
}

func (m *Manual) setElapsed(elapsed time.Duration) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.elapsed = elapsed
}
