package certifier_test

import (
	"bytes"
	"context"
	"errors"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/certifier"
	"github.com/mimosalb/mimosalb/internal/adapter/rpcclient"
	"github.com/mimosalb/mimosalb/internal/demonstrator"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/runner"
	"github.com/mimosalb/mimosalb/internal/timer"
	"github.com/mimosalb/mimosalb/pkg/loader"
)

// logBuffer collects the log lines of a process.
type logBuffer struct {
	mu  sync.Mutex
	out bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.out.Write(p)
}

func (b *logBuffer) count(event string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.out.String(), event)
}

// startAgent starts an agent that requires peer certificates issued by the authority in files. It returns the agent's
// address for peers and its log.
func startAgent(c *qt.C, files certifier.Files) (string, *logBuffer) {
	log := &logBuffer{}
	agent, err := runner.StartAgent(loader.Settings{
		Name: "agent", Zone: "macon", Region: "south", Peers: "127.0.0.1:0",
		TLS:    loader.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority},
		Target: loader.Target{Name: "m-1", Service: "matcher", Kind: "model", Address: "http://127.0.0.1:1"},
	}, logger.NewLogger("agent", "info", log))
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { c.Check(agent.Stop(context.Background()), qt.IsNil) })
	return agent.Peers, log
}

// report calls the agent's Report method over a new connection.
func report(address string, opts ...rpcclient.Option) error {
	clock := timer.NewSystem()
	defer clock.Close()
	client := rpcclient.NewClient(clock, opts...)
	defer client.Close()
	_, err := client.Report(context.Background(), address)
	return err
}

// withCertificate returns a client option that uses the certificate in files, and the log of its certifier.
func withCertificate(c *qt.C, files certifier.Files) (rpcclient.Option, *logBuffer) {
	log := &logBuffer{}
	clock := timer.NewSystem()
	c.Cleanup(clock.Close)
	cert, err := certifier.NewCertifier(files, clock, logger.NewLogger("client", "info", log))
	c.Assert(err, qt.IsNil)
	return rpcclient.WithTLS(cert.Client()), log
}

// Guards against an agent that serves a peer without a valid certificate of its authority, and against a refusal that
// is not logged.
func TestOnlyPeersOfTheAuthorityAreServed(t *testing.T) {
	c := qt.New(t)
	own, other := newAuthority(c, "own"), newAuthority(c, "other")
	end := time.Now().Add(time.Hour)
	address, log := startAgent(c, own.issue(c.TempDir(), "agent", end))

	peer, _ := withCertificate(c, own.issue(c.TempDir(), "entry", end))
	c.Assert(report(address, peer), qt.IsNil)
	c.Assert(log.count("E1007"), qt.Equals, 0)

	c.Assert(report(address), qt.IsNotNil, qt.Commentf("plain text"))

	// The client accepts the agent's certificate, but the agent rejects the client's.
	files := other.issue(c.TempDir(), "stranger", end)
	files.Authority = own.issue(c.TempDir(), "unused", end).Authority
	stranger, _ := withCertificate(c, files)
	c.Assert(report(address, stranger), qt.IsNotNil)
	c.Assert(log.count("E1007"), qt.Equals, 1)

	expired, _ := withCertificate(c, own.issue(c.TempDir(), "expired", time.Now().Add(-time.Minute)))
	c.Assert(report(address, expired), qt.IsNotNil)
	c.Assert(log.count("E1007"), qt.Equals, 2)
}

// Guards against an entry that sends requests to an agent whose certificate was issued by another authority.
func TestClientRefusesForeignAgent(t *testing.T) {
	c := qt.New(t)
	own, other := newAuthority(c, "own"), newAuthority(c, "other")
	end := time.Now().Add(time.Hour)
	address, _ := startAgent(c, other.issue(c.TempDir(), "agent", end))
	peer, log := withCertificate(c, own.issue(c.TempDir(), "entry", end))
	err := report(address, peer)
	c.Assert(errors.Is(err, certifier.ErrAuthority), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(errors.Is(err, rpcclient.ErrUnsent), qt.IsTrue)
	c.Assert(log.count("E1007"), qt.Equals, 1)
}

// Guards against a process that must restart to use replaced files, and against one that refuses its peers while the
// files are only partly replaced.
func TestReplacedFilesAreReloaded(t *testing.T) {
	c := qt.New(t)
	before, after := newAuthority(c, "before"), newAuthority(c, "after")
	end := time.Now().Add(time.Hour)
	folder := c.TempDir()
	files := before.issue(folder, "agent", end)
	address, log := startAgent(c, files)
	old, _ := withCertificate(c, before.issue(c.TempDir(), "entry", end))
	next, _ := withCertificate(c, after.issue(c.TempDir(), "entry", end))
	c.Assert(report(address, old), qt.IsNil)

	key, err := os.ReadFile(files.Key)
	c.Assert(err, qt.IsNil)
	c.Assert(os.WriteFile(files.Key, []byte("half"), 0o600), qt.IsNil)
	c.Assert(report(address, old), qt.IsNil)
	c.Assert(report(address, old), qt.IsNil)
	c.Assert(log.count("E1006"), qt.Equals, 1)
	c.Assert(os.WriteFile(files.Key, key, 0o600), qt.IsNil)

	after.issue(folder, "agent", end)
	c.Assert(report(address, next), qt.IsNil)
	c.Assert(log.count("E1005") >= 1, qt.IsTrue)
	c.Assert(report(address, old), qt.IsNotNil)
}

// Guards against a process that starts in plain text when a TLS file is missing.
func TestMissingFileFailsTheStart(t *testing.T) {
	c := qt.New(t)
	files := newAuthority(c, "own").issue(c.TempDir(), "agent", time.Now().Add(time.Hour))
	c.Assert(os.Remove(files.Authority), qt.IsNil)
	_, err := runner.StartAgent(loader.Settings{
		Peers: "127.0.0.1:0", TLS: loader.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority},
	}, nil)
	c.Assert(err, qt.ErrorMatches, "set up TLS: .*")
}

// Guards against a hop between caller and target that fails over TLS.
func TestDemonstrationOverTLS(t *testing.T) {
	c := qt.New(t)
	files := newAuthority(c, "own").issue(c.TempDir(), "node", time.Now().Add(time.Hour))
	plan := demonstrator.DefaultPlan()
	plan.TLS = loader.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}
	log := &logBuffer{}
	d, err := demonstrator.NewDeployment(plan, log)
	c.Assert(err, qt.IsNil)
	defer func() { c.Check(d.Close(), qt.IsNil) }()
	s := &demonstrator.Session{Deployment: d, Client: demonstrator.NewClient(d), Keys: make(map[string]string)}
	defer s.Client.Close()
	for _, step := range demonstrator.Steps() {
		_, err := step.Run(context.Background(), s)
		c.Assert(err, qt.IsNil, qt.Commentf(step.Name()))
	}
	c.Assert(log.count("E1004"), qt.Equals, 0)
	c.Assert(log.count("E1007"), qt.Equals, 0)
}
