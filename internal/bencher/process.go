package bencher

import (
	"runtime"
	"time"

	"golang.org/x/sys/unix"
)

// liveBytes collects garbage and returns the bytes of live heap objects and of stacks in use.
func liveBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		panic("invariant processor-time: " + err.Error())
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
