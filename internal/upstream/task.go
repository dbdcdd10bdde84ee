package upstream

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
	"github.com/comfreynotch/comfreynotch/internal/upstream/witness"
)

const (
	mailboxSize        = 1024
	idleTimeout        = 30 * time.Second // until an idle connection is closed
	defaultConnections = 128              // per target
	probePeriod        = 2 * time.Second  // between probes of the idle connections
	probeTimeout       = 400 * time.Millisecond
	probePath          = "/comfreynotch/v1/load"
)

// pool is the connection pool of one target. Its fields are immutable; a new
// address or limit gets a new pool.
type pool struct {
	target    core.TargetID
	address   string
	limit     int             // connections
	transport *http.Transport // for first attempts
	// repeats opens a connection for each later attempt of a request, so that a late
	// copy of the answer to an earlier one, which has the same id, isn't taken for its
	// answer.
	repeats *http.Transport
}

// transportFor returns the transport for an attempt of a request after a number of
// earlier ones.
func (p *pool) transportFor(earlier int) *http.Transport {
	if earlier > 0 {
		return p.repeats
	}
	return p.transport
}

type message interface{ isMessage() }

type openPool struct {
	target core.Target
	limit  int
	reply  task.Reply[*pool]
}

// probeRequest asks the task to probe a pool whose target has not answered a
// request in time. abort cancels that request; the task calls it if the target
// answers over a new connection.
type probeRequest struct {
	pool  *pool
	abort func()
}

type probeResult struct {
	pool          *pool
	newConnection bool // sent over a new connection instead of a pooled one
	answered      bool // with any status
}

type tableChanged struct{ table *cell.Table }

func (openPool) isMessage()     {}
func (probeRequest) isMessage() {}
func (probeResult) isMessage()  {}
func (tableChanged) isMessage() {}

// Client sends requests to targets over pooled connections. Its task owns the
// pools: it creates and removes them, probes them, and closes connections that
// no longer respond.
type Client struct {
	self    core.VM
	mailbox task.Mailbox[message]
	pools   task.Snapshot[map[core.TargetID]*pool]
	suspect func(p *pool, abort func())

	// awaitingProbe holds, for each pool that is being probed over a new
	// connection, functions that cancel the requests waiting for an answer on an
	// old one.
	awaitingProbe map[*pool][]func()
}

// New returns the client of the daemon on VM self, without connections.
func New(self core.VM) *Client {
	c := &Client{
		self:          self,
		mailbox:       task.NewMailbox[message]("upstream", mailboxSize),
		pools:         task.NewSnapshot(&map[core.TargetID]*pool{}),
		awaitingProbe: map[*pool][]func(){},
	}
	c.suspect = func(p *pool, abort func()) { _ = c.mailbox.Post(probeRequest{p, abort}) }
	return c
}

// TableChanged passes a new table to the task. It removes the pools of targets
// that this daemon no longer dispatches to, so that their new dispatcher can use
// the targets' connection limits.
func (c *Client) TableChanged(t *cell.Table) { _ = c.mailbox.Post(tableChanged{t}) }

// pool returns the pool of a target. The task replaces the pool if the target's
// address or connection limit has changed.
func (c *Client) pool(ctx context.Context, t core.Target, svc config.Service) (*pool, error) {
	limit := connectionLimit(t, svc)
	if p := (*c.pools.Load())[t.ID]; p != nil && p.address == t.Address && p.limit == limit {
		return p, nil
	}
	return task.Ask(ctx, c.mailbox, func(r task.Reply[*pool]) message { return openPool{t, limit, r} })
}

// connectionLimit returns the size of a target's pool. One connection of the
// target's limit is left for probes.
func connectionLimit(t core.Target, svc config.Service) int {
	limit := defaultConnections
	if t.Connections > 0 {
		limit = t.Connections
	}
	if svc.ConnectionsLimit > 0 {
		limit = min(limit, svc.ConnectionsLimit)
	}
	return max(limit-1, 1)
}

// Serve runs the task until ctx ends, then closes the idle connections.
func (c *Client) Serve(ctx context.Context) error {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, p := range *c.pools.Load() {
				p.transport.CloseIdleConnections()
			}
			return ctx.Err()
		case m := <-c.mailbox.C():
			c.handle(ctx, m)
		case <-ticker.C:
			for _, p := range *c.pools.Load() {
				go c.probe(ctx, p, false)
			}
			for p := range c.awaitingProbe {
				go c.probe(ctx, p, true)
			}
		}
	}
}

func (c *Client) handle(ctx context.Context, m message) {
	switch m := m.(type) {
	case openPool:
		m.reply.Answer(c.open(m.target, m.limit))
	case probeRequest:
		c.awaitingProbe[m.pool] = append(c.awaitingProbe[m.pool], m.abort)
		if len(c.awaitingProbe[m.pool]) == 1 {
			go c.probe(ctx, m.pool, true)
		}
	case probeResult:
		c.handleProbe(m)
	case tableChanged:
		c.retain(m.table)
	}
}

// open creates the pool of a target and closes the idle connections of the pool
// that it replaces. Requests in flight finish on the old pool.
func (c *Client) open(t core.Target, limit int) *pool {
	old := (*c.pools.Load())[t.ID]
	if old != nil && old.address == t.Address && old.limit == limit {
		return old
	}
	p := &pool{target: t.ID, address: t.Address, limit: limit, transport: newTransport(limit), repeats: newTransport(limit)}
	p.repeats.DisableKeepAlives = true
	next := maps.Clone(*c.pools.Load())
	next[t.ID] = p
	c.pools.Publish(&next)
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	return p
}

// retain removes the pools of targets that this daemon does not dispatch to.
func (c *Client) retain(t *cell.Table) {
	next := map[core.TargetID]*pool{}
	for id, p := range *c.pools.Load() {
		if e, ok := t.Targets[id]; ok && e.Dispatcher == c.self {
			next[id] = p
		} else {
			p.transport.CloseIdleConnections()
		}
	}
	c.pools.Publish(&next)
}

// handleProbe handles the result of a probe. If a new connection works, the
// fault is in the old ones: the requests waiting on them are cancelled. If a
// pooled connection does not work, all idle connections are closed.
func (c *Client) handleProbe(m probeResult) {
	if !m.newConnection {
		if !m.answered {
			m.pool.transport.CloseIdleConnections()
		}
		return
	}
	aborts := c.awaitingProbe[m.pool]
	if !m.answered && (*c.pools.Load())[m.pool.target] == m.pool {
		return // the target may be slow; the next tick probes again
	}
	delete(c.awaitingProbe, m.pool)
	if !m.answered {
		return
	}
	m.pool.transport.CloseIdleConnections()
	for _, abort := range aborts {
		abort()
	}
}

// probe sends a request to the target, over a new connection or a pooled one.
// Any answer proves that the connection works, whatever its status.
func (c *Client) probe(ctx context.Context, p *pool, newConnection bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	answered := false
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+probePath, nil)
	if err == nil {
		transport := p.transport
		if newConnection {
			transport = newTransport(1)
			transport.DisableKeepAlives = true
		}
		resp, err := transport.RoundTrip(req)
		if err == nil {
			drainAndClose(resp.Body)
			answered = true
		}
	}
	_ = c.mailbox.Send(context.WithoutCancel(ctx), probeResult{pool: p, newConnection: newConnection, answered: answered})
}

func newTransport(limit int) *http.Transport {
	return &http.Transport{
		DialContext:         witness.Dial,
		MaxConnsPerHost:     limit,
		MaxIdleConnsPerHost: limit,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}
