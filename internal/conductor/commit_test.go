package conductor_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/conductor"
)

// Guards against a trainer that misses the last results of its step by half a second because it has just been given a few
// others: the pattern is a step whose texts end one after the other, the longest shortly before the results are due. It
// also guards against results that are written too late to count as in time.
func TestResultDelay(t *testing.T) {
	var out strings.Builder
	const due = 7500 * time.Millisecond
	for _, age := range []time.Duration{
		0, 2 * time.Second, 4700 * time.Millisecond, 5 * time.Second, 6 * time.Second, 7 * time.Second, due,
		7600 * time.Millisecond, 7900 * time.Millisecond, 8 * time.Second, 10 * time.Second,
	} {
		delay := conductor.ResultDelay(due, age)
		fmt.Fprintf(&out, "a result at %v waits %v at most, until %v\n", age, delay, age+delay)
	}
	fmt.Fprintf(&out, "never due: %v\n", conductor.ResultDelay(0, 7*time.Second))
	goldie.New(t).Assert(t, "delays", []byte(out.String()))
}
