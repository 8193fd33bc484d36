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

// withdrawalLimit is the stated time within which a withdrawn key stops working everywhere.
const withdrawalLimit = 3 * time.Second

// deploy starts two entries in two regions and returns a client of each.
func deploy(c *qt.C, grace time.Duration) (*demonstrator.Deployment, [2]*demonstrator.Client) {
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

// configure makes a team with one key, and waits until both entries serve it.
func configure(ctx context.Context, c *qt.C, clients [2]*demonstrator.Client) string {
	var key string
	body := map[string]any{
		"preset":   "ordinary",
		"teams":    []map[string]any{{"name": "routing"}},
		"services": []map[string]any{{"name": "sortmind", "kind": "model"}},
	}
	c.Assert(clients[0].Await(ctx, limit, func() bool {
		r, err := clients[0].SendAsOperator(ctx, http.MethodPut, "/v1/config", map[string]string{"If-Match": "0"}, body)
		return err == nil && r.Status == http.StatusOK
	}), qt.IsNil)
	c.Assert(clients[0].Await(ctx, limit, func() bool {
		r, err := clients[0].SendAsOperator(ctx, http.MethodPost, "/v1/keys", nil, map[string]string{"name": "guest", "team": "routing"})
		var made struct{ Key string }
		if err == nil && r.Status == http.StatusCreated && json.Unmarshal(r.Body, &made) == nil {
			key = made.Key
		}
		return key != ""
	}), qt.IsNil)
	for _, client := range clients {
		c.Assert(client.Await(ctx, limit, func() bool { return status(ctx, client, key) == http.StatusOK }), qt.IsNil)
	}
	return key
}

func smallCompletion(tokens int, stream bool) map[string]any {
	return map[string]any{"model": "sortmind", "prompt": "blue tube", "max_tokens": tokens, "stream": stream}
}

func status(ctx context.Context, client *demonstrator.Client, key string) int {
	r, err := client.SendAsCaller(ctx, http.MethodPost, "/v1/completions", key, smallCompletion(1, false))
	if err != nil {
		return 0
	}
	return r.Status
}

// Guards against an entry that goes on serving a withdrawn key: the withdrawal is made at one entry, and open streams at
// both must be cut within the stated time.
func TestWithdrawalCutsStreamsEverywhere(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*limit)
	defer cancel()
	_, clients := deploy(c, 0)
	key := configure(ctx, c, clients)
	var streams sync.WaitGroup
	started := make(chan struct{}, 2)
	var cut [2]time.Time
	var errs [2]error
	for i, client := range clients {
		streams.Go(func() {
			first := true
			errs[i] = client.StreamEvents(ctx, "/v1/completions", key, smallCompletion(100_000, true), func(data string) bool {
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
		case <-time.After(limit):
			cancel()
			streams.Wait()
			c.Fatalf("a stream does not begin: %v", errs)
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
		c.Assert(status(ctx, client, key), qt.Equals, http.StatusUnauthorized)
	}
}

// Guards against keys that work beyond keygrace while the key-value service is down, at any entry, and against keys that
// stay refused when it is back.
func TestKeysDuringAnOutage(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 3*limit)
	defer cancel()
	const grace = 3 * time.Second
	d, clients := deploy(c, grace)
	key := configure(ctx, c, clients)
	d.Standin.Store.Switches.Set(switcher.Switches{Down: true})
	for _, client := range clients {
		c.Assert(status(ctx, client, key), qt.Equals, http.StatusOK)
	}
	for _, client := range clients {
		c.Assert(client.Await(ctx, limit, func() bool { return status(ctx, client, key) == http.StatusServiceUnavailable }), qt.IsNil)
	}
	d.Standin.Store.Switches.Set(switcher.Switches{})
	for _, client := range clients {
		c.Assert(client.Await(ctx, limit, func() bool { return status(ctx, client, key) == http.StatusOK }), qt.IsNil)
	}
}
