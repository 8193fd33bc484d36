package timer

import "time"

// Virtual is the Service of a testing/synctest bubble, where time passes only while all goroutines wait. A test then does not depend on
// the speed of the machine. Outside a bubble it follows the wall clock. The zero value is ready for use.
type Virtual struct{}

// Now returns the time of the bubble.
func (Virtual) Now() time.Time { return time.Now() }

// Monotonic returns the time since the Unix epoch.
func (Virtual) Monotonic() time.Duration { return time.Duration(time.Now().UnixNano()) }

// After returns a subscription that fires once, d from now.
func (Virtual) After(d time.Duration) Subscription { return virtualTimer{time.NewTimer(d)} }

// Every returns a subscription that fires every d.
func (Virtual) Every(d time.Duration) Subscription { return virtualTicker{time.NewTicker(d)} }

type virtualTimer struct{ timer *time.Timer }

func (t virtualTimer) C() <-chan time.Time { return t.timer.C }

func (t virtualTimer) Stop() { t.timer.Stop() }

type virtualTicker struct{ ticker *time.Ticker }

func (t virtualTicker) C() <-chan time.Time { return t.ticker.C }

func (t virtualTicker) Stop() { t.ticker.Stop() }
