package cli

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// keyFiles writes a self-signed certificate for 127.0.0.1 and its private key.
func keyFiles(t *testing.T) settings.TLS {
	t.Helper()
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	files := settings.TLS{CertificateFile: filepath.Join(folder, "cert.pem"), KeyFile: filepath.Join(folder, "key.pem")}
	files.AuthorityFile = files.CertificateFile
	for path, block := range map[string]*pem.Block{
		files.CertificateFile: {Type: "CERTIFICATE", Bytes: cert}, files.KeyFile: {Type: "PRIVATE KEY", Bytes: key},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return files
}

// TestClientCertificateAuthenticates checks that a client certificate signed by the
// configured authority authenticates an operator without a token, and that a
// call without a certificate or with one of another authority fails.
func TestClientCertificateAuthenticates(t *testing.T) {
	is := is.New(t)
	trusted, untrusted := keyFiles(t), keyFiles(t)
	c := startDaemonWith(t, func(s *settings.Settings) {
		s.OperatorsTLS = trusted
		s.Operators = settings.Operators{Auth: settings.AuthCertificate}
	})
	c.address, c.token = strings.Replace(c.address, "http:", "https:", 1), ""
	c.mustRun(t, "status", "-authority-file", trusted.AuthorityFile, "-certificate-file", trusted.CertificateFile, "-key-file", trusted.KeyFile)
	code, _, _ := c.run("status", "-authority-file", trusted.AuthorityFile)
	is.Equal(code, result.ExitNoAnswer)
	code, _, _ = c.run("status", "-authority-file", trusted.AuthorityFile, "-certificate-file", untrusted.CertificateFile, "-key-file", untrusted.KeyFile)
	is.Equal(code, result.ExitNoAnswer)
}
