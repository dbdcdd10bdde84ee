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
	idleTimeout        = 30 * time.Second
	defaultConnections = 128             // for each target
	probePeriod        = 2 * time.Second // between probes of the idle connections
	probeTimeout       = 400 * time.Millisecond
	probePath          = "/comfreynotch/v1/load"
)

// path is the connection pool of one target. Its fields never change.
type path struct {
	target    core.TargetID
	address   string
	limit     int // connections
	transport *http.Transport
}

type message interface{ isMessage() }

type openPath struct {
	target core.Target
	limit  int
	reply  task.Reply[*path]
}

type suspectPath struct {
	path  *path
	abort func()
}

type probed struct {
	path  *path
	fresh bool // over a new connection
	works bool
}

type tableChanged struct{ table *cell.Table }

func (openPath) isMessage()     {}
func (suspectPath) isMessage()  {}
func (probed) isMessage()       {}
func (tableChanged) isMessage() {}

// Client sends requests to targets over pooled connections. Its task owns the
// pools: it makes and drops them, probes them and clears those that went silent.
type Client struct {
	self    core.VM
	mailbox task.Mailbox[message]
	paths   task.Snapshot[map[core.TargetID]*path]
	suspect func(p *path, abort func())

	// waiting holds, for each path that is probed over a new connection, what
	// ends the requests that wait for an answer on an old one.
	waiting map[*path][]func()
}

// New returns the client of daemon self, without connections.
func New(self core.VM) *Client {
	c := &Client{
		self:    self,
		mailbox: task.NewMailbox[message]("upstream", mailboxSize),
		paths:   task.NewSnapshot(&map[core.TargetID]*path{}),
		waiting: map[*path][]func(){},
	}
	c.suspect = func(p *path, abort func()) { _ = c.mailbox.Post(suspectPath{p, abort}) }
	return c
}

// TableChanged delivers a new table; the pools of targets that this daemon no
// longer dispatches are dropped, so that their connections go to another's
// count.
func (c *Client) TableChanged(t *cell.Table) { _ = c.mailbox.Post(tableChanged{t}) }

// path returns the pool of a target at its announced address.
func (c *Client) path(ctx context.Context, t core.Target, svc config.Service) (*path, error) {
	limit := connectionLimit(t, svc)
	if p := (*c.paths.Load())[t.ID]; p != nil && p.address == t.Address && p.limit == limit {
		return p, nil
	}
	return task.Ask(ctx, c.mailbox, func(r task.Reply[*path]) message { return openPath{t, limit, r} })
}

// connectionLimit leaves one connection of the target's bound for probes.
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

// Serve runs the task until ctx ends, then drops the idle connections.
func (c *Client) Serve(ctx context.Context) error {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, p := range *c.paths.Load() {
				p.transport.CloseIdleConnections()
			}
			return ctx.Err()
		case m := <-c.mailbox.C():
			c.handle(ctx, m)
		case <-ticker.C:
			for _, p := range *c.paths.Load() {
				go c.probe(ctx, p, false)
			}
			for p := range c.waiting {
				go c.probe(ctx, p, true)
			}
		}
	}
}

func (c *Client) handle(ctx context.Context, m message) {
	switch m := m.(type) {
	case openPath:
		m.reply.Answer(c.open(m.target, m.limit))
	case suspectPath:
		c.waiting[m.path] = append(c.waiting[m.path], m.abort)
		if len(c.waiting[m.path]) == 1 {
			go c.probe(ctx, m.path, true)
		}
	case probed:
		c.probed(m)
	case tableChanged:
		c.retain(m.table)
	}
}

// open replaces the pool of a target. Requests on the old one end there.
func (c *Client) open(t core.Target, limit int) *path {
	old := (*c.paths.Load())[t.ID]
	if old != nil && old.address == t.Address && old.limit == limit {
		return old
	}
	p := &path{target: t.ID, address: t.Address, limit: limit, transport: newTransport(limit)}
	next := maps.Clone(*c.paths.Load())
	next[t.ID] = p
	c.paths.Publish(&next)
	if old != nil {
		old.transport.CloseIdleConnections()
	}
	return p
}

func (c *Client) retain(t *cell.Table) {
	next := map[core.TargetID]*path{}
	for id, p := range *c.paths.Load() {
		if e, ok := t.Targets[id]; ok && e.Dispatcher == c.self {
			next[id] = p
		} else {
			p.transport.CloseIdleConnections()
		}
	}
	c.paths.Publish(&next)
}

// probed acts on the end of a probe. When a new connection works, those that
// make no progress are silent; when an idle one does not, all idle ones go.
func (c *Client) probed(m probed) {
	if !m.fresh {
		if !m.works {
			m.path.transport.CloseIdleConnections()
		}
		return
	}
	aborts := c.waiting[m.path]
	if !m.works && (*c.paths.Load())[m.path.target] == m.path {
		return // the next tick probes again
	}
	delete(c.waiting, m.path)
	if !m.works {
		return
	}
	m.path.transport.CloseIdleConnections()
	for _, abort := range aborts {
		abort()
	}
}

// probe asks the target for anything at all, over a new connection or a pooled
// one. What it answers does not matter.
func (c *Client) probe(ctx context.Context, p *path, fresh bool) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	works := false
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.address+probePath, nil)
	if err == nil {
		transport := p.transport
		if fresh {
			transport = newTransport(1)
			transport.DisableKeepAlives = true
		}
		resp, err := transport.RoundTrip(req)
		if err == nil {
			discard(resp.Body)
			works = true
		}
	}
	_ = c.mailbox.Send(context.WithoutCancel(ctx), probed{path: p, fresh: fresh, works: works})
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
