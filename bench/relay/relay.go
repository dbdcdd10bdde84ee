// Package relay injects network faults into TCP connections. A relay forwards
// bytes between two ends and can close connections, hold or delay bytes, or stop
// forwarding on the open connections only. Task: relay.go; one goroutine owns the
// set of connections and publishes the mode, and each connection has two
// goroutines of its own that forward its bytes.
package relay

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize = 1024
	bufferSize  = 32 << 10 // bytes
	dialTimeout = time.Second
)

// mode says how the relay treats connections and bytes. It is immutable;
// superseded is closed when another mode replaces it.
type mode struct {
	target       string
	disconnected bool          // close connections and refuse new ones
	hold         bool          // forward nothing, but close nothing
	delay        time.Duration // before each chunk is forwarded
	stalledUpTo  uint64        // connections up to this number never forward again
	superseded   chan struct{}
}

// Relay is a loopback address that forwards to another address.
type Relay struct {
	listener net.Listener
	mode     task.Snapshot[mode]
	mailbox  task.Mailbox[any]
}

type modeChange func(m *mode)

// Traffic counts what a relay has forwarded since its start.
type Traffic struct {
	Connections int
	In          int // bytes towards the target
	Out         int // bytes from the target
	Chunks      int // reads forwarded, in both directions
}

type forwarded struct {
	in    bool
	bytes int
}

type trafficRequest struct{ reply task.Reply[Traffic] }

type closed struct{ number uint64 }

type connection struct {
	number uint64
	client net.Conn
	done   chan struct{}
}

// New binds a relay to a loopback port. The relay closes each connection at once
// until SetTarget is called.
func New() (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("relay: %w", err)
	}
	return &Relay{
		listener: l,
		mode:     task.NewSnapshot(&mode{superseded: make(chan struct{})}),
		mailbox:  task.NewMailbox[any]("relay", mailboxSize),
	}, nil
}

// Address returns the bound address, host:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget sets the address to which new connections are forwarded.
func (r *Relay) SetTarget(address string) { r.changeMode(func(m *mode) { m.target = address }) }

// Disconnect closes every connection and refuses new ones.
func (r *Relay) Disconnect() { r.changeMode(func(m *mode) { m.disconnected = true }) }

// Hold stops forwarding without closing connections, like a network partition
// that drops packets.
func (r *Relay) Hold() { r.changeMode(func(m *mode) { m.hold = true }) }

// Delay delays each chunk of bytes by d.
func (r *Relay) Delay(d time.Duration) { r.changeMode(func(m *mode) { m.delay = d }) }

// StallOpenConnections stops forwarding on every open connection for good,
// without closing it. New connections work.
func (r *Relay) StallOpenConnections() { _ = r.mailbox.Post(stallOpen{}) }

type stallOpen struct{}

// Heal ends Disconnect, Hold and Delay. Stalled connections stay stalled.
func (r *Relay) Heal() {
	r.changeMode(func(m *mode) { m.disconnected, m.hold, m.delay = false, false, 0 })
}

// Traffic returns the counts so far.
func (r *Relay) Traffic(ctx context.Context) (Traffic, error) {
	return task.Ask(ctx, r.mailbox, func(reply task.Reply[Traffic]) any { return trafficRequest{reply} })
}

func (r *Relay) changeMode(c modeChange) { _ = r.mailbox.Post(c) }

// Run accepts connections and forwards their bytes until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	accepted := make(chan net.Conn)
	go r.accept(ctx, accepted)
	defer r.listener.Close()
	open := map[uint64]*connection{}
	var last uint64
	var traffic Traffic
	for {
		select {
		case <-ctx.Done():
			closeAll(open)
			return nil
		case client := <-accepted:
			if r.mode.Load().disconnected || r.mode.Load().target == "" {
				_ = client.Close()
				continue
			}
			last++
			traffic.Connections++
			c := &connection{number: last, client: client, done: make(chan struct{})}
			open[last] = c
			go r.forwardConnection(ctx, c)
		case m := <-r.mailbox.C():
			r.handle(m, open, last, &traffic)
		}
	}
}

func (r *Relay) handle(m any, open map[uint64]*connection, last uint64, traffic *Traffic) {
	switch m := m.(type) {
	case forwarded:
		traffic.add(m)
	case trafficRequest:
		m.reply.Answer(*traffic)
	case closed:
		delete(open, m.number)
	case stallOpen:
		r.publish(func(next *mode) { next.stalledUpTo = last })
	case modeChange:
		r.publish(m)
		if r.mode.Load().disconnected {
			closeAll(open)
		}
	}
}

func (t *Traffic) add(c forwarded) {
	t.Chunks++
	if c.in {
		t.In += c.bytes
	} else {
		t.Out += c.bytes
	}
}

func (r *Relay) publish(c modeChange) {
	old := r.mode.Load()
	next := *old
	next.superseded = make(chan struct{})
	c(&next)
	r.mode.Publish(&next)
	close(old.superseded)
}

func closeAll(open map[uint64]*connection) {
	for _, c := range open {
		_ = c.client.Close()
	}
}

func (r *Relay) accept(ctx context.Context, accepted chan<- net.Conn) {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		select {
		case accepted <- client:
		case <-ctx.Done():
			_ = client.Close()
			return
		}
	}
}

// forwardConnection dials the target for one accepted connection, forwards bytes
// both ways and closes both ends when one direction ends.
func (r *Relay) forwardConnection(ctx context.Context, c *connection) {
	defer func() {
		_ = c.client.Close()
		_ = r.mailbox.Send(ctx, closed{c.number})
	}()
	m, ok := r.awaitForwarding(ctx, c)
	if !ok {
		return
	}
	target, err := net.DialTimeout("tcp", m.target, dialTimeout)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = target.Close() })
	defer stop()
	ended := make(chan struct{}, 2)
	go r.copyBytes(ctx, c, target, c.client, ended)
	go r.copyBytes(ctx, c, c.client, target, ended)
	<-ended
	close(c.done)
	_ = c.client.Close()
	_ = target.Close()
	<-ended
}

func (r *Relay) copyBytes(ctx context.Context, c *connection, to, from net.Conn, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, bufferSize)
	for {
		n, readErr := from.Read(buf)
		m, ok := r.awaitForwarding(ctx, c)
		if !ok || !sleep(ctx, m.delay) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil || readErr != nil {
			return
		}
		_ = r.mailbox.Send(ctx, forwarded{in: from == c.client, bytes: n})
	}
}

// awaitForwarding waits until the mode allows forwarding bytes of c. It returns
// false if c or ctx ends first.
func (r *Relay) awaitForwarding(ctx context.Context, c *connection) (*mode, bool) {
	for {
		m := r.mode.Load()
		if !m.hold && c.number > m.stalledUpTo {
			return m, true
		}
		select {
		case <-m.superseded:
		case <-c.done:
			return nil, false
		case <-ctx.Done():
			return nil, false
		}
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
