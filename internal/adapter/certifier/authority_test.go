package certifier_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/mimosalb/mimosalb/internal/adapter/certifier"
)

// authority is a test certificate authority with a self-signed certificate.
type authority struct {
	c    *qt.C
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
}

func newAuthority(c *qt.C, name string) *authority {
	a := &authority{c: c}
	a.key = newKey(c)
	a.cert = a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign, NotAfter: time.Now().Add(time.Hour),
	}, a.key, nil)
	return a
}

func newKey(c *qt.C) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	return key
}

func (a *authority) sign(template *x509.Certificate, key *ecdsa.PrivateKey, parent *x509.Certificate) *x509.Certificate {
	if parent == nil {
		parent = template
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	a.c.Assert(err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	a.c.Assert(err, qt.IsNil)
	return cert
}

// issue writes a certificate that is valid until end, its key and the authority's certificate into folder.
func (a *authority) issue(folder, name string, end time.Time) certifier.Files {
	files := certifier.Files{
		Certificate: filepath.Join(folder, "cert.pem"), Key: filepath.Join(folder, "key.pem"), Authority: filepath.Join(folder, "ca.pem"),
	}
	key := newKey(a.c)
	cert := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name}, NotAfter: end,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key, a.cert)
	der, err := x509.MarshalECPrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	a.write(files.Certificate, "CERTIFICATE", cert.Raw)
	a.write(files.Key, "EC PRIVATE KEY", der)
	a.write(files.Authority, "CERTIFICATE", a.cert.Raw)
	return files
}

// lastModTime gives each written file a distinct modification time: two writes within the resolution of the file
// system could otherwise get the same one.
var lastModTime = time.Now()

func (a *authority) write(file, kind string, der []byte) {
	a.c.Assert(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600), qt.IsNil)
	lastModTime = lastModTime.Add(time.Second)
	a.c.Assert(os.Chtimes(file, lastModTime, lastModTime), qt.IsNil)
}
