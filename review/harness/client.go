package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"
)

var attempts atomic.Uint64

// newAttemptID returns an id that no other client attempt has.
func newAttemptID() string { return fmt.Sprintf("a%08x", attempts.Add(1)) }

// client sends requests over one kept connection, one at a time.
type client struct {
	record  *record
	connect func() string // returns the address for a new connection
	conn    net.Conn
	reader  *bufio.Reader
	sent    int // requests on the connection
}

type call struct {
	kind, method, path, key, tenant string
	shard                           int
	deadline                        time.Duration
	body                            string
}

// send sends one request and waits for the answer, at most until its deadline. It
// returns the status, 0 if there is none.
func (c *client) send(q call) int {
	return c.sendWith(newAttemptID(), q)
}

func (c *client) sendWith(id string, q call) int {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.connect(), time.Second)
		if err != nil {
			return 0
		}
		c.conn, c.reader, c.sent = conn, bufio.NewReader(conn), 0
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\nX-Shard-Key: %d\r\nContent-Length: %d\r\n\r\n",
		q.method, q.path, hostName, id, q.deadline.Milliseconds(), q.key, q.shard, len(q.body))
	c.record.send(id, q.kind, q.tenant)
	c.sent++
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline))
	if _, err := io.WriteString(c.conn, head+q.body); err != nil {
		c.close()
		return 0
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		if c.sent > 1 && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.record.close(id)
		}
		c.close()
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		c.close()
		return 0
	}
	c.record.answer(id, resp.StatusCode, resp.Header.Get("X-Server-Signature") == signature(id), string(body))
	if resp.Close || strings.EqualFold(resp.Header.Get("Connection"), "close") {
		c.close()
	}
	return resp.StatusCode
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn, c.reader = nil, nil
	}
}
