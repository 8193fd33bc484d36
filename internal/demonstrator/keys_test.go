package demonstrator_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/internal/standin/switcher"
)

// withdrawalLimit is the guaranteed time within which a withdrawn key stops working at every entry.
const withdrawalLimit = 3 * time.Second

// newTwoEntryDeployment starts a deployment with an entry in each of two regions, and returns a client of each entry.
func newTwoEntryDeployment(c *qt.C, grace time.Duration) (*demonstrator.Deployment, [2]*demonstrator.Client) {
	plan := demonstrator.DefaultPlan()
	plan.Entries = append(plan.Entries, demonstrator.Location{Zone: "kano-nassarawa", Region: "kano"})
	plan.KeyGrace = grace
	d, err := demonstrator.NewDeployment(plan, io.Discard)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(d.Close(), qt.IsNil) })
	other := *d
	other.Entries = d.Entries[1:]
	return d, [2]*demonstrator.Client{demonstrator.NewClient(d), demonstrator.NewClient(&other)}
}

// configureTeam creates a team with one key, and waits until both entries accept the key.
func configureTeam(ctx context.Context, c *qt.C, clients [2]*demonstrator.Client) string {
	var key string
	body := map[string]any{
		"preset":   "ordinary",
		"teams":    []map[string]any{{"name": "routing"}},
		"services": []map[string]any{{"name": "sortmind", "kind": "model"}},
	}
	c.Assert(clients[0].Await(ctx, testTimeout, func() bool {
		r, err := clients[0].SendAsOperator(ctx, http.MethodPut, "/v1/config", map[string]string{"If-Match": "0"}, body)
		return err == nil && r.Status == http.StatusOK
	}), qt.IsNil)
	c.Assert(clients[0].Await(ctx, testTimeout, func() bool {
		r, err := clients[0].SendAsOperator(ctx, http.MethodPost, "/v1/keys", nil, map[string]string{"name": "guest", "team": "routing"})
		var made struct{ Key string }
		if err == nil && r.Status == http.StatusCreated && json.Unmarshal(r.Body, &made) == nil {
			key = made.Key
		}
		return key != ""
	}), qt.IsNil)
	for _, client := range clients {
		c.Assert(client.Await(ctx, testTimeout, func() bool { return completionStatus(ctx, client, key) == http.StatusOK }), qt.IsNil)
	}
	return key
}

func completionBody(tokens int, stream bool) map[string]any {
	return map[string]any{"model": "sortmind", "prompt": "blue tube", "max_tokens": tokens, "stream": stream}
}

// completionStatus sends a completion request and returns the status of its response, or 0 if there was none.
func completionStatus(ctx context.Context, client *demonstrator.Client, key string) int {
	r, err := client.SendAsCaller(ctx, http.MethodPost, "/v1/completions", key, completionBody(1, false))
	if err != nil {
		return 0
	}
	return r.Status
}

// Guards against an entry that continues to serve a withdrawn key. The key is withdrawn at one entry, and the open streams
// at both must be cut within the guaranteed time.
func TestWithdrawalCutsStreamsEverywhere(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*testTimeout)
	defer cancel()
	_, clients := newTwoEntryDeployment(c, 0)
	key := configureTeam(ctx, c, clients)
	var streams sync.WaitGroup
	started := make(chan struct{}, 2)
	var cut [2]time.Time
	var errs [2]error
	for i, client := range clients {
		streams.Go(func() {
			first := true
			errs[i] = client.StreamEvents(ctx, "/v1/completions", key, completionBody(100_000, true), func(data string) bool {
				if first {
					first = false
					started <- struct{}{}
				}
				if strings.Contains(data, "key-withdrawn") {
					cut[i] = time.Now()
				}
				return cut[i].IsZero()
			})
		})
	}
	for range clients {
		select {
		case <-started:
		case <-time.After(testTimeout):
			cancel()
			streams.Wait()
			c.Fatalf("not every stream started within %v: %v", testTimeout, errs)
		}
	}
	began := time.Now()
	r, err := clients[0].SendAsOperator(ctx, http.MethodDelete, "/v1/keys/guest", nil, nil)
	c.Assert(err, qt.IsNil)
	c.Assert(r.Status, qt.Equals, http.StatusOK)
	streams.Wait()
	for i, client := range clients {
		c.Assert(cut[i].IsZero(), qt.IsFalse, qt.Commentf("entry %d", i))
		c.Assert(cut[i].Sub(began) < withdrawalLimit, qt.IsTrue, qt.Commentf("entry %d after %v", i, cut[i].Sub(began)))
		c.Assert(completionStatus(ctx, client, key), qt.Equals, http.StatusUnauthorized)
	}
}

// Guards against an entry that accepts keys for longer than keygrace while the key-value service is down, and against keys
// that stay refused after the service has recovered.
func TestKeysDuringAnOutage(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
	defer cancel()
	const grace = 3 * time.Second
	d, clients := newTwoEntryDeployment(c, grace)
	key := configureTeam(ctx, c, clients)
	d.Standin.Store.Switches.Set(switcher.Switches{Down: true})
	for _, client := range clients {
		c.Assert(completionStatus(ctx, client, key), qt.Equals, http.StatusOK)
	}
	for _, client := range clients {
		c.Assert(client.Await(ctx, testTimeout, func() bool { return completionStatus(ctx, client, key) == http.StatusServiceUnavailable }), qt.IsNil)
	}
	d.Standin.Store.Switches.Set(switcher.Switches{})
	for _, client := range clients {
		c.Assert(client.Await(ctx, testTimeout, func() bool { return completionStatus(ctx, client, key) == http.StatusOK }), qt.IsNil)
	}
}
