// Package platformclient calls the platform's operational interfaces over HTTP: the VM list, target orders and usage
// reports.
package platformclient

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/timer"
)

const (
	// callTimeout bounds one call to the platform.
	callTimeout = 5 * time.Second
	// maxReplyBytes limits the body of a response. A list of 4,000 VMs takes about one megabyte.
	maxReplyBytes = 16 << 20
)

// VM is one row of the platform's VM list.
type VM struct {
	Name    identifier.Node    `json:"name"`
	Role    Role               `json:"role"`
	Zone    identifier.Zone    `json:"zone"`
	Region  identifier.Region  `json:"region"`
	State   State              `json:"state"`
	Address string             `json:"address"`
	Service identifier.Service `json:"service"`
	Target  identifier.Target  `json:"target"`
}

// Role names what runs on a VM.
type Role string

// Roles of VMs.
const (
	RoleEntry  Role = "entry"
	RoleTarget Role = "target"
)

// State is the lifecycle state of a VM.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Client calls the platform.
type Client struct {
	address string
	clock   timer.Service
	http    *http.Client
	reports []inspector.Report
}

// NewClient returns the client of the platform at address, such as http://127.0.0.1:2380.
// reports are called for answers with an invalid status.
func NewClient(address string, clock timer.Service, reports ...inspector.Report) *Client {
	return &Client{
		address: address, clock: clock, reports: reports, http: &http.Client{Transport: inspector.NewTransport(http.DefaultTransport, reports...)},
	}
}

// VMs returns the VM list.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	answer, status, err := c.get(ctx, "/v1/vms")
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("list VMs: response status %d, want 200", status)
	}
	var vms []VM
	if err := json.Unmarshal(answer, &vms); err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	return vms, nil
}
