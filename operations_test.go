package mimosalb_test

import (
	"bytes"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/sebdah/goldie/v2"
)

// scriptTimeout bounds the run of the page's commands.
const scriptTimeout = 2 * time.Minute

// shellBlocks returns the sh code blocks of a page as one script.
func shellBlocks(c *qt.C, page string) string {
	text, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	var script strings.Builder
	for _, m := range regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllSubmatch(text, -1) {
		script.Write(m[1])
	}
	return script.String()
}

// freePorts maps the ports of the page and the settings to free ones, since other tests may use the same ports.
type freePorts map[string]string

var portPattern = regexp.MustCompile(`\b17[0-9]{3}\b`)

// The free ports lie below the system's ephemeral ports, so that no other listener or connection is given one between
// the check and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

// replace returns the text with every port replaced.
func (f freePorts) replace(c *qt.C, text string) string {
	return portPattern.ReplaceAllStringFunc(text, func(p string) string {
		for f[p] == "" {
			candidate := strconv.Itoa(firstPort + rand.IntN(lastPort-firstPort))
			if f.taken(candidate) {
				continue
			}
			l, err := net.Listen("tcp", "127.0.0.1:"+candidate)
			if err == nil {
				c.Assert(l.Close(), qt.IsNil)
				f[p] = candidate
			}
		}
		return f[p]
	})
}

// taken reports whether a port already replaces another one.
func (f freePorts) taken(candidate string) bool {
	for _, port := range f {
		if port == candidate {
			return true
		}
	}
	return false
}

// Guards against commands of the operations page that do not work with the binaries and the settings of examples/local.
func TestOperationsPage(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	build := exec.Command("go", "build", "-o", folder+"/bin/", "./cmd/...")
	out, err := build.CombinedOutput()
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))

	ports := freePorts{}
	files, err := filepath.Glob("examples/local/*.yaml")
	c.Assert(err, qt.IsNil)
	c.Assert(os.MkdirAll(folder+"/examples/local", 0o700), qt.IsNil)
	for _, f := range files {
		text, err := os.ReadFile(f)
		c.Assert(err, qt.IsNil)
		c.Assert(os.WriteFile(filepath.Join(folder, f), []byte(ports.replace(c, string(text))), 0o600), qt.IsNil)
	}
	script := ports.replace(c, shellBlocks(c, "docs/OPERATIONS.md"))
	got := runScript(c, folder, script)
	// Keys and ports differ from run to run.
	got = regexp.MustCompile(`mk-[\w-]+`).ReplaceAllString(got, "KEY")
	for fixed, free := range ports {
		got = strings.ReplaceAll(got, free, fixed)
	}
	goldie.New(t).Assert(t, "operations", []byte(got))
}

// runScript runs a script in its own process group, kills the processes that it leaves running and returns its output.
func runScript(c *qt.C, folder, script string) string {
	cmd := exec.Command("bash", "-eu", "-o", "pipefail", "-c", script)
	cmd.Dir = folder
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	c.Assert(cmd.Start(), qt.IsNil)
	kill := func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	timer := time.AfterFunc(scriptTimeout, kill)
	defer timer.Stop()
	defer kill()
	err := cmd.Wait()
	c.Assert(err, qt.IsNil, qt.Commentf("%s\n%s", &out, readLogs(folder)))
	return out.String()
}

// readLogs returns the logs of the processes that the script started.
func readLogs(folder string) string {
	var all strings.Builder
	files, _ := filepath.Glob(folder + "/examples/local/*.log")
	for _, f := range files {
		text, _ := os.ReadFile(f)
		all.Write(text)
	}
	return all.String()
}
