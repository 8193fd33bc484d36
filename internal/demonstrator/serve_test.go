package demonstrator_test

import (
	"context"
	"io"
	"os/exec"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"

	"github.com/mimosalb/mimosalb/internal/demonstrator"
)

// replacements replaces the parts of the guide that differ between runs.
var replacements = []struct {
	match *regexp.Regexp
	with  string
}{
	{regexp.MustCompile(`127\.0\.0\.1:\d+`), "ADDRESS"},
	{regexp.MustCompile(`mk-[\w-]+`), "KEY"},
	{regexp.MustCompile(`\S*mimosalb-demo-\d+`), "FOLDER"},
}

// Guards against a guide whose commands fail, and against a deployment that keeps running after its context has ended.
func TestServeGuideWorks(t *testing.T) {
	c := qt.New(t)
	if _, err := exec.LookPath("curl"); err != nil {
		t.Fatal("curl not found in PATH: the test runs the commands of the guide")
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	out, in := io.Pipe()
	done := make(chan error, 1)
	go func() {
		err := demonstrator.Serve(ctx, in, io.Discard)
		_ = in.Close()
		done <- err
	}()
	text := readUntil(c, out, "Ctrl-C")
	var answers strings.Builder
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "curl") {
			answer, err := exec.Command("bash", "-c", line).CombinedOutput()
			c.Assert(err, qt.IsNil, qt.Commentf("%s", line))
			answers.Write(answer)
		}
	}
	for _, want := range []string{"data: [DONE]", `"runs":1`, `"preset":"peak"`, `"hang":true`} {
		c.Check(answers.String(), qt.Contains, want)
	}
	cancel()
	go func() { _, _ = io.Copy(io.Discard, out) }()
	c.Assert(<-done, qt.IsNil)
	_, text, _ = strings.Cut(text, "\n\n") // the table before the guide has its own golden file
	for _, ch := range replacements {
		text = ch.match.ReplaceAllString(text, ch.with)
	}
	goldie.New(t).Assert(t, "guide", []byte(text))
}

// readUntil reads from r until the text contains mark, and returns the text.
func readUntil(c *qt.C, r io.Reader, mark string) string {
	var text strings.Builder
	buffer := make([]byte, 4096)
	for !strings.Contains(text.String(), mark) {
		n, err := r.Read(buffer)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", &text))
		text.Write(buffer[:n])
	}
	return text.String()
}
