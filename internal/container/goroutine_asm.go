//go:build lockcheck && (amd64 || arm64)

package container

// goroutine returns a number that no other goroutine has while the calling one lives: the address of its descriptor.
func goroutine() uintptr
