// Package certifier builds the mutual TLS configuration of connections between the system's own processes from PEM
// files and reloads the files when they are replaced.
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

// Files holds the paths of a process's PEM files.
type Files struct {
	Certificate string
	Key         string
	Authority   string
}

// identity holds the certificate and the authorities loaded from the files, and the stamp of the files at that time.
// It is immutable.
type identity struct {
	certificate tls.Certificate
	authorities *x509.CertPool
	stamp       stamp
}

// Certifier presents the certificate of the process and verifies the certificates of its peers.
//
// It accepts any certificate that the authority issued, whatever address the certificate names: VMs are replaced at
// any time, and their addresses change with them. Lock rank: container.RankConnection.
type Certifier struct {
	files Files
	clock timer.Service
	log   *logger.Logger

	lock    container.Lock[container.Connection]
	current identity
	// failedStamp is the stamp of the last files that could not be loaded, so that the failure is logged only once.
	failedStamp stamp
}

// ErrAuthority means that a peer presented no valid certificate issued by the authority of this process.
var ErrAuthority = errors.New("certificate of another authority")

// NewCertifier loads the files. It fails when a file is unreadable, when the key does not match the certificate, or
// when the authority file contains no certificate.
func NewCertifier(files Files, clock timer.Service, log *logger.Logger) (*Certifier, error) {
	id, err := files.load()
	if err != nil {
		return nil, err
	}
	return &Certifier{files: files, clock: clock, log: log, current: id}, nil
}

// Server returns the TLS configuration of a listener. Each handshake uses the current files.
func (c *Certifier) Server() *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		ClientAuth:       tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return c.certificate(), nil },
		VerifyConnection: func(s tls.ConnectionState) error { return c.verify(s, x509.ExtKeyUsageClientAuth) },
		// A resumed session skips the certificate exchange, so it would stay valid after the authority is replaced.
		SessionTicketsDisabled: true,
	}
}

// Client returns the TLS configuration of outgoing connections. Each handshake uses the current files.
func (c *Certifier) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies the chain; the default verification of crypto/tls also requires the peer's address
		// in the certificate.
		InsecureSkipVerify:   true, //nolint:gosec // see above
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return c.certificate(), nil },
		VerifyConnection:     func(s tls.ConnectionState) error { return c.verify(s, x509.ExtKeyUsageServerAuth) },
	}
}

func (c *Certifier) certificate() *tls.Certificate {
	id := c.currentIdentity()
	return &id.certificate
}

// verify accepts a peer whose certificate was issued by the authority and permits the given key usage.
func (c *Certifier) verify(s tls.ConnectionState, usage x509.ExtKeyUsage) error {
	if len(s.PeerCertificates) == 0 {
		return fmt.Errorf("verify peer: %w: no certificate", ErrAuthority)
	}
	leaf := s.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, cert := range s.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	_, err := leaf.Verify(x509.VerifyOptions{
		Roots: c.currentIdentity().authorities, Intermediates: intermediates, CurrentTime: c.clock.Now(), KeyUsages: []x509.ExtKeyUsage{usage},
	})
	if err != nil {
		c.log.Emit(logger.PeerRefused, "subject", leaf.Subject.String(), "issuer", leaf.Issuer.String(), "error", err)
		return fmt.Errorf("verify peer: %w: %w", ErrAuthority, err)
	}
	return nil
}

// currentIdentity reloads the files if they have changed and returns the identity. If loading fails, the previous
// identity stays in use, because the files may be only partly replaced.
func (c *Certifier) currentIdentity() identity {
	now, err := c.files.stamp()
	c.lock.Lock()
	current, failed := c.current, c.failedStamp
	c.lock.Unlock()
	if err != nil || now == current.stamp || now == failed {
		return current
	}
	next, err := c.files.load()
	c.lock.Lock()
	defer c.lock.Unlock()
	if err != nil {
		if c.failedStamp != now {
			c.log.Emit(logger.CertificateUnreadable, "error", err)
		}
		c.failedStamp = now
		return c.current
	}
	c.current, c.failedStamp = next, stamp{}
	c.log.Emit(logger.CertificateReloaded, "certificate", c.files.Certificate)
	return next
}

// stamp detects changed files by their modification times and sizes, without reading them.
type stamp [3]fileStamp

type fileStamp struct {
	modTime time.Time
	size    int64
}

func (f Files) stamp() (stamp, error) {
	var s stamp
	for i, name := range []string{f.Certificate, f.Key, f.Authority} {
		info, err := os.Stat(name)
		if err != nil {
			return s, fmt.Errorf("check TLS file: %w", err)
		}
		s[i] = fileStamp{modTime: info.ModTime(), size: info.Size()}
	}
	return s, nil
}

// load takes the stamp before it reads the files, so that the next comparison detects a change made while reading.
func (f Files) load() (identity, error) {
	before, err := f.stamp()
	if err != nil {
		return identity{}, err
	}
	cert, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		return identity{}, fmt.Errorf("load certificate %s with key %s: %w", f.Certificate, f.Key, err)
	}
	authorityPEM, err := os.ReadFile(f.Authority)
	if err != nil {
		return identity{}, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return identity{}, fmt.Errorf("load authority: %s contains no PEM certificate", f.Authority)
	}
	return identity{certificate: cert, authorities: pool, stamp: before}, nil
}
