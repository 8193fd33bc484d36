package runner

import (
	"context"
	"math"
	"runtime/debug"
	"sync"
	"syscall"

	"github.com/mimosalb/mimosalb/internal/guarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// defaultMemory is assumed for a process whose environment sets no GOMEMLIMIT.
	defaultMemory identifier.Bytes = 1 << 30
	// bodyDivisor divides the memory of an entry to give the part for the heads, bodies and answers of callers. A body of the
	// largest size fits once into it at 64 MiB.
	bodyDivisor = 4
)

// guards bound what the clients of the listeners of a process make it hold, by its memory (GOMEMLIMIT) and its limit of descriptors.
type guards struct {
	callers, checks, peers *guarder.Guarder
	cancel                 context.CancelFunc
	running                sync.WaitGroup
}

// newGuards returns the guards of a process and starts them.
func newGuards(clock timer.Service, log *logger.Logger) *guards {
	memory := defaultMemory
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		memory = identifier.Bytes(limit)
	}
	var files syscall.Rlimit
	descriptors := 0
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &files) == nil {
		descriptors = int(min(files.Cur, math.MaxInt32))
	}
	ctx, cancel := context.WithCancel(context.Background())
	callers := guarder.NewCallerLimits(memory, descriptors).WithMemory(memory / bodyDivisor)
	g := &guards{
		callers: guarder.NewGuarder("callers", callers, clock, log),
		checks:  guarder.NewGuarder("operators", guarder.NewCheckLimits(memory), clock, log),
		peers:   guarder.NewGuarder("peers", guarder.NewPeerLimits(memory), clock, log),
		cancel:  cancel,
	}
	for _, one := range []*guarder.Guarder{g.callers, g.checks, g.peers} {
		g.running.Go(func() { one.Run(ctx) })
	}
	return g
}

// state returns what all guards have counted.
func (g *guards) state() guarder.State {
	return g.callers.State().Plus(g.checks.State()).Plus(g.peers.State())
}

// stop stops the guards. Connections are not admitted any more.
func (g *guards) stop() {
	g.cancel()
	g.running.Wait()
}
