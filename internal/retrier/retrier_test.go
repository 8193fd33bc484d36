package retrier_test

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/retrier"
)

// Guards against a second run of a request that may not be repeated, and against an untrue "not run".
func TestDecideTable(t *testing.T) {
	var out strings.Builder
	for event := retrier.NotSent; event <= retrier.Abandoned; event++ {
		for _, once := range []bool{false, true} {
			for _, ran := range []bool{false, true} {
				for _, attempts := range []int{1, retrier.DefaultAttempts} {
					s := retrier.Situation{Once: once, Ran: ran, Attempts: attempts}
					step := retrier.Decide(s, event, &retrier.Budget{})
					fmt.Fprintf(&out, "event %d once %-5v ran %-5v attempts %d: step %d\n", event, once, ran, attempts, step)
				}
			}
		}
	}
	goldie.New(t).Assert(t, "decide", []byte(out.String()))
}

// Guards against retries that multiply the load of an outage.
func TestBudgetBoundsRetries(t *testing.T) {
	c := qt.New(t)
	var b retrier.Budget
	retries := 0
	const first = 1000
	for range first {
		b.Earn()
		for b.Spend() {
			retries++
		}
	}
	c.Assert(float64(retries) <= first*retrier.DefaultRatio+retrier.DefaultReserve, qt.IsTrue, qt.Commentf("%d retries", retries))
}
