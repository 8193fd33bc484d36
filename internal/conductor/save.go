package conductor

import (
	"context"
	"time"

	"github.com/mimosalb/mimosalb/internal/logger"
)

const (
	// saveInterval is the time between two saves of the texts of a job. A process that dies loses at most what its texts
	// gained since the last one.
	saveInterval = time.Second
	// maxSaveBytes limits the size of the texts of one save.
	maxSaveBytes = 512 << 10
)

// saveTexts writes what long texts have gained to the store, once every saveInterval, until the job has finished. The
// process that leads the job after this one continues them.
func (c *Conductor) saveTexts(ctx context.Context, l *ledJob) {
	ticks := c.Clock.Every(saveInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C():
		case <-l.job.Done():
			return
		case <-ctx.Done():
			return
		}
		texts := l.job.UnsavedTexts(maxSaveBytes)
		if len(texts) == 0 {
			continue
		}
		record := c.currentRecord(l)
		switch out, err := c.Recorder.SaveTexts(c.withScope(ctx, record), record, c.nextSave(l), texts); {
		case out == applied && err == nil:
			l.job.MarkSaved(texts)
		case out == conflict:
			c.Refresh(ctx, l.id)
		case ctx.Err() == nil:
			c.Log.Emit(logger.TextsUnsaved, "job", l.id, "texts", len(texts), "outcome", out.String(), "error", err)
		}
	}
}

// nextSave returns the number of the next write of partial texts of a job by this process.
func (c *Conductor) nextSave(l *ledJob) int {
	c.lock.Lock()
	defer c.lock.Unlock()
	l.saves++
	return l.saves
}
