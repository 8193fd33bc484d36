package rig

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/soaker"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// Program is the program that the line build of the deploy file builds.
	Program = "target/mimosalb-node"
	// Grace is grace-s of the sheet.
	Grace = 8 * time.Second
	// Drain is its drain-ms.
	Drain = 2500 * time.Millisecond
	// Apply is its config-apply-ms.
	Apply = 2500 * time.Millisecond

	readHeaderTimeout = 10 * time.Second
)

// Names of the deployment.
const (
	Host          = "h.example"
	Key           = "key-of-team-1"
	Team          = "team-1"
	PlainService  = "plain"
	EngineService = "engine"

	fieldName    = "name"
	fieldVersion = "version"
)

// Models are the models of the service EngineService.
var Models = []string{"m0", "m1", "m2", "m3", "m4", "m5", "m6", "m7", "m8", "m9", "m10", "m11"}

// Node is a process of the deploy file on a machine of its own.
type Node struct {
	*soaker.Process
	Name, IP string
	settings string
}

// Callers returns the address for clients.
func (n *Node) Callers() string { return n.IP + ":8689" }

// Deployment is a small deployment in one availability zone.
type Deployment struct {
	Clock   timer.Service
	Record  *Record
	Store   *Store
	Entries []*Node

	folder      string
	controllers []*Node
	samplers    []*Sampler
	servers     []*http.Server
	cloud       string

	mutex   sync.Mutex
	version int
	routes  []map[string]any
}

// NewDeployment returns a deployment that has not been started. The caller closes it.
func NewDeployment(record *Record, clock timer.Service) *Deployment {
	return &Deployment{Clock: clock, Record: record, Store: NewStore(clock)}
}

// Start starts entries and one controller beside empty stand-ins.
func (d *Deployment) Start(entries int) error {
	var err error
	if d.folder, err = os.MkdirTemp("", "review"); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	if d.cloud, err = d.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })); err != nil {
		return err
	}
	d.routes = []map[string]any{
		Route("quote", "idempotent", PlainService), Route("book", "non_idempotent", PlainService), Route("score", "idempotent", PlainService),
		Route("jobs", "rollout", EngineService),
	}
	d.routes[2]["public"] = true
	d.Configure()
	for i := range entries + 1 {
		role := "entry"
		if i == entries {
			role = "controller"
		}
		n, err := d.startNode(role, i+1)
		if err != nil {
			return err
		}
		if role == "entry" {
			d.Entries = append(d.Entries, n)
		} else {
			d.controllers = append(d.controllers, n)
		}
	}
	return nil
}

// Route returns a route of the configuration. Its path prefix is its name.
func Route(name, kind, service string) map[string]any {
	return map[string]any{
		fieldName: name, "hostname": Host, "path-prefix": "/" + name + "/", "kind": kind, "timeout-ms": 10000, "goal-ms": 400, "priority": 2,
		"service": service, "max-attempts": 3, "public": false, "queue-ttl-s": 40, "result-due-ms": 7500,
	}
}

// Configure writes a configuration with the next version and further routes, as the operator does. The return is the
// acknowledgement.
func (d *Deployment) Configure(further ...map[string]any) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.version += 3
	d.routes = append(d.routes, further...)
	models := make([]map[string]any, 0, len(Models))
	for _, m := range Models {
		models = append(models, map[string]any{fieldName: m})
	}
	d.Store.KV.Write("op/config", encode(map[string]any{
		fieldVersion: d.version, "routes": d.routes,
		"services": []map[string]any{
			{fieldName: PlainService, "health-path": "/health", "max-conns": 100, "protocol": "h1", "tls": false},
			{
				fieldName: EngineService, "health-path": "/health", "max-conns": 140, "protocol": "h1", "tls": false,
				"engine": map[string]any{"slots": 8, "models": models},
			},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 33554432, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{fieldName: Team, "api-keys": []string{Key}, "priority": 1}},
	}))
	d.Record.Line("operator: configuration %d with %d routes is acknowledged", d.version, len(d.routes))
}

// listenLocal opens a listener.
func listenLocal(address string) (net.Listener, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return l, nil
}

func newServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
}

// serve serves a handler on a free loopback port and returns its address.
func (d *Deployment) serve(h http.Handler) (string, error) {
	l, err := listenLocal("127.0.0.1:0")
	if err != nil {
		return "", err
	}
	server := newServer(h)
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(l) }() // returns when the deployment is closed
	return l.Addr().String(), nil
}

