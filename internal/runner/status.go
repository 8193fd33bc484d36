package runner

import (
	"net/http"

	"github.com/mimosalb/mimosalb/internal/adapter/inspector"
	"github.com/mimosalb/mimosalb/internal/logger"
)

// statusMeter counts answers of dependencies whose status the protocol does not allow.
type statusMeter interface {
	InvalidStatus(dependency string)
}

// reportStatuses returns the function that logs and counts such answers of one dependency.
func reportStatuses(log *logger.Logger, m statusMeter, dependency string) inspector.Report {
	return func(r *http.Request, status int) {
		m.InvalidStatus(dependency)
		log.Emit(logger.StatusInvalid, "dependency", dependency, "call", r.Method+" "+r.URL.Path, "status", status, "address", r.URL.Host)
	}
}
