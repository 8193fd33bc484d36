// Package platform is the stand-in for the platform's operational interfaces: the VM list, target orders and usage
// reports.
package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
)

// maxRequestBytes limits the body of a request.
const maxRequestBytes = 4 << 20

// VM is one row of the VM list.
type VM struct {
	Name   string `json:"name" yaml:"name"`
	Role   string `json:"role" yaml:"role"`
	Zone   string `json:"zone" yaml:"zone"`
	Region string `json:"region" yaml:"region"`
	// State is live, leaving or stopped. Stopped VMs are not listed.
	State string `json:"state" yaml:"state"`
	// Address is the net/rpc address of the system's process on the VM.
	Address string `json:"address" yaml:"address"`
	// Service and Target describe the back end of a target VM.
	Service string `json:"service,omitempty" yaml:"service,omitempty"`
	Target  string `json:"target,omitempty" yaml:"target,omitempty"`
}

// Order is a request to start or stop a target.
type Order struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	Target  string `json:"target,omitempty"`
	Fence   uint64 `json:"fence"`
}

// Report is the usage of one team in one window.
type Report struct {
	ID      string          `json:"id"`
	Team    string          `json:"team"`
	Window  int64           `json:"window"`
	Fence   uint64          `json:"fence"`
	Figures json.RawMessage `json:"figures"`
}

// Platform holds the VM list and the accepted orders and reports.
type Platform struct {
	// Switches are the failures that the platform injects.
	Switches switcher.Switcher
	// Fenced makes the platform refuse an order with a lower fence than an earlier one for the same zone, and a report with a
	// lower fence than an earlier report.
	Fenced bool

	mu        sync.Mutex
	vms       []VM
	maxFences map[string]uint64 // highest fence of the orders for each zone
	orders    []Order
	reports   []Report
	// maxReportFence is the highest fence of a report.
	maxReportFence uint64
}

// NewPlatform returns a platform with the given VMs.
func NewPlatform(vms ...VM) *Platform {
	return &Platform{vms: slices.Clone(vms), maxFences: make(map[string]uint64)}
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

// Reports returns the accepted reports, including repeated ones.
func (p *Platform) Reports() []Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.reports)
}

// Handler returns a handler of the interfaces, and of the failure switches under /switches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/vms", p.listVMs)
	mux.HandleFunc("POST /v1/orders", p.placeOrder)
	mux.HandleFunc("GET /v1/orders/{id}", p.showOrder)
	mux.HandleFunc("POST /v1/usage", p.receiveReport)
	outer := http.NewServeMux()
	outer.Handle("/switches", p.Switches.Handler())
	outer.Handle("/", p.Switches.Wrap(mux))
	return outer
}

// listVMs returns the VMs that are not stopped.
func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	listed := make([]VM, 0, len(p.vms))
	for _, vm := range p.vms {
		if vm.State != "stopped" {
			listed = append(listed, vm)
		}
	}
	p.mu.Unlock()
	writeJSON(w, listed)
}

// placeOrder starts or stops a target. A repeated order has no further effect.
func (p *Platform) placeOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Fenced && o.Fence < p.maxFences[o.Zone] {
		http.Error(w, fmt.Sprintf("fence %d: want at least %d", o.Fence, p.maxFences[o.Zone]), http.StatusConflict)
		return
	}
	p.maxFences[o.Zone] = max(o.Fence, p.maxFences[o.Zone])
	if slices.ContainsFunc(p.orders, func(old Order) bool { return old.ID == o.ID }) {
		writeJSON(w, o)
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
		http.Error(w, fmt.Sprintf("no %s target %q of service %q in zone %q", from, o.Target, o.Service, o.Zone), http.StatusUnprocessableEntity)
		return
	}
	p.vms[i].State = to
	o.Target = p.vms[i].Target
	p.orders = append(p.orders, o)
	writeJSON(w, o)
}

// showOrder returns an accepted order.
func (p *Platform) showOrder(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := slices.IndexFunc(p.orders, func(o Order) bool { return o.ID == r.PathValue("id") })
	if i < 0 {
		http.Error(w, fmt.Sprintf("no order at %q", r.URL.Path), http.StatusNotFound)
		return
	}
	writeJSON(w, p.orders[i])
}

// receiveReport accepts a usage report. The fence is in the Fence header.
func (p *Platform) receiveReport(w http.ResponseWriter, r *http.Request) {
	var report Report
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes)).Decode(&report); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fence, _ := strconv.ParseUint(r.Header.Get("Fence"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.Fenced && fence < p.maxReportFence {
		http.Error(w, fmt.Sprintf("fence %d: want at least %d", fence, p.maxReportFence), http.StatusConflict)
		return
	}
	p.maxReportFence = max(fence, p.maxReportFence)
	p.reports = append(p.reports, report)
	writeJSON(w, map[string]string{"id": report.ID})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