// startNode starts a process as the deploy file says, with settings as the platform writes them.
func (d *Deployment) startNode(role string, number int) (*Node, error) {
	class := map[string]string{"entry": "front", "controller": "store"}[role]
	n := &Node{Name: fmt.Sprintf("%s-z1-%d", class, number), IP: fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250, number)}
	store, err := d.serve(d.Store.Handler(n.Name))
	if err != nil {
		return nil, err
	}
	for _, port := range []string{":8689", ":8687", ":7360", ":9464"} {
		l, err := listenLocal(n.IP + port)
		if err != nil {
			return nil, err
		}
		_ = l.Close() // only shows that the port is free
	}
	listen := "[listen]\n"
	if role == "entry" {
		listen = fmt.Sprintf("[listen]\nfront = %q\nready = %q\ncontrol = %q\n", n.Callers(), n.IP+":8687", n.IP+":8683")
	}
	settings := fmt.Sprintf("node-name = %q\nrole = %q\nmachine-class = %q\nip = %q\nzone = \"z1\"\nregion = \"r1\"\nport-range = [7360,7375]\n"+
		"bootstrap = true\n[zones]\nz1 = \"r1\"\n%s[limits]\ncpu-share = 0.304\ncores = 1\nmemory-mb = 284\nmax-fds = 4100\n"+
		"[bounds]\ncontact-ms = 4000\nack-ms = 5000\nsync-s = 4.3\ndrain-ms = 2500\ngrace-s = 8\nloss-slack-ms = 200\nconfig-apply-ms = 2500\n"+
		"rollback-slack-ms = 250\nrequire-fence = true\nlease-ms = 3000\nthaw-slack-ms = 300\nreport-window-s = 5\nusage-late-s = 10\n"+
		"recovery-s = 12\nstatus-s = 120\ncancel-ms = 3000\nsettle-ms = 1000\n"+
		"[provider]\naddress = %q\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\nhistory-s = 20\nvalue-bytes = 1048576\nttl-min-ms = 1000\n"+
		"[cloud-api]\naddress = %q\nrate-per-s = 50.0\nduty-per-s = 50.0\n",
		n.Name, role, class, n.IP, listen, store, d.cloud)
	file := filepath.Join(d.folder, n.Name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("write settings: %w", err)
	}
	n.settings = file
	env := []string{"MIMOSALB_BOOT=" + file}
	n.Process, err = soaker.NewProcess(n.Name, filepath.Join(d.folder, n.Name+".log"), env, Program, "--metrics", "9464", role)
	if err != nil {
		return nil, err
	}
	n.Start()
	return n, nil
}

// AddSampler starts a sampler and lists it.
func (d *Deployment) AddSampler(id, service string) (*Sampler, error) {
	s, err := NewSampler(id, service, "z1", d.Clock, d.Record)
	if err != nil {
		return nil, err
	}
	d.mutex.Lock()
	d.samplers = append(d.samplers, s)
	d.mutex.Unlock()
	d.Store.KV.Write("servers/"+id, s.Listing(0))
	d.Record.Line("sampler %s of %s starts at %s and is listed", id, service, s.Address())
	return s, nil
}

// Relist writes the entry of a sampler again.
func (d *Deployment) Relist(id string, coldLeft int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, s := range d.samplers {
		if s.ID == id {
			d.Store.KV.Write("servers/"+id, s.Listing(coldLeft))
		}
	}
}

// Runs returns what all samplers have begun to run.
func (d *Deployment) Runs() []Run {
	d.mutex.Lock()
	samplers := append([]*Sampler(nil), d.samplers...)
	d.mutex.Unlock()
	var all []Run
	for _, s := range samplers {
		all = append(all, s.Runs()...)
	}
	return all
}

// errNotReady is the error of a deployment whose entries do not become ready.
var errNotReady = errors.New("an entry is not ready")

// AwaitReady waits until every entry answers /-/ready with 200.
func (d *Deployment) AwaitReady(ctx context.Context, limit time.Duration) error {
	until := d.Clock.Monotonic() + limit
	for _, n := range d.Entries {
		for !d.Ready(ctx, n) {
			if d.Clock.Monotonic() > until || !timer.Wait(ctx, d.Clock, 50*time.Millisecond) {
				return fmt.Errorf("%s: %w", n.Name, errNotReady)
			}
		}
	}
	return nil
}

// Ready reports whether an entry is ready.
func (d *Deployment) Ready(ctx context.Context, n *Node) bool {
	a := NewClient(d.Clock).Send(ctx, http.MethodGet, "http://"+n.IP+":8687/-/ready", nil, nil, time.Second)
	return a.Status == http.StatusOK
}

// Close ends everything that was started. If RIG_KEEP is set, the logs of the processes are kept.
func (d *Deployment) Close() {
	for _, n := range append(append([]*Node(nil), d.Entries...), d.controllers...) {
		n.Kill()
	}
	for _, s := range d.samplers {
		s.Close()
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	if os.Getenv("RIG_KEEP") != "" {
		fmt.Println("logs:", d.folder)
		return
	}
	_ = os.RemoveAll(d.folder) // the folder is a temporary one
}
