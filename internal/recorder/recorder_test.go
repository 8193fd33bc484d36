package recorder_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/codec"
	"github.com/mimosalb/mimosalb/internal/batcher"
	"github.com/mimosalb/mimosalb/internal/recorder"
	"github.com/mimosalb/mimosalb/internal/storer"
)

// countingStore counts the transactions that are sent to it.
type countingStore struct {
	recorder.Store
	commits int
}

func (s *countingStore) CommitWithRetry(context.Context, storer.Transaction) storer.Outcome {
	s.commits++
	return storer.Applied
}

// sizedCodec encodes every job with the given size.
type sizedCodec struct {
	codec.Jobs
	size int
}

func (c sizedCodec) EncodeSpec(batcher.Spec) ([]byte, error) { return make([]byte, c.size), nil }

// Guards against a job that does not fit into one transaction and is sent nevertheless: the service refuses it as it refuses calls
// while it is down, so other jobs were refused too.
func TestTooLargeJobIsNotSent(t *testing.T) {
	c := qt.New(t)
	for _, size := range []int{1 << 20, 24 << 20} {
		s := &countingStore{}
		out, err := recorder.NewRecorder(s, sizedCodec{size: size}).Create(t.Context(), batcher.Spec{ID: "j"}, recorder.Owner{})
		if size == 1<<20 {
			c.Check(out, qt.Equals, storer.Applied)
			c.Check(err, qt.IsNil)
			c.Check(s.commits, qt.Equals, 1)
			continue
		}
		c.Check(out, qt.Equals, storer.Unavailable)
		c.Check(err, qt.ErrorMatches, "store 3[0-9] values of job j: the job does not fit into one transaction")
		c.Check(s.commits, qt.Equals, 0)
	}
}
