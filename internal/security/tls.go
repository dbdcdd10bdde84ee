package security

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// handshakeTimeout bounds a client's handshake.
const handshakeTimeout = 2 * time.Second

// ClientPolicy says which clients a listener takes.
type ClientPolicy = tls.ClientAuthType

// The policies of listeners. A certificate that is shown must always be valid.
const (
	CertificateRequired ClientPolicy = tls.RequireAndVerifyClientCert
	CertificateOptional ClientPolicy = tls.VerifyClientCertIfGiven
)

// DialFunc opens a connection as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Listener accepts TLS connections on l. Each handshake uses the keys in force.
// Sessions are not resumed: each connection proves its certificate anew.
func (t *Task) Listener(l net.Listener, policy ClientPolicy) net.Listener {
	return tls.NewListener(l, &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			k := t.keys.Load()
			return &tls.Config{
				MinVersion:             tls.VersionTLS13,
				Certificates:           []tls.Certificate{k.certificate},
				ClientAuth:             policy,
				ClientCAs:              k.authorities,
				SessionTicketsDisabled: true,
			}, nil
		},
	})
}

// Dial returns a function that opens TLS connections over those of next. The
// other side's certificate must name the host that was dialled.
func (t *Task) Dial(next DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		conn, err := next(ctx, network, address)
		if err != nil {
			return nil, err
		}
		k := t.keys.Load()
		secure := tls.Client(conn, &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{k.certificate},
			RootCAs:      k.authorities,
			ServerName:   host,
		})
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return secure, nil
	}
}
