package security

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

var farFuture = time.Date(2200, 1, 1, 0, 0, 0, 0, time.UTC)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true,
		BasicConstraintsValid: true, NotAfter: farFuture, KeyUsage: x509.KeyUsageCertSign,
	}
	a.cert, a.key = a.sign(template, nil)
	return a
}

func (a *authority) sign(template *x509.Certificate, by *authority) (*x509.Certificate, *ecdsa.PrivateKey) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		a.t.Fatal(err)
	}
	parent, signer := template, key
	if by != nil {
		parent, signer = by.cert, by.key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		a.t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		a.t.Fatal(err)
	}
	return cert, key
}

// issue writes the key files of a VM with the address 127.0.0.1 to folder.
func (a *authority) issue(folder string) Files {
	cert, key := a.sign(&x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: "vm"}, NotAfter: farFuture,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, a)
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	f := Files{filepath.Join(folder, "cert.pem"), filepath.Join(folder, "key.pem"), filepath.Join(folder, "ca.pem")}
	for path, block := range map[string]*pem.Block{
		f.Certificate: {Type: "CERTIFICATE", Bytes: cert.Raw},
		f.Key:         {Type: "PRIVATE KEY", Bytes: der},
		f.Authority:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			a.t.Fatal(err)
		}
	}
	return f
}

// connect connects client to a listener of server and reads one byte.
func connect(t *testing.T, server, client *Task) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tlsListener := server.Listener(l, CertificateRequired)
	defer tlsListener.Close()
	go func() {
		if c, err := tlsListener.Accept(); err == nil {
			_, _ = c.Write([]byte("x"))
			c.Close()
		}
	}()
	c, err := client.Dial(new(net.Dialer).DialContext)(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		return err
	}
	defer c.Close()
	_, err = io.ReadFull(c, make([]byte, 1))
	return err
}

func newTask(t *testing.T, f Files) *Task {
	task, err := NewTask(f, func(error) {})
	if err != nil {
		t.Fatal(err)
	}
	return task
}

// TestOnlyTheSameAuthorityConnects checks that clients and servers reject a
// certificate that another authority signed.
func TestOnlyTheSameAuthorityConnects(t *testing.T) {
	is := is.New(t)
	ours, theirs := newAuthority(t), newAuthority(t)
	a, b := newTask(t, ours.issue(t.TempDir())), newTask(t, ours.issue(t.TempDir()))
	otherServer := newTask(t, theirs.issue(t.TempDir()))
	is.NoErr(connect(t, a, b))
	is.True(connect(t, otherServer, a) != nil) // the client refuses the server
	mixed := ours.issue(t.TempDir())
	untrusted := theirs.issue(t.TempDir())
	mixed.Certificate, mixed.Key = untrusted.Certificate, untrusted.Key
	is.True(connect(t, a, newTask(t, mixed)) != nil) // the server refuses the client
}

// TestReloadWithoutRestart checks that replaced key files take effect without a
// restart, and that the previous keys remain in use while the files are invalid.
func TestReloadWithoutRestart(t *testing.T) {
	is := is.New(t)
	first, second := newAuthority(t), newAuthority(t)
	folder := t.TempDir()
	files := first.issue(folder)
	_, err := NewTask(Files{files.Certificate, files.Key, files.Key}, nil)
	is.True(err != nil) // no authority
	newClient := newTask(t, second.issue(t.TempDir()))
	synctest.Test(t, func(t *testing.T) {
		var reported error
		server, err := NewTask(files, func(err error) { reported = errors.Join(reported, err) })
		is.NoErr(err)
		go func() { _ = server.Serve(t.Context()) }()
		before := server.keys.Load()
		is.NoErr(os.WriteFile(files.Key, []byte("half"), 0o600))
		time.Sleep(2 * reloadPeriod)
		synctest.Wait()
		is.Equal(server.keys.Load(), before)
		is.True(reported != nil)
		second.issue(folder)
		time.Sleep(2 * reloadPeriod)
		synctest.Wait()
		is.True(server.keys.Load() != before)
	})
	is.NoErr(connect(t, newTask(t, files), newClient))
}
