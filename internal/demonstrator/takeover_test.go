package demonstrator_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/adapter/kvclient"
	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/internal/meter"
	"github.com/mimosalb/mimosalb/internal/reporter"
	"github.com/mimosalb/mimosalb/internal/standin/platform"
)

// logBuffer holds the log of a deployment.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) contains(event string) bool { return strings.Contains(b.String(), event) }

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

var _ io.Writer = (*logBuffer)(nil)

// Guards against usage that is lost or counted twice when an entry is removed from the VM list while it still serves. The
// other entry takes over its usage records from the agents, and the counts that it sends itself are refused.
func TestUsageOfRemovedEntryIsTakenOver(t *testing.T) {
	c := qt.New(t)
	ctx := context.Background()
	plan := demonstrator.DefaultPlan()
	plan.Entries = append(plan.Entries, plan.Entries[0])
	log := &logBuffer{}
	d, err := demonstrator.NewDeployment(plan, log)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(d.Close(), qt.IsNil) }()
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: make(map[string]string)}
	_, err = demonstrator.Steps()[0].Run(ctx, s)
	c.Assert(err, qt.IsNil)
	// The holder of the duty does not take over its own records, so the other entry is removed.
	removed := 0
	c.Assert(s.Client.Await(ctx, 20*time.Second, func() bool {
		held, _ := kvclient.NewDriver("http://"+d.Standin.Addresses["store"]).Get(ctx, "/duty/"+string(reporter.Duty))
		if strings.Contains(string(held.Value), " entry-1.") {
			removed = 1
		}
		return held.Changed != 0
	}), qt.IsNil)
	removedClient := demonstrator.NewClient(&demonstrator.Deployment{Entries: d.Entries[removed:]})
	served := 0
	call := func() bool {
		r, err := removedClient.SendAsCaller(ctx, http.MethodPost, "/v1/completions", s.Keys["auditor"], map[string]any{
			"model": "sortmind", "prompt": "quote", "max_tokens": 2,
		})
		ok := err == nil && r.Status == http.StatusOK
		if ok {
			served++
		}
		return ok
	}
	c.Assert(s.Client.Await(ctx, 10*time.Second, call), qt.IsNil)
	removeVM(c, d, fmt.Sprint("entry-", removed+1))
	for range 20 {
		c.Assert(call(), qt.IsTrue)
	}
	c.Assert(s.Client.Await(ctx, 10*time.Second, func() bool { return call() && log.contains("E1701") }), qt.IsNil)
	for range 20 {
		c.Assert(call(), qt.IsTrue)
	}
	reported := func() int64 {
		total := int64(0)
		seen := make(map[string]bool)
		for _, r := range d.Standin.Platform.Reports() {
			var f codec.ReportFigures
			if r.Team != "metered" || seen[r.ID] || json.Unmarshal(r.Figures, &f) != nil {
				continue
			}
			seen[r.ID] = true
			total += f.Requests
			for _, late := range f.Corrections {
				total += late.Figures.Requests
			}
		}
		return total
	}
	err = s.Client.Await(ctx, 15*time.Second, func() bool { return reported() >= int64(served) })
	c.Assert(err, qt.IsNil, qt.Commentf("%d of %d requests reported", reported(), served))
	// Usage that is counted twice would be reported within the next windows.
	end := meter.Calendar{Length: time.Duration(d.Usage.Window)}.Window(time.Now()) + 3
	c.Assert(s.Client.Await(ctx, 10*time.Second, func() bool {
		return meter.Calendar{Length: time.Duration(d.Usage.Window)}.Window(time.Now()) >= end
	}), qt.IsNil)
	c.Assert(reported(), qt.Equals, int64(served))
}

// removeVM removes a VM from the platform's list.
func removeVM(c *qt.C, d *demonstrator.Deployment, name string) {
	w := httptest.NewRecorder()
	d.Standin.Platform.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/vms", nil))
	var listed, left []platform.VM
	c.Assert(json.Unmarshal(w.Body.Bytes(), &listed), qt.IsNil)
	for _, vm := range listed {
		if vm.Name != name {
			left = append(left, vm)
		}
	}
	c.Assert(len(left), qt.Equals, len(listed)-1)
	d.Standin.Platform.SetVMs(left...)
}
