// Package worker runs jobs on a fixed number of goroutines.
package worker

import (
	"context"
	"sync"
)

// Source supplies jobs. Next waits until a job is available or ctx ends; a false second result ends the worker.
type Source[T any] interface {
	Next(ctx context.Context) (T, bool)
}

// Pool runs the jobs of a source on a fixed number of workers.
type Pool[T any] struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
}

// NewPool starts size workers that call run with each job of source. The context of run is cancelled when the pool is
// closed.
func NewPool[T any](size int, source Source[T], run func(ctx context.Context, job T)) *Pool[T] {
	ctx, cancel := context.WithCancel(context.Background()) //nolint:gosec // Close calls it
	p := &Pool[T]{cancel: cancel}
	for range size {
		p.done.Add(1)
		go func() {
			defer p.done.Done()
			p.work(ctx, source, run)
		}()
	}
	return p
}

// Close cancels running jobs and waits until every worker has ended.
func (p *Pool[T]) Close() {
	p.cancel()
	p.done.Wait()
}

func (p *Pool[T]) work(ctx context.Context, source Source[T], run func(context.Context, T)) {
	for {
		job, ok := source.Next(ctx)
		if !ok {
			return
		}
		run(ctx, job)
	}
}
