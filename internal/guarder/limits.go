package guarder

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/decider"
	"github.com/mimosalb/mimosalb/internal/identifier"
)

const (
	// connectionBytes is what a connection takes by itself: the buffers of the HTTP server (twice 4 KiB), the stacks of its
	// goroutines and a small head. 1,700 stalled connections took 24 KiB each.
	connectionBytes identifier.Bytes = 24 << 10
	// defaultMemory is assumed for a process whose memory is not known.
	defaultMemory identifier.Bytes = 256 << 20
	// defaultDescriptors is assumed for a process whose descriptors are not known. reservedDescriptors are for files and for the
	// connections to the store, the platform and other processes.
	defaultDescriptors  = 4096
	reservedDescriptors = 200
	// descriptorsPerRequest is the descriptors of a forwarded request: the connection of its caller, and those to two targets
	// while it is hedged.
	descriptorsPerRequest = 3
	// minConnections and minMemory are the least limits, also of a process with very little memory. A single request within
	// the documented limits needs less.
	minConnections                  = 64
	minMemory      identifier.Bytes = 1 << 20
)

// Limits bound what the clients of some listeners make a process hold. They are immutable.
type Limits struct {
	// Connections bounds the open connections, and Memory what is held for them beyond connectionBytes each: heads, bodies that
	// are read without another reservation, and answers that are being written.
	Connections int
	Memory      identifier.Bytes
	// IdleTime is how long a connection that has brought a known request is kept idle while others need its room.
	IdleTime time.Duration
	// StallTime is the time without progress after which a connection is closed although nobody needs its room.
	StallTime time.Duration
	// MaxMessage bounds one message that has no other bound; zero means that there is one.
	MaxMessage identifier.Bytes
	// Lateness decides which connections may be closed to make room, and how late each is.
	Lateness decider.Policy[Candidate, time.Duration]
}

const (
	// defaultIdleTime is four fifths of the longest documented idle time of 15 s, for which clients reuse a connection.
	defaultIdleTime = 12 * time.Second
	// peerIdleTime is the same for the connections of other processes, which are kept for a long time.
	peerIdleTime = 10 * time.Minute
	// defaultStallTime is longer than a body may take.
	defaultStallTime = 30 * time.Second
	// maxPeerMessage is a job with the largest documented body of 32 MiB and what surrounds its items.
	maxPeerMessage identifier.Bytes = 40 << 20
)

// Divisors of the memory of a process, which give the parts for the connections and for what is held for them. Together the
// listeners of a process take less than a fifth.
const (
	callerDivisor = 16
	peerDivisor   = 32
	checkDivisor  = 64
)

// NewCallerLimits returns the limits of a listener for callers, by the memory and the descriptors of the process. Zero means that
// one is not known.
func NewCallerLimits(memory identifier.Bytes, descriptors int) Limits {
	if descriptors <= 0 {
		descriptors = defaultDescriptors
	}
	l := newLimits(memory, callerDivisor)
	l.Connections = max(min(l.Connections, (descriptors-reservedDescriptors)/descriptorsPerRequest), minConnections)
	return l
}

// NewCheckLimits returns the limits of the listeners for readiness checks and metrics.
func NewCheckLimits(memory identifier.Bytes) Limits { return newLimits(memory, checkDivisor) }

// NewPeerLimits returns the limits of a listener for the system's own processes.
func NewPeerLimits(memory identifier.Bytes) Limits {
	l := newLimits(memory, peerDivisor)
	l.IdleTime, l.MaxMessage = peerIdleTime, maxPeerMessage
	return l
}

func newLimits(memory identifier.Bytes, divisor int) Limits {
	if memory <= 0 {
		memory = defaultMemory
	}
	share := memory / identifier.Bytes(divisor)
	return Limits{
		Connections: max(int(share/connectionBytes), minConnections), Memory: max(share, minMemory), IdleTime: defaultIdleTime,
		StallTime: defaultStallTime, Lateness: decider.Func[Candidate, time.Duration](lateness),
	}
}

// WithConnections returns a copy of l with the given number of connections.
func (l Limits) WithConnections(n int) Limits {
	l.Connections = n
	return l
}

// WithMemory returns a copy of l with the given memory.
func (l Limits) WithMemory(n identifier.Bytes) Limits {
	l.Memory = n
	return l
}
