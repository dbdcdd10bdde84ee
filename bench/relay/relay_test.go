package relay

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestStalledConnectionsStayStalled checks that StallOpenConnections stops
// forwarding on open connections for good, without closing them, while new
// connections work. The
// fuzz plans rely on this fault.
func TestStalledConnectionsStayStalled(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer echo.Close()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	r, err := New()
	is.NoErr(err)
	done := make(chan error, 1)
	go func() { done <- r.Run(ctx) }()
	r.SetTarget(echo.Addr().String())

	old := dialUntilEcho(t, r.Address())
	r.StallOpenConnections()
	r.Heal() // the mailbox keeps the order: once a new connection echoes, the stall has taken effect
	fresh := dialUntilEcho(t, r.Address())
	defer fresh.Close()
	_, err = old.Write([]byte("late\n"))
	is.NoErr(err)
	is.NoErr(old.SetReadDeadline(time.Now().Add(50 * time.Millisecond)))
	_, err = old.Read(make([]byte, 1))
	is.True(err != nil) // the read timed out; the connection was not closed
	is.True(!errors.Is(err, io.EOF))
	cancel()
	is.NoErr(<-done)
}

func dialUntilEcho(t *testing.T, address string) net.Conn {
	t.Helper()
	for {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte("hello\n"))
		if line, err := bufio.NewReader(c).ReadString('\n'); err == nil && line == "hello\n" {
			return c
		}
		c.Close()
	}
}
