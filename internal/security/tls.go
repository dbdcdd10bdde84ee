package security

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// handshakeTimeout limits the TLS handshake of an outgoing connection.
const handshakeTimeout = 2 * time.Second

// ClientPolicy defines whether a listener requires a client certificate.
type ClientPolicy = tls.ClientAuthType

// Client policies. A certificate that a client presents must always be valid.
const (
	CertificateRequired ClientPolicy = tls.RequireAndVerifyClientCert
	CertificateOptional ClientPolicy = tls.VerifyClientCertIfGiven
)

// DialFunc opens a connection as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Listener accepts TLS connections on l. Each handshake uses the current keys.
// Session resumption is disabled, so that each connection verifies the client's
// certificate against the current authorities.
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

// Dial returns a function that opens a connection with next and performs a TLS
// handshake on it. The server's certificate must be valid for the dialed host.
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
		tlsConn := tls.Client(conn, &tls.Config{
			MinVersion:   tls.VersionTLS13,
			Certificates: []tls.Certificate{k.certificate},
			RootCAs:      k.authorities,
			ServerName:   host,
		})
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, err
		}
		return tlsConn, nil
	}
}
