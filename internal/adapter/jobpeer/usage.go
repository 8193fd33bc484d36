package jobpeer

import (
	"context"

	"github.com/mimosalb/mimosalb/internal/rationer"
)

// UsageTaker takes in what other processes have at targets while slots are short.
type UsageTaker interface {
	Apply(r rationer.Report)
}

// Usage is the net/rpc receiver of reports of other processes.
type Usage struct {
	taker UsageTaker
}

// Report takes in a report.
func (u *Usage) Report(r rationer.Report, received *bool) error {
	u.taker.Apply(r)
	*received = true
	return nil
}

// ReportUsage tells the process at address what this one has at targets, and reports whether that process received it.
func (c *Client) ReportUsage(ctx context.Context, address string, r rationer.Report) bool {
	var received bool
	return c.call(ctx, address, "Usage.Report", r, &received, informTimeout) && received
}
