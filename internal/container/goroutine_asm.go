//go:build lockcheck && (amd64 || arm64)

package container

// goroutineID returns a number that is unique among live goroutines: the address of the calling one's descriptor.
func goroutineID() uintptr
