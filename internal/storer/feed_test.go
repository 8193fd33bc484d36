package storer_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/standin/keyvalue"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// view holds the keys that a follower reports.
type view struct {
	mutex       sync.Mutex
	keys        map[string]string
	interrupted int
	resets      int
	resumed     int
	changed     chan struct{}
}

func (v *view) Reset(entries []storer.Entry) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.keys = make(map[string]string)
	v.resets++
	for _, e := range entries {
		v.keys[e.Key] = string(e.Value)
	}
	v.changed <- struct{}{}
}

func (v *view) Apply(c storer.Change) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if c.Removed {
		delete(v.keys, c.Key)
	} else {
		v.keys[c.Key] = string(c.Value)
	}
	v.changed <- struct{}{}
}

func (v *view) Interrupted() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.interrupted++
}

func (v *view) count(n *int) int {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return *n
}

func (v *view) Resumed() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.resumed++
}

func (v *view) shows(want string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	var all []string
	for _, key := range []string{"p/a", "p/b", "q/a"} {
		if value, ok := v.keys[key]; ok {
			all = append(all, fmt.Sprintf("%s=%s", key, value))
		}
	}
	return strings.Join(all, " ") == want
}

// Guards against a view that misses a change, even if the service drops the history or is down for a while, that holds
// keys of another prefix, that is not told when reads work again, or whose Interrupted method is called when the follower is stopped.
func TestFollower(t *testing.T) {
	c := qt.New(t)
	clock := timer.NewSystem()
	kv := keyvalue.NewService(clock)
	kv.Write("p/a", []byte("1"))
	v := &view{changed: make(chan struct{}, 1000)}
	ctx, cancel := context.WithCancel(t.Context())
	var following sync.WaitGroup
	following.Go(func() {
		batchDelay := func() time.Duration { return 10 * time.Millisecond }
		storer.NewFollower(kv, storer.NewStorer(kv, clock), "p/", batchDelay, 200*time.Millisecond).Follow(ctx, v)
	})
	until := func(want string) {
		for !v.shows(want) {
			<-v.changed
		}
	}
	until("p/a=1")
	kv.Write("p/b", []byte("2"))
	kv.Write("q/a", []byte("3"))
	until("p/a=1 p/b=2")
	kv.Remove("p/a")
	kv.Compact()
	kv.Write("p/b", []byte("4"))
	until("p/b=4")
	kv.Set(keyvalue.Faults{Down: true})
	for v.count(&v.interrupted) == 0 {
		<-clock.After(10 * time.Millisecond).C()
	}
	kv.Set(keyvalue.Faults{})
	// Reads that work again are reported although nothing has changed.
	for v.count(&v.resumed) == 0 {
		<-clock.After(10 * time.Millisecond).C()
	}
	kv.Write("p/a", []byte("5"))
	until("p/a=5 p/b=4")
	v.mutex.Lock()
	before := v.interrupted
	v.mutex.Unlock()
	cancel()
	following.Wait()
	c.Assert(v.interrupted, qt.Equals, before)
}
