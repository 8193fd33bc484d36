package timer

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
)

// Manual is a Service whose time moves only when Advance is called. The zero value starts at the Unix epoch.
type Manual struct {
	lock     container.Lock[container.Logger]
	elapsed  time.Duration
	schedule schedule
}

// Now returns the Unix epoch plus the time that was advanced.
func (m *Manual) Now() time.Time { return time.Unix(0, 0).UTC().Add(m.Boot()) }

// Boot returns the time that was advanced.
func (m *Manual) Boot() time.Duration {
	m.lock.Lock()
	defer m.lock.Unlock()
	return m.elapsed
}

// After returns a subscription that fires once, when the time has advanced by d.
func (m *Manual) After(d time.Duration) Subscription { return m.schedule.add(m.Boot(), d, 0) }

// Every returns a subscription that fires each time that the time has advanced by d.
func (m *Manual) Every(d time.Duration) Subscription { return m.schedule.add(m.Boot(), d, d) }

// Advance moves the time by d, stopping at each due subscription on the way.
func (m *Manual) Advance(d time.Duration) {
	end := m.Boot() + d
	for {
		due, ok := m.schedule.next()
		if !ok || due > end {
			break
		}
		m.set(due)
		m.schedule.fire(due, m.Now())
	}
	m.set(end)
}

// Subscribers returns the number of subscriptions, so that a test can wait until a part has subscribed.
func (m *Manual) Subscribers() int {
	m.schedule.lock.Lock()
	defer m.schedule.lock.Unlock()
	return len(m.schedule.queue)
}

func (m *Manual) set(elapsed time.Duration) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.elapsed = elapsed
}
