// Package platform is the stand-in for the platform's operational interfaces: the VM list, target orders and the usage
// intake.
package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
)

// requestLimit bounds a request in bytes.
const requestLimit = 4 << 20

// VM is one row of the VM list.
type VM struct {
	Name   string `json:"name" yaml:"name"`
	Role   string `json:"role" yaml:"role"`
	Zone   string `json:"zone" yaml:"zone"`
	Region string `json:"region" yaml:"region"`
	// State is live, leaving or stopped; stopped ones are not listed.
	State string `json:"state" yaml:"state"`
	// Address is where the VM's process of the system takes net/rpc.
	Address string `json:"address" yaml:"address"`
	// Service and Target describe the back end of a target VM.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	Target  string `json:"target,omitempty" yaml:"target,omitempty"`
}

// Order asks to start or stop a target.
type Order struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	Target  string `json:"target,omitempty"`
	Fence   uint64 `json:"fence"`
}

// Report is the usage of one tenant in one window.
type Report struct {
	ID      string          `json:"id"`
	Team    string          `json:"team"`
	Window  int64           `json:"window"`
	Fence   uint64          `json:"fence"`
	Figures json.RawMessage `json:"figures"`
}

// Platform keeps the VM list, the orders and the reports.
type Platform struct {
	// Switches are the failures that the platform shows.
	Switches switcher.Switcher
	// Fenced makes the platform refuse orders and reports from senders with an old fencing number.
	Fenced bool

	mu      sync.Mutex
	vms     []VM
	fences  map[string]uint64
	orders  []Order
	reports []Report
	// reportFence is the largest fencing number of a sender of reports.
	reportFence uint64
}

// NewPlatform returns a platform with the given VMs.
func NewPlatform(vms ...VM) *Platform {
	return &Platform{vms: slices.Clone(vms), fences: make(map[string]uint64)}
}

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms ...VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.Clone(vms)
}

// AddVM adds a row to the VM list.
func (p *Platform) AddVM(vm VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = append(p.vms, vm)
}

// Orders returns the accepted orders.
func (p *Platform) Orders() []Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.orders)
}

// Reports returns the accepted reports, repeated ones included.
func (p *Platform) Reports() []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.reports)
}

// Handler serves the interfaces, and the switches under /switches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", p.list)
	mux.HandleFunc("POST /v1/orders", p.order)
	mux.HandleFunc("GET /v1/orders/{id}", p.show)
	mux.HandleFunc("POST /v1/usage", p.usage)
	outer := http.NewServeMux()
	outer.Handle("/switches", p.Switches.Handler())
	outer.Handle("/", p.Switches.Wrap(mux))
	return outer
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	listed := make([]VM, 0, len(p.vms))
	for _, vm := range p.vms {
		if vm.State != "stopped" {
			listed = append(listed, vm)
		}
	}
	p.mu.Unlock()
	reply(w, listed)
}

// order starts or stops a target. An order that was taken before has no further effect.
func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, requestLimit)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Fenced && o.Fence < p.fences[o.Zone] {
		http.Error(w, "fence: an old number", http.StatusConflict)
		return
	}
	p.fences[o.Zone] = max(o.Fence, p.fences[o.Zone])
	if slices.ContainsFunc(p.orders, func(old Order) bool { return old.ID == o.ID }) {
		reply(w, o)
		return
	}
	from, to := "stopped", "live"
	if o.Kind == "stop" {
		from, to = "live", "stopped"
	}
	i := slices.IndexFunc(p.vms, func(vm VM) bool {
		return vm.Zone == o.Zone && vm.Service == o.Service && vm.State == from && (o.Target == "" || vm.Target == o.Target)
	})
	if i < 0 {
		http.Error(w, "no such target in this state", http.StatusUnprocessableEntity)
		return
	}
	p.vms[i].State = to
	o.Target = p.vms[i].Target
	p.orders = append(p.orders, o)
	reply(w, o)
}

func (p *Platform) show(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.orders, func(o Order) bool { return o.ID == r.PathValue("id") })
	if i < 0 {
		http.Error(w, "no such order", http.StatusNotFound)
		return
	}
	reply(w, p.orders[i])
}

func (p *Platform) usage(w http.ResponseWriter, r *http.Request) {
	var u Report
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, requestLimit)).Decode(&u); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("Fence"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Fenced && fence < p.reportFence {
		http.Error(w, "fence: an old number", http.StatusConflict)
		return
	}
	p.reportFence = max(fence, p.reportFence)
	p.reports = append(p.reports, u)
	reply(w, map[string]string{"id": u.ID})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
