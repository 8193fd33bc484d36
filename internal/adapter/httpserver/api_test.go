package httpserver_test

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
)

const apiPage = "../../../docs/api.md"

// Guards against a route that docs/api.md does not describe, and against a described route that does not exist.
func TestAPIPageListsEveryRoute(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile(apiPage)
	c.Assert(err, qt.IsNil)
	described := make(map[string]bool)
	for _, m := range regexp.MustCompile("(?m)^### `(.*)`$").FindAllSubmatch(text, -1) {
		described[string(m[1])] = false
	}
	for _, s := range []interface{ Routes() []string }{newCallers(), newOperators()} {
		for _, route := range s.Routes() {
			_, ok := described[route]
			c.Check(ok, qt.IsTrue, qt.Commentf(route))
			described[route] = true
		}
	}
	for route, exists := range described {
		c.Check(exists, qt.IsTrue, qt.Commentf(route))
	}
}

// variable matches the parts of answers that differ from run to run.
var variable = regexp.MustCompile(`mk-[\w-]+|"(id|request|hash)":"[^"]*"|"(created|cached_tokens)":\d+|"name":"(driver|clerk|guest)","team":"\w+",`)

// retryNotice matches curl's message about an attempt that a command with --retry repeats. An entry refuses calls to a
// new run until an entry owns it, which on a busy machine can take longer than the first attempt. The answer of the last
// attempt is still compared.
var retryNotice = regexp.MustCompile(`(?m)^curl: \(22\) The requested URL returned error: 503\n`)

// Guards against curl examples in docs/api.md that fail, and against unnoticed changes of their answers.
func TestAPIPageExamplesRun(t *testing.T) {
	c := qt.New(t)
	text, err := os.ReadFile(apiPage)
	c.Assert(err, qt.IsNil)
	d, err := demonstrator.NewDeployment(demonstrator.DefaultPlan(), io.Discard)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(d.Close(), qt.IsNil) }()
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: make(map[string]string)}
	defer s.Client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	_, err = demonstrator.Steps()[0].Run(ctx, s)
	c.Assert(err, qt.IsNil)

	var out strings.Builder
	for _, m := range regexp.MustCompile("(?s)```sh\n(.*?)\n```").FindAllSubmatch(text, -1) {
		cmd := exec.CommandContext(ctx, "bash", "-eu", "-o", "pipefail", "-c", string(m[1]))
		cmd.Env = append(os.Environ(),
			"CALLERS=http://"+d.Entries[0].Callers, "OPERATORS=http://"+d.Entries[0].Operators, "KEY="+s.Keys["driver"], "TOKEN="+d.OperatorToken)
		answer, err := cmd.CombinedOutput()
		c.Assert(err, qt.IsNil, qt.Commentf("%s\n%s", m[1], answer))
		if strings.Contains(string(m[1]), "--retry ") {
			answer = retryNotice.ReplaceAll(answer, nil)
		}
		fmt.Fprintf(&out, "$ %s\n%s\n\n", m[1], variable.ReplaceAllString(strings.TrimSpace(string(answer)), "…"))
	}
	goldie.New(t).Assert(t, t.Name(), []byte(out.String()))
}
