package client_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/standin/switcher"
	"github.com/mimosalb/mimosalb/pkg/client"
)

// Guards against an answer of an entry with an invalid status that a trainer takes for a success or a final failure in place of asking
// another entry, whatever HTTP client it was given, and that leaves the connection to that entry in use.
func TestInvalidStatuses(t *testing.T) {
	c := qt.New(t)
	var faulty switcher.Switcher
	answer := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && strings.HasSuffix(r.URL.Path, "/runs") {
			w.WriteHeader(http.StatusNoContent)
			return
		}
		_, _ = w.Write([]byte(`{"all_confirmed":true}`))
	})
	first, second := httptest.NewServer(faulty.Wrap(answer)), httptest.NewServer(answer)
	defer first.Close()
	defer second.Close()
	calls := 0
	for _, status := range []string{"000", "042", "101", "199", "600", "999"} {
		for name, opts := range map[string][]client.Option{
			"own client": nil, "given client": {client.WithHTTP(&http.Client{})},
			"given transport": {client.WithHTTP(&http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second})},
		} {
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			faulty.Set(switcher.Switches{})
			trainer, err := client.Open(ctx, []string{first.URL, second.URL}, "key", client.Spec{Run: "r"}, opts...)
			c.Assert(err, qt.IsNil)
			before := trainer.State().Number
			faulty.Set(switcher.Switches{Status: status})
			// Nothing is read from the answer, so that only its status shows that it is not a sound one.
			c.Check(trainer.Publish(ctx, client.Weights{}), qt.IsNil)
			calls++
			all, err := trainer.Acknowledge(ctx)
			c.Check(err, qt.IsNil)
			c.Check(all, qt.IsTrue, qt.Commentf("%s, %s", status, name))
			c.Check(trainer.State().Number, qt.Equals, before+1, qt.Commentf("%s, %s: the next call goes to the second entry", status, name))
			cancel()
		}
	}
	for end := time.NewTimer(2 * time.Second); faulty.Endings().Closed < calls; {
		select {
		case <-end.C:
			c.Fatalf("%d calls to the faulty entry, of which %+v", calls, faulty.Endings())
		case <-time.After(5 * time.Millisecond):
		}
	}
	c.Check(faulty.Endings(), qt.Equals, switcher.Endings{Closed: calls})
}
