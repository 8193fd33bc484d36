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

// Announcer stores announcements of new weights.
type Announcer interface {
	Announce(ctx context.Context, m updater.Manifest) storer.Outcome
}

// announce stores the manifest of new weights for the service of the trainer's run.
func (ts *TrainerRoutes) announce(c echo.Context) error {
	var q client.Weights
	ctx, cancel, team, problem := ts.read(c, &q)
	if problem != nil {
		return problem.write(c, 0)
	}
	defer cancel()
	r := ts.runs.Handle(ctx, ts.call(c, collector.KindStatus, team))
	if r.Outcome != collector.Done {
		return ofReceipt(r.Receipt).write(c, movedRetry)
	}
	m, err := codec.ToManifest(r.Status.Spec.Service, q)
	if err != nil || m.Version == 0 || m.Chunk < 1 || m.Chunk > updater.ChunkSize || m.Len() == 0 ||
		int64(m.Len()) != (int64(m.Size)+int64(m.Chunk)-1)/int64(m.Chunk) {
		return refused(http.StatusBadRequest, "bad-field", "want a version, a size, chunks of at most 4 MB and a digest for each").write(c, 0)
	}
	switch ts.weights.Announce(ctx, m) {
	case storer.Applied:
		return c.JSON(http.StatusOK, q)
	case storer.Conflict:
		return refused(http.StatusConflict, "version-old", "the version must be larger than the last one").write(c, 0)
	default:
		return ofReceipt(collector.Receipt{Outcome: collector.OutcomeUnknown}).write(c, movedRetry)
	}
}
