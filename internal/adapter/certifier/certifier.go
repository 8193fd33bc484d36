// Package certifier makes the mutual TLS of the system's own processes from files and follows the files when they are
// replaced.
package certifier

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/mimosalb/mimosalb/internal/container"
	"github.com/mimosalb/mimosalb/internal/logger"
	"github.com/mimosalb/mimosalb/internal/timer"
)

// Files name the PEM files of a process.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// identity is what one state of the files holds. It is immutable.
type identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	stamp       stamp
}

// Certifier holds the identity of the process and checks the identity of its peers.
//
// Any certificate of the authority is accepted, whatever address it names: VMs are replaced at any time and their
// addresses with them. Lock rank: container.RankConnection.
type Certifier struct {
	files Files
	clock timer.Service
	log   *logger.Logger

	lock    container.Lock[container.Connection]
	current identity
	// failed is the state of the files that could not be read, so that it is reported once.
	failed stamp
}

// ErrAuthority means that a peer's certificate is not of the process's authority.
var ErrAuthority = errors.New("certificate of another authority")

// NewCertifier reads the files. It fails when they do not fit together.
func NewCertifier(files Files, clock timer.Service, log *logger.Logger) (*Certifier, error) {
	id, err := files.load()
	if err != nil {
		return nil, err
	}
	return &Certifier{files: files, clock: clock, log: log, current: id}, nil
}

// Server returns the settings of a listener. They follow the files.
func (c *Certifier) Server() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.certificate(), nil },
		VerifyConnection: func(s tls.ConnectionState) error { return c.verify(s, x509.ExtKeyUsageClientAuth) },
		// A resumed session would skip the exchange of certificates and so outlive a replaced authority.
		SessionTicketsDisabled: true,
	}
}

// Client returns the settings of outgoing connections. They follow the files.
func (c *Certifier) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection checks the chain; the library's own check would also demand the peer's address in the
		// certificate.
		InsecureSkipVerify:   true, //nolint:gosec // see above
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.certificate(), nil },
		VerifyConnection:     func(s tls.ConnectionState) error { return c.verify(s, x509.ExtKeyUsageServerAuth) },
	}
}

func (c *Certifier) certificate() *tls.Certificate {
	id := c.identity()
	return &id.certificate
}

// verify accepts a peer whose certificate is of the authority and may be used as a server or client.
func (c *Certifier) verify(s tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(s.PeerCertificates) == 0 {
		return fmt.Errorf("verify peer: %w: no certificate", ErrAuthority)
	}
	leaf := s.PeerCertificates[0]
	between := x509.NewCertPool()
	for _, cert := range s.PeerCertificates[1:] {
		between.AddCert(cert)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: c.identity().authorities, Intermediates: between, CurrentTime: c.clock.Now(), KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		c.log.Emit(logger.PeerRefused, "subject", leaf.Subject.String(), "issuer", leaf.Issuer.String(), "error", err)
		return fmt.Errorf("verify peer: %w: %w", ErrAuthority, err)
	}
	return nil
}

// identity returns the identity of the files as they are now. Files that do not fit together leave the present one in
// use: they may be half replaced.
func (c *Certifier) identity() identity {
	now, err := c.files.stamp()
	c.lock.Lock()
	present, failed := c.current, c.failed
	c.lock.Unlock()
	if err != nil || now == present.stamp || now == failed {
		return present
	}
	next, err := c.files.load()
	c.lock.Lock()
	defer c.lock.Unlock()
	if err != nil {
		if c.failed != now {
			c.log.Emit(logger.CertificateUnreadable, "error", err)
		}
		c.failed = now
		return c.current
	}
	c.current, c.failed = next, stamp{}
	c.log.Emit(logger.CertificateReloaded, "certificate", c.files.Certificate)
	return next
}

// stamp tells states of the files apart without reading them.
type stamp [3]fileStamp

type fileStamp struct {
	changed time.Time
	size    int64
}

func (f Files) stamp() (stamp, error) {
	var s stamp
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return s, fmt.Errorf("look at certificate: %w", err)
		}
		s[i] = fileStamp{changed: info.ModTime(), size: info.Size()}
	}
	return s, nil
}

// load takes the stamp before it reads, so that a change in between is noticed at the next look.
func (f Files) load() (identity, error) {
	at, err := f.stamp()
	if err != nil {
		return identity{}, err
	}
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return identity{}, fmt.Errorf("load certificate: %w", err)
	}
	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return identity{}, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return identity{}, fmt.Errorf("load authority: %s holds no certificate", f.Authority)
	}
	return identity{certificate: cert, authorities: pool, stamp: at}, nil
}
