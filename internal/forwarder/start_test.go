package forwarder_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/forwarder"
	"github.com/mimosalb/mimosalb/internal/identifier"
	"github.com/mimosalb/mimosalb/internal/registrar"
	"github.com/mimosalb/mimosalb/internal/router"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// slowStarts answers each question for a start once answer is closed, or at once if it is nil.
type slowStarts struct {
	timer.Manual
	serving identifier.Incarnation
	asked   atomic.Int64
	begun   chan struct{}
	answer  chan struct{}
}

func (s *slowStarts) Start(ctx context.Context, _ router.Target) (identifier.Incarnation, time.Time, bool) {
	at := s.Now()
	s.asked.Add(1)
	if s.begun != nil {
		s.begun <- struct{}{}
	}
	if s.answer != nil {
		<-s.answer
	}
	return s.serving, at, ctx.Err() == nil
}

func newStartForwarder(s *slowStarts) *forwarder.Forwarder {
	return forwarder.NewForwarder(forwarder.Dependencies{Starts: s, Registrar: &registrar.Registrar{}, Clock: s})
}

// Guards against streams that begin together at one target and ask it for its start one by one, each on a new connection, and against
// those that wait for the question of one whose caller leaves.
func TestQuestionsForStartsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const streams = 32
		s := &slowStarts{serving: 7, begun: make(chan struct{}, streams), answer: make(chan struct{})}
		f := newStartForwarder(s)
		target := router.Target{ID: "t", Incarnation: 7}
		opened := s.Now()
		leaving, leave := context.WithCancel(t.Context())
		left := make(chan bool)
		go func() { left <- f.ConfirmAnswer(leaving, target, forwarder.Answer{Opened: opened}) }()
		<-s.begun
		leave()
		c.Check(<-left, qt.IsFalse)
		var all sync.WaitGroup
		for range streams {
			all.Go(func() { c.Check(f.ConfirmAnswer(t.Context(), target, forwarder.Answer{Opened: opened}), qt.IsTrue) })
		}
		synctest.Wait()
		close(s.answer)
		all.Wait()
		c.Check(s.asked.Load(), qt.Equals, int64(1))
	})
}

// Guards against an answer that counts as confirmed by a question which was asked before its connection was opened: the target may have
// started again in between.
func TestEarlierQuestionConfirmsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := &slowStarts{serving: 7, begun: make(chan struct{}, 4), answer: make(chan struct{})}
		f := newStartForwarder(s)
		target := router.Target{ID: "t", Incarnation: 7}
		results := make(chan bool)
		go func() { results <- f.ConfirmAnswer(t.Context(), target, forwarder.Answer{Opened: s.Now()}) }()
		<-s.begun
		s.Advance(time.Second)
		later := s.Now()
		go func() { results <- f.ConfirmAnswer(t.Context(), target, forwarder.Answer{Opened: later}) }()
		synctest.Wait()
		close(s.answer)
		c.Check(<-results, qt.IsTrue)
		c.Check(<-results, qt.IsTrue)
		c.Check(s.asked.Load(), qt.Equals, int64(2))

		restarted := newStartForwarder(&slowStarts{serving: 8})
		c.Check(restarted.ConfirmAnswer(t.Context(), target, forwarder.Answer{Opened: s.Now()}), qt.IsFalse)
		c.Check(restarted.ConfirmStart(t.Context(), target, true), qt.IsFalse)
	})
}
