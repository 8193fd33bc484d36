package persister_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/isolator"
	"github.com/mimosalb/mimosalb/internal/persister"
	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

var crashing = isolator.NewFingerprint("team", "", "crashing")

// process is an entry's evidence with its persister.
type process struct {
	*isolator.Observer
	stop func()
}

// start starts a process on the given key-value service.
func start(t *testing.T, kv *keyvalue.Service) process {
	p := process{Observer: isolator.NewObserver()}
	clock := timer.NewSystem()
	a := persister.NewPersister(p.Isolator, storer.NewStorer(kv, clock, storer.WithMaxPause(20*time.Millisecond)), codec.Jobs{}, clock, nil)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		a.Run(ctx)
	}()
	p.stop = func() {
		cancel()
		<-done
	}
	t.Cleanup(p.stop)
	return p
}

// crash lets n targets end under the request.
func (p process) crash(n int, at time.Time) {
	for i := range n {
		p.Broken(isolator.Attempt{Target: identifier.Target(fmt.Sprint("t", i)), Service: "s", Sent: at, Suspect: crashing}, at)
	}
}

func (p process) holds() bool {
	_, held := p.HeldBack(crashing, time.Now())
	return held
}

// stored returns the number of requests whose evidence is stored.
func stored(kv *keyvalue.Service) int {
	entries, _ := kv.List(context.Background(), persister.Prefix)
	return len(entries)
}

// await polls f until it returns true.
func await(t *testing.T, what string, f func() bool) {
	t.Helper()
	ticks := time.NewTicker(5 * time.Millisecond)
	defer ticks.Stop()
	deadline := time.NewTimer(20 * time.Second)
	defer deadline.Stop()
	for !f() {
		select {
		case <-ticks.C:
		case <-deadline.C:
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// Guards against processes that forget at a restart of all of them which requests crash targets, also where the key-value
// service was away when they found out, and against a harmless request that stays held back because its evidence is never
// deleted.
func TestEvidenceOutlivesItsProcess(t *testing.T) {
	c := qt.New(t)
	kv := keyvalue.NewService(timer.NewSystem())
	first := start(t, kv)
	first.crash(2, time.Now())
	kv.Set(keyvalue.Faults{Down: true})
	first.crash(3, time.Now())
	c.Assert(first.holds(), qt.IsTrue)
	kv.Set(keyvalue.Faults{})
	await(t, "the evidence in the store", func() bool { return stored(kv) == 1 })
	first.stop()

	second := start(t, kv)
	await(t, "the evidence at the next start", second.holds)
	// Another process finds the same by itself, and that its targets live.
	third := start(t, kv)
	third.crash(3, time.Now())
	for i := range 3 {
		third.Answered(isolator.Attempt{Target: identifier.Target(fmt.Sprint("t", i)), Sent: time.Now().Add(time.Second)})
	}
	third.crash(3, time.Now().Add(2*time.Second))
	await(t, "the hold at the third process", third.holds)
	for i := range 3 {
		third.Answered(isolator.Attempt{Target: identifier.Target(fmt.Sprint("t", i)), Sent: time.Now().Add(time.Minute)})
	}
	await(t, "the deletion of the evidence", func() bool { return stored(kv) == 0 })
}

// Guards against evidence that nobody stores, because no process saw all crashes and each heard of the others later.
func TestEvidenceOfSeveralProcessesIsStored(t *testing.T) {
	kv := keyvalue.NewService(timer.NewSystem())
	first, second := start(t, kv), start(t, kv)
	first.crash(1, time.Now())
	for i := range 2 {
		second.Broken(isolator.Attempt{Target: identifier.Target(fmt.Sprint("other", i)), Service: "s", Sent: time.Now(), Suspect: crashing}, time.Now())
	}
	told, _ := second.Observed(0)
	first.Merge(told, time.Now())
	await(t, "the evidence in the store", func() bool { return stored(kv) == 1 })
}

// Guards against evidence that holds a request back for ever, and against a value that can't be read and hides the others.
func TestOldAndUnreadableEvidence(t *testing.T) {
	kv := keyvalue.NewService(timer.NewSystem())
	first := start(t, kv)
	first.crash(3, time.Now())
	await(t, "the evidence in the store", func() bool { return stored(kv) == 1 })
	first.stop()
	old := isolator.NewObserver()
	process{Observer: old}.crash(3, time.Now().Add(-isolator.DefaultRetention-time.Second))
	data, err := codec.Jobs{}.EncodeEvidence(isolator.Evidence{Crashes: []isolator.Crash{{At: time.Now().Add(-2 * isolator.DefaultRetention)}}})
	qt.Assert(t, err, qt.IsNil)
	kv.Write(persister.Prefix+"old", data)
	kv.Write(persister.Prefix+"a", []byte("{"))
	second := start(t, kv)
	await(t, "the readable evidence", second.holds)
	await(t, "the deletion of the old evidence", func() bool { return stored(kv) == 2 })
}
