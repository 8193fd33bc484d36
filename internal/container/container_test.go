package container_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"

	"github.com/mimosalb/mimosalb/internal/container"
)

// Guards against a queue that loses or reorders elements when its ring grows or wraps.
func TestQueueKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q container.Queue[int]
		var model []int
		next := 0
		for _, push := range rapid.SliceOf(rapid.Bool()).Draw(t, "pushes") {
			if push {
				q.Push(next)
				model = append(model, next)
				next++
				continue
			}
			v, ok := q.Pop()
			if ok != (len(model) > 0) || ok && v != model[0] {
				t.Fatalf("Pop returned %d, %v, want the first element of %v", v, ok, model)
			}
			if ok {
				model = model[1:]
			}
			if q.Len() != len(model) {
				t.Fatalf("length %d, want %d", q.Len(), len(model))
			}
		}
	})
}

// Guards against a window that exceeds its capacity or drops a newer value instead of the oldest.
func TestWindowKeepsTheLastValues(t *testing.T) {
	w := container.Window[int]{Capacity: 3}
	var out strings.Builder
	for i := range 5 {
		w.Add(i)
		fmt.Fprintln(&out, w.Values())
	}
	goldie.New(t).Assert(t, "window", []byte(out.String()))
}
