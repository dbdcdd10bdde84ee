package daemon

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// selfSigned writes a self-signed certificate for 127.0.0.1, which is its own
// authority, and its key.
func selfSigned(t *testing.T) settings.TLS {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC),
		IsCA: true, BasicConstraintsValid: true, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, public, private)
	if err != nil {
		t.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	cert, keyFile := filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	for path, block := range map[string]*pem.Block{
		cert: {Type: "CERTIFICATE", Bytes: der}, keyFile: {Type: "PRIVATE KEY", Bytes: key},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return settings.TLS{CertificateFile: cert, KeyFile: keyFile, AuthorityFile: cert}
}

// TestInnerListenerRequiresCertificates checks that daemons with inner TLS form
// a registry and distribute the configuration, and that their inner listeners
// refuse plain HTTP and clients without a certificate.
func TestInnerListenerRequiresCertificates(t *testing.T) {
	is := is.New(t)
	keys := selfSigned(t)
	f := newTestCluster(t, 4, func(s *settings.Settings) { s.InnerTLS = keys })
	defer f.stopAll()
	s, err := f.daemons[3].registry.Propose(t.Context(), workspace("a", 1))
	is.NoErr(err)
	f.awaitVersion(s.Version)
	resp, err := http.Get("http://" + f.daemons[0].InnerAddress() + "/")
	if err == nil {
		is.Equal(resp.StatusCode, http.StatusBadRequest) // "client sent an HTTP request to an HTTPS server"
		resp.Body.Close()
	}
	client := &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{InsecureSkipVerify: true}, // the server must refuse, not this client
	}}
	_, err = client.Get("https://" + f.daemons[0].InnerAddress() + "/")
	is.True(err != nil) // no certificate
}
