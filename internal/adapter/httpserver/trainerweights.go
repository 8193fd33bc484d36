package httpserver

import (
	"context"
	"net/http"

	"github.com/labstack/echo/v4"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/collector"
	"github.com/mimosalb/mimosalb/internal/storer"
	"github.com/mimosalb/mimosalb/internal/updater"
	"github.com/mimosalb/mimosalb/pkg/client"
)

// Announcer stores manifests of new weights.
type Announcer interface {
	Announce(ctx context.Context, m updater.Manifest) storer.Outcome
}

// announceWeights stores the manifest of new weights for the service of the run.
func (ts *TrainerRoutes) announceWeights(c echo.Context) error {
	var req client.Weights
	ctx, cancel, team, problem := ts.readRequest(c, &req)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	r := ts.runs.Handle(ctx, ts.newCall(c, collector.KindStatus, team))
	if r.Outcome != collector.Done {
		return receiptProblem(r.Receipt).write(c, runRetryAfter)
	}
	m, err := codec.ToManifest(r.Status.Spec.Service, req)
	if err != nil || m.Version == 0 || m.Chunk < 1 || m.Chunk > updater.ChunkSize || m.Len() == 0 ||
		int64(m.Len()) != (int64(m.Size)+int64(m.Chunk)-1)/int64(m.Chunk) {
		return notRunProblem(http.StatusBadRequest, "bad-field", "want a version, a size, chunks of at most 4 MB and a digest for each").write(c, 0)
	}
	switch ts.weights.Announce(ctx, m) {
	case storer.Applied:
		return c.JSON(http.StatusOK, req)
	case storer.Conflict:
		return notRunProblem(http.StatusConflict, "version-old", "version: want a number larger than the last announced version").write(c, 0)
	default:
		return receiptProblem(collector.Receipt{Outcome: collector.OutcomeUnknown}).write(c, runRetryAfter)
	}
}
