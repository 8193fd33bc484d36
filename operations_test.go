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

// scriptLimit bounds the run of a page's commands.
const scriptLimit = 2 * time.Minute

// blocks returns the sh blocks of a page as one script.
func blocks(c *qt.C, page string) string {
	text, err := os.ReadFile(page)
	c.Assert(err, qt.IsNil)
	var script strings.Builder
	for _, m := range regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllSubmatch(text, -1) {
		script.Write(m[1])
	}
	return script.String()
}

// freePorts replaces every port of the page and the settings by a free one, since other tests run on the machine.
type freePorts map[string]string

var port = regexp.MustCompile(`\b17[0-9]{3}\b`)

// The free ports lie below those that the system gives to listeners and connections that ask for any, so that no other
// test takes one between the check and its use.
const (
	firstPort = 20000
	lastPort  = 32000
)

func (f freePorts) replace(c *qt.C, text string) string {
	return port.ReplaceAllStringFunc(text, func(p string) string {
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

// taken reports whether a port stands for another one already.
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
	script := ports.replace(c, blocks(c, "docs/OPERATIONS.md"))
	got := runScript(c, folder, script)
	// What differs from run to run.
	got = regexp.MustCompile(`mk-[\w-]+`).ReplaceAllString(got, "KEY")
	for was, now := range ports {
		got = strings.ReplaceAll(got, now, was)
	}
	goldie.New(t).Assert(t, "operations", []byte(got))
}

// runScript runs a script in a process group of its own and ends what it leaves behind.
func runScript(c *qt.C, folder, script string) string {
	cmd := exec.Command("bash", "-eu", "-o", "pipefail", "-c", script)
	cmd.Dir = folder
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	c.Assert(cmd.Start(), qt.IsNil)
	end := func() { _ = syscall.Kill(-cmd.Process.Pid, syscall.SIGKILL) }
	limit := time.AfterFunc(scriptLimit, end)
	defer limit.Stop()
	defer end()
	err := cmd.Wait()
	c.Assert(err, qt.IsNil, qt.Commentf("%s\n%s", &out, logs(folder)))
	return out.String()
}

func logs(folder string) string {
	var all strings.Builder
	files, _ := filepath.Glob(folder + "/examples/local/*.log")
	for _, f := range files {
		text, _ := os.ReadFile(f)
		all.Write(text)
	}
	return all.String()
}
