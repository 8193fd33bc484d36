package stage

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/mimosalb/mimosalb/internal/standin/link"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// grace is the time from SIGTERM to SIGKILL.
const grace = 8 * time.Second

// Stage is a small deployment: the stand-ins of the platform and the processes of the project.
type Stage struct {
	Clock timer.Service
	Store *Store
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	// Program is the program of the deploy file.
	Program string
	// Bounds are lines of the table of bounds that replace the ones of the site, by name.
	Bounds map[string]string

	folder   string
	began    time.Time
	mutex    sync.Mutex
	record   *os.File
	cloud    string
	nodes    []*Node
	cleanups []func()
	// links lead from one process to another, by the name of the first and the address of the second; destinations holds the names of
	// the processes at these addresses.
	links        map[[2]string]*link.Link
	destinations map[string]string
}

// New returns a stage whose record is in a folder.
func New(caseFolder string) (*Stage, error) {
	folder, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseFolder, "record.txt")) //nolint:gosec // the folder of the case
	if err != nil {
		return nil, err
	}
	clock := timer.NewSystem()
	s := &Stage{
		Clock: clock, Store: NewStore(clock), Trouble: os.Getenv("TROUBLE") != "0", Program: "target/mimosalb-node", Bounds: map[string]string{},
		folder: folder, began: clock.Now(), record: record, links: map[[2]string]*link.Link{}, destinations: map[string]string{},
	}
	s.cleanups = append(s.cleanups, func() { _ = os.RemoveAll(folder) }, func() { _ = record.Close() })
	s.cloud, err = s.Serve("127.0.0.1", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.Log("cloud call=%s holder=%s fence=%s", r.URL.Path, r.Header.Get(Wire.Holder), r.Header.Get(Wire.Fence))
		w.WriteHeader(http.StatusOK)
	}))
	return s, err
}

// Log writes a line to the record.
func (s *Stage) Log(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, _ = fmt.Fprintf(s.record, "%8.3f %s\n", s.Clock.Now().Sub(s.began).Seconds(), line)
}

// Serve serves a handler on a free port of an address until the stage closes, and returns its address.
func (s *Stage) Serve(ip string, h http.Handler) (string, error) {
	address, _, err := s.serve(ip, h)
	return address, err
}

// serve is like Serve, and returns a function that ends the server before.
func (s *Stage) serve(ip string, h http.Handler) (address string, stop func(), err error) {
	return s.serveAt(net.JoinHostPort(ip, "0"), h)
}

// serveAt is like serve at a given address.
func (s *Stage) serveAt(at string, h http.Handler) (address string, stop func(), err error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", at)
	if err != nil {
		return "", nil, err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	stop = func() { _ = server.Close() }
	s.cleanups = append(s.cleanups, stop)
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	return l.Addr().String(), stop, nil
}

// Wait waits.
func (s *Stage) Wait(d time.Duration) { timer.Wait(context.Background(), s.Clock, d) }

// Until waits until a condition holds, and reports whether it did in time.
func (s *Stage) Until(d time.Duration, ok func() bool) bool {
	const period = 10 * time.Millisecond
	for end := s.Clock.Monotonic() + d; s.Clock.Monotonic() < end; s.Wait(period) {
		if ok() {
			return true
		}
	}
	return ok()
}

// bounds of the sites.
var bounds = map[string]string{
	"contact-ms": "4000", "ack-ms": "5000", "sync-s": "4.7", "drain-ms": "2500", "grace-s": "8", "loss-slack-ms": "200",
	"config-apply-ms": "2500", "rollback-slack-ms": "250", "skew-max-ms": "6000", "require-fence": "true", "lease-ms": "3000",
	"thaw-slack-ms": "300", "report-window-s": "5", "usage-late-s": "10", "recovery-s": "12", "pass-ms": "300", "finish-s": "10",
	"status-s": "120", "cancel-ms": "3000", "settle-ms": "1000",
}

// Start starts an entry or a controller with the settings of a small deployment.
func (s *Stage) Start(role, zone, region string, memoryMB int) (*Node, error) {
	n := &Node{
		Name: fmt.Sprintf("%s-%s-%d", role, zone, len(s.nodes)+1),
		IP:   fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()%128, os.Getpid()/128%250, len(s.nodes)+11),
	}
	if err := n.choosePorts(); err != nil {
		return nil, err
	}
	store, err := s.Serve("127.0.0.1", door{Store: s.Store, stage: s, node: n.Name})
	if err != nil {
		return nil, err
	}
	class, listen := "store", ""
	if role == "entry" {
		class, listen = "front", fmt.Sprintf("front = %q\nready = %q\n", n.Callers(), n.Ready())
	}
	var b strings.Builder
	for name, value := range bounds {
		if own, ok := s.Bounds[name]; ok {
			value = own
		}
		fmt.Fprintf(&b, "%s = %s\n", name, value)
	}
	text := fmt.Sprintf("node-name = %q\nrole = %q\nmachine-class = %q\nip = %q\nzone = %q\nregion = %q\nport-range = [%d,%d]\n"+
		"heartbeat-ms = 1200\n[zones]\nmacon = \"piedmont\"\nbeaufort = \"lowcountry\"\n[listen]\n%s[limits]\ncpu-share = 0.304\ncores = 1\n"+
		"memory-mb = %d\nmax-fds = 4100\n[bounds]\n%s[provider]\naddress = %q\nform = \"kv\"\nwrites-per-s = 400\nreads-per-s = 2000\n"+
		"history-s = 20\nvalue-bytes = 1048576\nttl-min-ms = 1000\n[cloud-api]\naddress = %q\nrate-per-s = 50.0\nduty-per-s = 50.0\n",
		n.Name, role, class, n.IP, zone, region, n.ports[2], n.ports[2]+15, listen, memoryMB, b.String(), store, s.cloud)
	file := filepath.Join(s.folder, n.Name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if n.output, err = os.Create(filepath.Join(s.folder, n.Name+".log")); err != nil {
		return nil, err
	}
	n.command, n.env, n.clock = []string{s.Program, "--metrics", "9464", role}, []string{"MIMOSALB_BOOT=" + file}, s.Clock
	s.mutex.Lock()
	s.destinations[n.address(peerPort)] = n.Name
	s.mutex.Unlock()
	s.nodes = append(s.nodes, n)
	s.cleanups = append(s.cleanups, n.Kill)
	return n, n.Start()
}

// linked returns a registration of a process as another process reads it: with the address of the link between them.
func (s *Stage) linked(from string, registration []byte) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for address, name := range s.destinations {
		if name == from || !bytes.Contains(registration, []byte(strconv.Quote(address))) {
			continue
		}
		key := [2]string{from, address}
		if s.links[key] == nil {
			l, err := link.NewLink(address)
			if err != nil {
				panic(err)
			}
			s.links[key] = l
			s.cleanups = append(s.cleanups, l.Close)
		}
		return bytes.ReplaceAll(registration, []byte(strconv.Quote(address)), []byte(strconv.Quote(s.links[key].Address())))
	}
	return registration
}

