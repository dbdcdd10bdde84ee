// Package witness proves, for a request over HTTP/1.1, whether any byte of it
// can have left this process. It is an edge: a connection that marks writes, and
// a trace that http.Transport calls.
package witness

import (
	"context"
	"net"
	"net/http/httptrace"
	"time"
)

// DialTimeout bounds the time to make a connection.
const DialTimeout = time.Second

// conn is a connection that remembers whether anything was written to it since
// it was handed to a request. HTTP/1.1 has one request at a time on it.
type conn struct {
	net.Conn
	sent chan struct{} // holds one element once a write began
}

// Write leaves the mark before the first byte can leave.
func (c *conn) Write(b []byte) (int, error) {
	select {
	case c.sent <- struct{}{}:
	default:
	}
	return c.Conn.Write(b)
}

// handOver clears the mark for the next request.
func (c *conn) handOver() {
	select {
	case <-c.sent:
	default:
	}
}

// untouched closes the connection and reports whether no byte of the request
// left and none can leave any more.
func (c *conn) untouched() bool {
	_ = c.Close()
	select {
	case <-c.sent:
		return false
	default:
		return true
	}
}

// Dial makes the connections of an http.Transport whose requests are traced.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := NewDialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, sent: make(chan struct{}, 1)}, nil
}

// Witness follows one request. Its zero value has seen nothing.
type Witness struct {
	conn    *conn
	handed  bool // the request was handed to a connection
	unknown bool // to several, or to one without a mark
}

// Trace returns a context with which http.Transport reports to w. The transport
// calls back on the goroutine of RoundTrip.
func (w *Witness) Trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: w.gotConn})
}

func (w *Witness) gotConn(info httptrace.GotConnInfo) {
	c, ok := marked(info.Conn)
	w.unknown = w.unknown || w.handed || !ok
	w.handed, w.conn = true, c
	if ok {
		c.handOver()
	}
}

// marked finds the marking connection, also below TLS.
func marked(c net.Conn) (*conn, bool) {
	if over, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = over.NetConn()
	}
	m, ok := c.(*conn)
	return m, ok
}

// Connected reports whether the request was handed to a connection.
func (w *Witness) Connected() bool { return w.handed }

// NotSent reports whether it is proved that no byte of the request left. It is
// called once RoundTrip has failed, and closes the connection.
func (w *Witness) NotSent() bool {
	if !w.handed {
		return true
	}
	return !w.unknown && w.conn.untouched()
}

// Drop closes the connection, so that it serves no other request.
func (w *Witness) Drop() {
	if w.conn != nil {
		_ = w.conn.Close()
	}
}
