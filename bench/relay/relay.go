// Package relay is a fault between two ends of a TCP connection: it passes
// bytes on and can cut, hold or delay them, or let open connections go silent
// for good. Task: relay.go; one goroutine owns the set of connections and
// publishes the mode, each connection is carried by two goroutines of its own.
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

// mode is what the relay does to bytes. It is immutable; superseded closes when
// another takes its place.
type mode struct {
	target     string
	cut        bool          // refuse and close
	hold       bool          // pass nothing on, close nothing
	delay      time.Duration // added to each chunk
	silentUpTo uint64        // connections up to this number pass nothing, for good
	superseded chan struct{}
}

// Relay is one address in front of another.
type Relay struct {
	listener net.Listener
	mode     task.Snapshot[mode]
	mailbox  task.Mailbox[any]
}

type change func(m *mode)

// Traffic counts what a relay carried since its start.
type Traffic struct {
	Connections int
	In          int // bytes towards the target
	Out         int // bytes from the target
	Chunks      int // reads of a connection in either direction
}

type carried struct {
	in    bool
	bytes int
}

type trafficQuestion struct{ reply task.Reply[Traffic] }

type closed struct{ number uint64 }

type connection struct {
	number uint64
	near   net.Conn
	done   chan struct{}
}

// New binds a relay to a loopback port. It refuses connections until SetTarget.
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

// Address is the bound address, host:port.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// SetTarget sets the address to which new connections go.
func (r *Relay) SetTarget(address string) { r.tell(func(m *mode) { m.target = address }) }

// Cut closes every connection and refuses new ones.
func (r *Relay) Cut() { r.tell(func(m *mode) { m.cut = true }) }

// Hold passes nothing on and closes nothing, as a silent partition does.
func (r *Relay) Hold() { r.tell(func(m *mode) { m.hold = true }) }

// Delay adds d to the way of each chunk of bytes.
func (r *Relay) Delay(d time.Duration) { r.tell(func(m *mode) { m.delay = d }) }

// Silence lets every open connection go silent for good; new ones work.
func (r *Relay) Silence() { _ = r.mailbox.Post(silence{}) }

type silence struct{}

// Heal ends a cut, a hold and a delay.
func (r *Relay) Heal() { r.tell(func(m *mode) { m.cut, m.hold, m.delay = false, false, 0 }) }

// Traffic returns the counts so far.
func (r *Relay) Traffic(ctx context.Context) (Traffic, error) {
	return task.Ask(ctx, r.mailbox, func(reply task.Reply[Traffic]) any { return trafficQuestion{reply} })
}

func (r *Relay) tell(c change) { _ = r.mailbox.Post(c) }

// Run passes bytes on until ctx ends.
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
		case near := <-accepted:
			if r.mode.Load().cut || r.mode.Load().target == "" {
				_ = near.Close()
				continue
			}
			last++
			traffic.Connections++
			c := &connection{number: last, near: near, done: make(chan struct{})}
			open[last] = c
			go r.carry(ctx, c)
		case m := <-r.mailbox.C():
			r.handle(m, open, last, &traffic)
		}
	}
}

func (r *Relay) handle(m any, open map[uint64]*connection, last uint64, traffic *Traffic) {
	switch m := m.(type) {
	case carried:
		traffic.add(m)
	case trafficQuestion:
		m.reply.Answer(*traffic)
	case closed:
		delete(open, m.number)
	case silence:
		r.publish(func(next *mode) { next.silentUpTo = last })
	case change:
		r.publish(m)
		if r.mode.Load().cut {
			closeAll(open)
		}
	}
}

func (t *Traffic) add(c carried) {
	t.Chunks++
	if c.in {
		t.In += c.bytes
	} else {
		t.Out += c.bytes
	}
}

func (r *Relay) publish(c change) {
	old := r.mode.Load()
	next := *old
	next.superseded = make(chan struct{})
	c(&next)
	r.mode.Publish(&next)
	close(old.superseded)
}

func closeAll(open map[uint64]*connection) {
	for _, c := range open {
		_ = c.near.Close()
	}
}

func (r *Relay) accept(ctx context.Context, accepted chan<- net.Conn) {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		select {
		case accepted <- near:
		case <-ctx.Done():
			_ = near.Close()
			return
		}
	}
}

// carry owns one connection to its end.
func (r *Relay) carry(ctx context.Context, c *connection) {
	defer func() {
		_ = c.near.Close()
		_ = r.mailbox.Send(ctx, closed{c.number})
	}()
	m, ok := r.passable(ctx, c)
	if !ok {
		return
	}
	far, err := net.DialTimeout("tcp", m.target, dialTimeout)
	if err != nil {
		return
	}
	stop := context.AfterFunc(ctx, func() { _ = far.Close() })
	defer stop()
	ended := make(chan struct{}, 2)
	go r.pump(ctx, c, far, c.near, ended)
	go r.pump(ctx, c, c.near, far, ended)
	<-ended
	close(c.done)
	_ = c.near.Close()
	_ = far.Close()
	<-ended
}

func (r *Relay) pump(ctx context.Context, c *connection, to, from net.Conn, ended chan<- struct{}) {
	defer func() { ended <- struct{}{} }()
	buf := make([]byte, bufferSize)
	for {
		n, readErr := from.Read(buf)
		m, ok := r.passable(ctx, c)
		if !ok || !pause(ctx, m.delay) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil || readErr != nil {
			return
		}
		_ = r.mailbox.Send(ctx, carried{in: from == c.near, bytes: n})
	}
}

// passable waits until the mode lets bytes of c pass; it reports false when c
// or ctx ends first.
func (r *Relay) passable(ctx context.Context, c *connection) (*mode, bool) {
	for {
		m := r.mode.Load()
		if !m.hold && c.number > m.silentUpTo {
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

func pause(ctx context.Context, d time.Duration) bool {
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
