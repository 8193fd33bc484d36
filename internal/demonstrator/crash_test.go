package demonstrator_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/kvclient"
	"github.com/mimosalb/mimosalb/internal/persister"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/pkg/client"
)

// Guards against a request that crashes its targets and reaches a third one, or further ones when it is sent again to
// another entry. Also guards against holding back requests that ran at the same time, and against blocking their team.
func TestHarmfulRequestIsHeldBack(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	for _, e := range b.Standin.Engines {
		e.Switches.Set(switcher.Switches{Crash: "poison"})
	}
	innocent := make([]streamResult, 12)
	var streams sync.WaitGroup
	for i := range innocent {
		streams.Go(func() {
			innocent[i] = b.stream("driver", fmt.Sprintf("innocent%d", i), 200, func(int) {})
		})
	}
	b.await(5*time.Second, func() bool {
		n := int64(0)
		for _, e := range b.Standin.Engines {
			n += e.Running()
		}
		return n == int64(len(innocent))
	})
	r := b.complete(0, "poison pill", 5)
	kind, reason := r.problem()
	b.Assert(kind+" "+reason, qt.Equals, "unknown crashes-targets")
	again := b.complete(1, "poison pill", 5)
	kind, reason = again.problem()
	b.Assert(kind+" "+reason, qt.Equals, "not-run crashes-targets", qt.Commentf("%s", again.body))
	b.Assert(again.status, qt.Equals, http.StatusUnprocessableEntity)
	b.Assert(again.header.Get("Retry-After"), qt.Not(qt.Equals), "")
	streams.Wait()
	crashes := int64(0)
	for _, e := range b.Standin.Engines {
		crashes += e.RunsOfPrompt("poison")
	}
	b.Assert(crashes, qt.Equals, int64(2))
	for i, s := range innocent {
		b.assertComplete(s, fmt.Sprintf("innocent%d", i), 200)
	}
	for i := range innocent {
		prompt := fmt.Sprintf("innocent%d", i)
		b.Assert(b.complete(i%2, prompt, 3).status, qt.Equals, http.StatusOK, qt.Commentf("%s must not be held back", prompt))
	}
}

// Guards against a request that crashes targets again once all entries that knew of it have stopped.
func TestHeldBackAfterAllEntriesStop(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	for _, e := range b.Standin.Engines {
		e.Switches.Set(switcher.Switches{Crash: "poison"})
	}
	_, reason := b.complete(0, "poison pill", 5).problem()
	b.Assert(reason, qt.Equals, "crashes-targets")
	kv := kvclient.NewDriver("http://" + b.Standin.Addresses["store"])
	b.await(5*time.Second, func() bool {
		entries, _ := kv.List(t.Context(), persister.Prefix)
		return len(entries) == 1
	})
	for len(b.Entries) > 0 {
		_ = b.StopEntry(cancelledContext(), 0) // as in a crash; the error says so
	}
	b.Assert(b.AddEntry(linkedPlan().Entries[0]), qt.IsNil)
	b.await(10*time.Second, func() bool { return b.complete(0, "ready", 1).status == http.StatusOK })
	kind, reason := b.complete(0, "poison pill", 5).problem()
	b.Assert(kind+" "+reason, qt.Equals, "not-run crashes-targets")
}

// Guards against a false "not run" for a call that ran under its idempotency key before the same call, under other keys,
// was held back.
func TestHeldCallThatRanIsUnknown(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	b.setServiceSwitches(switcher.Switches{Mute: "harm"})
	kind, reason := b.callWithKey(0, "key 0", "harm").problem()
	b.Assert(kind, qt.Equals, "unknown")
	for i := 1; reason != "crashes-targets" || kind != "not-run"; i++ {
		b.Assert(i < 20, qt.IsTrue, qt.Commentf("call not held back after %d requests", i))
		kind, reason = b.callWithKey(i%2, fmt.Sprint("key ", i), "harm").problem()
	}
	for entry := range 2 {
		kind, _ = b.callWithKey(entry, "key 0", "harm").problem()
		b.Assert(kind, qt.Equals, "unknown")
	}
	crashed := 0
	for _, s := range b.Standin.Services {
		if s.RunsOfBody("harm") > 0 {
			crashed++
		}
	}
	b.Assert(crashed, qt.Equals, 2)
}

// Guards against a call that crashes a third target because its caller submits it again, at another entry, before that entry
// has heard of the last crash.
func TestCrashIsKnownBeforeItsAnswer(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	b.setServiceSwitches(switcher.Switches{Mute: "harm"})
	for i := range 12 {
		body := fmt.Sprint("harm ", i)
		for n := range 8 {
			b.callWithKey(n%2, fmt.Sprint(body, " key ", n), body)
		}
		crashed := 0
		for _, s := range b.Standin.Services {
			if s.RunsOfBody(body) > 0 {
				crashed++
			}
		}
		b.Check(crashed <= 2, qt.IsTrue, qt.Commentf("%s crashed %d targets", body, crashed))
	}
}

// Guards against a group of a trainer's step that is never placed again: targets crashed under its rollouts for another
// reason, and each submission was refused for an hour, long after the targets had room.
func TestRolloutsAreOwedAfterCrashes(t *testing.T) {
	b := newTestbed(t, linkedPlan())
	ctx, cancel := context.WithTimeout(t.Context(), 60*time.Second)
	defer cancel()
	setCrash := func(text string) {
		for _, e := range b.Standin.Engines {
			e.Switches.Set(switcher.Switches{Crash: text})
		}
	}
	setCrash("tube")
	spec := client.Spec{Run: "unlucky", Service: "sortmind", Bound: 1, Group: 2, Step: 2}
	trainer, err := client.Open(ctx, []string{"http://" + b.Entries[0].Callers}, b.keys["driver"], spec)
	b.Assert(err, qt.IsNil)
	prompts := []client.Prompt{{Text: "tube-0", MaxTokens: 5}, {Text: "tube-1", MaxTokens: 5}}
	_, err = trainer.Submit(ctx, prompts)
	b.Assert(err, qt.IsNil)
	b.await(20*time.Second, func() bool {
		crashed := 0
		for _, e := range b.Standin.Engines {
			if e.RunsOfPrompt("tube-0") > 0 {
				crashed++
			}
		}
		return crashed >= 3
	})
	setCrash("")
	for taken := 0; taken < len(prompts); {
		batch, err := trainer.Pull(ctx, len(prompts)-taken, 0)
		b.Assert(err, qt.IsNil)
		taken += len(batch.Groups)
	}
}
