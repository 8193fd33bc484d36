package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// System is the Service of the operating system's clocks. One goroutine serves all subscriptions.
type System struct {
	schedule schedule
	wake     chan struct{}
	stop     chan struct{}
	once     sync.Once
	done     sync.WaitGroup
}

// NewSystem starts a system timer service. Close ends it.
func NewSystem() *System {
	s := &System{wake: make(chan struct{}, 1), stop: make(chan struct{})}
	s.done.Add(1)
	go s.run()
	return s
}

// Now returns the wall clock time.
func (s *System) Now() time.Time { return time.Now() }

// Monotonic returns the time since boot. Unlike the runtime's monotonic clock it also advances while the VM is suspended.
func (s *System) Monotonic() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("invariant boot-clock: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// After returns a subscription that fires once, d from now.
func (s *System) After(d time.Duration) Subscription { return s.subscribe(d, 0) }

// Every returns a subscription that fires every d.
func (s *System) Every(d time.Duration) Subscription { return s.subscribe(d, d) }

// Close stops the service and waits for its goroutine. No subscription fires afterwards.
func (s *System) Close() {
	s.once.Do(func() { close(s.stop) })
	s.done.Wait()
}

func (s *System) subscribe(delay, period time.Duration) Subscription {
	sub := s.schedule.add(s.Monotonic(), delay, period)
	select {
	case s.wake <- struct{}{}:
	default:
	}
	return sub
}

// idleWait is how long the goroutine waits while nothing is scheduled; a new subscription wakes it earlier.
const idleWait = time.Hour

func (s *System) run() {
	defer s.done.Done()
	timer := time.NewTimer(idleWait)
	defer timer.Stop()
	for {
		wait := idleWait
		if due, ok := s.schedule.next(); ok {
			wait = max(0, due-s.Monotonic())
		}
		timer.Reset(wait)
		select {
		case <-s.stop:
			return
		case <-s.wake:
		case <-timer.C:
			s.schedule.fire(s.Monotonic(), s.Now())
		}
	}
}
