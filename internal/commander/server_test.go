package commander_test

import (
	"context"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/labstack/echo/v4"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/adapter/httpserver"
	"github.com/mimosalb/mimosalb/internal/configurator"
	"github.com/mimosalb/mimosalb/internal/distributor"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/publisher"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const token = "0123456789abcdef"

// memoryStore is a key-value service with one key. While down is set, every read has that outcome. If
// loseNextReply is set, the next swap takes effect, but its outcome is Unknown.
type memoryStore struct {
	mu            sync.Mutex
	entry         storer.Entry
	down          storer.Outcome
	loseNextReply bool
	// beforeSwap is called once, before the next swap, so that a test can insert another edit.
	beforeSwap func()
}

func (m *memoryStore) Get(context.Context, string) (storer.Entry, storer.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down != 0 {
		return storer.Entry{}, m.down
	}
	return m.entry, storer.Applied
}

func (m *memoryStore) CompareAndSwap(_ context.Context, key string, changed int64, value []byte, _ storer.Lease) storer.Outcome {
	m.mu.Lock()
	beforeSwap := m.beforeSwap
	m.beforeSwap = nil
	m.mu.Unlock()
	if beforeSwap != nil {
		beforeSwap()
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if changed != m.entry.Changed {
		return storer.Conflict
	}
	m.entry = storer.Entry{Key: key, Value: value, Changed: changed + 1}
	if m.loseNextReply {
		m.loseNextReply = false
		return storer.Unknown
	}
	return storer.Applied
}

func (m *memoryStore) GetIfChanged(ctx context.Context, key string, _ int64) (storer.Entry, storer.Outcome) {
	return m.Get(ctx, key)
}

func (*memoryStore) Watch(context.Context, string, int64, func(storer.Entry)) storer.Outcome {
	return storer.Unavailable
}

// configAdopter passes the documents of a relay to a configurator.
type configAdopter struct{ config *configurator.Configurator }

func (a configAdopter) Adopt(c distributor.Copy) bool {
	doc, err := codec.Decode(c.Body())
	return err == nil && a.config.Adopt(doc) != configurator.Invalid
}

// fixedRoutes serve fixed objects on the routes whose fields mimosactl does not know in advance.
type fixedRoutes struct{}

func (fixedRoutes) Register(e *echo.Echo) {
	e.GET("/v1/targets", func(c echo.Context) error {
		return c.JSONBlob(http.StatusOK, []byte(`[
			{"zone":"macon","target":"m-1","running":3,"labels":["a"]},
			{"zone":"beaufort","target":"m-2","running":0,"draining":true}]`))
	})
	e.GET("/v1/targets/plan", func(c echo.Context) error { return c.JSONBlob(http.StatusOK, []byte(`[]`)) })
	e.POST("/v1/targets/:target/drain", func(c echo.Context) error { return c.NoContent(http.StatusAccepted) })
	e.GET("/v1/usage", func(c echo.Context) error {
		return c.JSONBlob(http.StatusOK, []byte(`[{"team":"routing","window":7,"output":1234567}]`))
	})
}

// documentZones is a httpserver.ZoneStates of the zones of the configuration.
type documentZones struct{}

func (documentZones) ListedZones() []identifier.Zone { return nil }

func (documentZones) RecordUnknown(identifier.Zone) {}

func (documentZones) ZoneState(d configurator.Document, z identifier.Zone) httpserver.ZoneState {
	state := httpserver.ZoneState{Zone: z, Region: d.Region(z), Evacuated: d.Evacuated().Contains(z), Revision: d.Revision(), Targets: 2}
	if d.Evacuated().Len() == len(d.Zones()) {
		state.Stranded = []identifier.Service{"matcher"}
	}
	return state
}

// server is an operators' API with a memoryStore.
type server struct {
	store   *memoryStore
	address string
	token   string
	editor  *publisher.Publisher
}

func newServer(c *qt.C, routes ...httpserver.RouteGroup) *server {
	s := &server{store: &memoryStore{}, token: filepath.Join(c.TempDir(), "token")}
	c.Assert(os.WriteFile(s.token, []byte(token+"\n"), 0o600), qt.IsNil)
	config := &configurator.Configurator{}
	relay := distributor.NewRelay(distributor.Member{}, time.Second,
		[distributor.TopicCount]distributor.Adopter{distributor.Config: configAdopter{config}})
	s.editor = publisher.NewPublisher(s.store, codec.Documents{}, relay, &timer.Manual{})
	all := append([]httpserver.RouteGroup{
		httpserver.NewHealth(func() bool { return true }, prometheus.NewRegistry()),
		httpserver.NewGuard(token),
		httpserver.NewOperatorRoutes(s.editor, config, []byte("pepper")),
		httpserver.NewEvacuationRoutes(s.editor, config, documentZones{}),
	}, routes...)
	h := httpserver.NewServer(all...)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	h.Start(l)
	c.Cleanup(func() { c.Check(h.Stop(context.Background()), qt.IsNil) })
	s.address = "http://" + l.Addr().String()
	return s
}
