// Package witness determines whether any byte of an HTTP/1.1 request may have
// been sent. A failed request of which no byte was sent has not run and can be
// retried. The package wraps connections to record writes, and uses a trace of
// http.Transport to learn which connection carried a request.
package witness

import (
	"context"
	"net"
	"net/http/httptrace"
	"time"
)

// DialTimeout limits the time to establish a connection.
const DialTimeout = time.Second

// conn records whether anything was written to the connection since it was
// assigned to its current request. HTTP/1.1 carries one request at a time.
type conn struct {
	net.Conn
	sent chan struct{} // holds one element once a write has begun
}

// Write records the write before it passes any byte to the connection.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case c.sent <- struct{}{}:
	default:
	}
	return c.Conn.Write(b)
}

// resetSent clears the record of writes for the next request.
func (c *conn) resetSent() {
	select {
	case <-c.sent:
	default:
	}
}

// closeUnsent closes the connection, so that no more bytes can be sent, and
// reports whether no byte of the request was sent.
func (c *conn) closeUnsent() bool {
	_ = c.Close()
	select {
	case <-c.sent:
		return false
	default:
		return true
	}
}

// Dial is the DialContext of an http.Transport whose requests are traced.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := NewDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, sent: make(chan struct{}, 1)}, nil
}

// SendTracker tracks whether one request was sent. Its zero value is ready for
// use.
type SendTracker struct {
	conn      *conn
	connected bool // the request was assigned to a connection
	untracked bool // assigned to several connections, or to one that does not record writes
}

// Trace returns a context with which http.Transport reports to t the connection
// of the request. It does so on the goroutine that called RoundTrip.
func (t *SendTracker) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *SendTracker) gotConn(info httptrace.GotConnInfo) {
	c, ok := recordingConn(info.Conn)
	t.untracked = t.untracked || t.connected || !ok
	t.connected, t.conn = true, c
	if ok {
		c.resetSent()
	}
}

// recordingConn returns the conn that records writes, also if TLS wraps it.
func recordingConn(c net.Conn) (*conn, bool) {
	if wrapper, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = wrapper.NetConn()
	}
	m, ok := c.(*conn)
	return m, ok
}

// Connected reports whether the request was assigned to a connection.
func (t *SendTracker) Connected() bool { return t.connected }

// NotSent reports whether it is certain that no byte of the request was sent. It
// must be called only after RoundTrip has failed, and closes the connection.
func (t *SendTracker) NotSent() bool {
	if !t.connected {
		return true
	}
	return !t.untracked && t.conn.closeUnsent()
}

// CloseConn closes the request's connection, so that it is not reused.
func (t *SendTracker) CloseConn() {
	if t.conn != nil {
		_ = t.conn.Close()
	}
}
