//go:build lockcheck && !amd64 && !arm64

package container

import (
	"bytes"
	"runtime"
	"strconv"
)

// goroutineID returns the number of the calling goroutine, read from the header of its stack trace.
func goroutineID() uintptr {
	var buf [64]byte
	n := runtime.Stack(buf[:], false)
	id, err := strconv.ParseUint(string(bytes.Fields(buf[:n])[1]), 10, 64)
	if err != nil {
		panic("invariant goroutine-number: " + err.Error())
	}
	return uintptr(id)
}
