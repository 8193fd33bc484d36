package guarder

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
)

// Phase is what a connection is doing.
type Phase uint32

// Phases of a connection. A new one is Reading.
const (
	// Reading means that a head or a body is expected or incomplete.
	Reading Phase = iota
	// Working means that the process has the whole request.
	Working
	// Idle means that the last request is answered and none has begun.
	Idle
)

// Candidate is a connection as the choice of those to close sees it.
type Candidate struct {
	Phase Phase
	// Known is set if the connection has brought a request with a route and a valid key, or a call of a known kind.
	Known bool
	// Large is set while the request holds memory that is reserved elsewhere.
	Large bool
	// Age is the time since the phase began, Quiet that since its last byte, and Moved the bytes that came in it. While the process
	// is reading but does not wait for the client, Age and Quiet are zero.
	Age, Quiet time.Duration
	Moved      identifier.Bytes
	// Blocked is the time for which a write has made no progress.
	Blocked time.Duration
	// IdleTime is how long the connection may be idle.
	IdleTime time.Duration
	// OverShare is set if the address of the client takes more than half of what is scarce.
	OverShare bool
}

const (
	// silentGrace is how long a new connection may send nothing while room is short. A client sends at once; the longest
	// documented way takes 40 ms.
	silentGrace = 150 * time.Millisecond
	// stallGrace is how long a connection may make no progress while room is short. It is several of the longest documented ways.
	stallGrace = 300 * time.Millisecond
	// largeGrace is the same for the sender of a large body. A lost segment on a long way is sent again within it.
	largeGrace = time.Second
	// minPace is the bytes per second below which a sender counts as late although bytes come.
	minPace = 4 << 10
)

// lateness returns how late a connection is, and whether it may be closed to make room. What works on a request is not late, unless
// its answer is not read.
func lateness(c Candidate) (time.Duration, bool) {
	late := c.Blocked - stallGrace
	switch c.Phase {
	case Reading:
		pace := time.Duration(float64(c.Moved) / minPace * float64(time.Second))
		grace := stallGrace
		if c.Moved == 0 && !c.Known {
			grace = silentGrace
		}
		if c.Large {
			grace = largeGrace
		}
		late = max(late, c.Quiet-grace, c.Age-pace-grace)
	case Idle:
		grace := stallGrace
		if c.Known {
			grace = max(grace, c.IdleTime)
		}
		late = max(late, c.Quiet-grace)
	case Working:
	}
	return late, late >= 0 || c.OverShare && c.Phase != Working
}
