package executor

import "github.com/mimosalb/mimosalb/internal/identifier"

// RunningRequests returns the requests that the entry with the given meter sent and that have not ended.
func (e *Executor) RunningRequests(meter identifier.Node) []identifier.Request {
	var running []identifier.Request
	if meter == "" {
		return nil
	}
	e.jobs.Each(func(a identifier.Attempt, j job) bool {
		if j.call.Origin.Meter == meter {
			running = append(running, a.Request)
		}
		return true
	})
	return running
}
