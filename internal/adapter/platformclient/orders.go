package platformclient

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/orderer"
	"github.com/mimosalb/mimosalb/internal/placer"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// orderBody is the body of an order in the platform's interface. The platform carries out each ID at most once.
type orderBody struct {
	ID      string             `json:"id"`
	Kind    placer.Kind        `json:"kind"`
	Zone    identifier.Zone    `json:"zone"`
	Service identifier.Service `json:"service"`
	Target  identifier.Target  `json:"target,omitempty"`
	Fence   identifier.Fence   `json:"fence"`
	// Expires is the wall clock time after which the order is void.
	Expires time.Time `json:"expires,omitzero"`
}

// Orders sends the orders of one region to the platform and lists the region's target VMs.
type Orders struct {
	*Client

	region identifier.Region
}

// NewOrders returns the Orders of region, which calls the platform through c.
func NewOrders(c *Client, region identifier.Region) Orders { return Orders{Client: c, region: region} }

// Order sends an order and returns the target that the platform's answer names and the outcome. No byte is sent once
// the monotonic clock has reached deadline.
func (o Orders) Order(ctx context.Context, order orderer.Order, fence identifier.Fence, deadline time.Duration) (identifier.Target, orderer.Outcome) {
	body := orderBody{
		ID: order.ID, Kind: order.Kind, Zone: order.Zone, Service: order.Service, Fence: fence,
		Expires: o.clock.Now().Add(deadline - o.clock.Monotonic()).UTC(),
	}
	if order.Kind == placer.Stop {
		body.Target = order.Target
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic("invariant order-form: every order can be encoded: " + err.Error())
	}
	out := o.post(ctx, "/v1/orders", data, fence, deadline)
	var answer orderBody
	switch {
	case !out.sent:
		return "", orderer.Unsent
	case out.status == http.StatusConflict:
		return "", orderer.Stale
	case out.status == http.StatusOK && json.Unmarshal(out.body, &answer) == nil:
		return answer.Target, orderer.Accepted
	case out.status >= http.StatusBadRequest && out.status < http.StatusInternalServerError:
		return "", orderer.Rejected
	default:
		// After a server error or a lost response it is unknown whether the order took effect.
		return "", orderer.Lost
	}
}

// Find looks up an order by its ID and returns its target. The last result is false when the platform gave no usable
// answer, so that the existence of the order is unknown.
func (o Orders) Find(ctx context.Context, id string) (t identifier.Target, found, ok bool) {
	answer, status, err := o.get(ctx, "/v1/orders/"+url.PathEscape(id))
	var order orderBody
	switch {
	case err != nil:
		return "", false, false
	case status == http.StatusNotFound:
		return "", false, true
	case status == http.StatusOK && json.Unmarshal(answer, &order) == nil && order.ID == id:
		return order.Target, true, true
	default:
		return "", false, false
	}
}

// List returns the target VMs of the region from the platform's VM list. The last result is false when the list can't
// be fetched.
func (o Orders) List(ctx context.Context) ([]orderer.VM, bool) {
	all, err := o.VMs(ctx)
	vms := make([]orderer.VM, 0, len(all))
	for _, vm := range all {
		if vm.Role == RoleTarget && vm.Region == o.region {
			vms = append(vms, orderer.VM{Target: vm.Target, Service: vm.Service, Zone: vm.Zone, Leaving: vm.State == StateLeaving})
		}
	}
	return vms, err == nil
}

func (c *Client) get(ctx context.Context, path string) ([]byte, int, error) {
	ctx, cancel := timer.WithTimeout(ctx, c.clock, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.address+path, nil)
	if err != nil {
		return nil, 0, fmt.Errorf("get %s: %w", path, err)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, 0, fmt.Errorf("get %s: %w", path, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return nil, 0, fmt.Errorf("get %s: %w", path, err)
	}
	return body, resp.StatusCode, nil
}
