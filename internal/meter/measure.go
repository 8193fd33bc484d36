package meter

import (
	"time"

	"github.com/mimosalb/mimosalb/internal/executor"
	"github.com/mimosalb/mimosalb/internal/streamer"
)

// Measure returns the usage of an attempt from its final record. The agent and the entry both use it, so that their
// counts agree.
func Measure(f streamer.Final) Figures {
	return Figures{
		Requests: 1, Input: f.Prompt + f.Resumed, Cached: f.Cached, Output: f.Tokens, Busy: f.Took, Cross: f.Cross,
	}
}

// NewRecord returns the record of an attempt that ended at the given time.
func NewRecord(e executor.EndedAttempt, ended time.Time) Record {
	return Record{
		Attempt: e.Attempt, First: e.Call.Origin.Meter, Owner: e.Call.Origin.Meter, Team: e.Call.Team, Ended: ended,
		Complete: e.Final.End == streamer.Complete, Figures: Measure(e.Final),
	}
}