// CutOff partitions a process from all other processes of the system, or ends that.
func (s *Stage) CutOff(n *Node, cut bool) {
	s.Log("cut off %s from the other processes: %v", n.Name, cut)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for key, l := range s.links {
		if key[0] != n.Name && s.destinations[key[1]] != n.Name {
			continue
		}
		l.Set(link.Faults{DropRequests: cut, DropReplies: cut})
		if cut {
			l.Silence()
		} else {
			l.Cut()
		}
	}
}

// Restart stops a process by SIGTERM and starts it again at once.
func (s *Stage) Restart(n *Node) {
	s.Log("SIGTERM %s", n.Name)
	n.Stop()
	s.started(n)
}

// Output returns what a process has written.
func (s *Stage) Output(n *Node) string {
	data, _ := os.ReadFile(filepath.Join(s.folder, n.Name+".log")) // empty if there is none
	return string(data)
}

// Kill kills a process and starts it again at once.
func (s *Stage) Kill(n *Node) {
	s.Log("SIGKILL %s", n.Name)
	n.Kill()
	s.started(n)
}

func (s *Stage) started(n *Node) {
	if err := n.Start(); err != nil {
		s.Log("%v", err)
		return
	}
	s.Log("started %s", n.Name)
}

// AllReady waits until all entries are ready.
func (s *Stage) AllReady(d time.Duration) bool {
	return s.Until(d, func() bool {
		for _, n := range s.nodes {
			if strings.HasPrefix(n.Name, "entry") {
				if a := s.Do(n.Ready(), http.MethodGet, "/-/ready", nil, nil, time.Second); a.Status != http.StatusOK {
					return false
				}
			}
		}
		return true
	})
}

// Close ends everything that the stage has started.
func (s *Stage) Close() {
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

// Finish writes the verdict to the record, closes the stage and returns the exit code.
func (s *Stage) Finish(broken []string) int {
	code := Held
	for _, b := range broken {
		code = Broken
		s.Log("BROKEN %s", b)
		_, _ = fmt.Println("broken:", b)
	}
	if code == Held {
		s.Log("held")
		_, _ = fmt.Println("held")
	}
	s.Close()
	return code
}

// Fail reports that the case could not run, closes the stage and returns the exit code.
func (s *Stage) Fail(why string) int {
	s.Log("NOT RUN %s", why)
	_, _ = fmt.Println("not run:", why)
	for _, n := range s.nodes {
		_, _ = fmt.Println(n.Name, s.Output(n))
	}
	s.Close()
	return NotRun
}
