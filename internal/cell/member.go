package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// statusMemory bounds the statuses of which a member remembers the time.
const statusMemory = 16

// member is one member's copy of the table and its lease.
type member struct {
	session uint64
	ttl     time.Duration

	held    *Table // newest version received
	inForce *Table // newest version known to be held by a majority
	lease   Lease

	seq      uint64
	sentAt   map[uint64]time.Time
	news     newsLog
	newsSeen uint64 // version of the news that the coordinator has
	facts    Facts
}

func newMember(session uint64, ttl time.Duration, cell core.Cell) *member {
	empty := NewTable(cell)
	return &member{
		session: session, ttl: ttl, held: empty, inForce: empty,
		sentAt: map[uint64]time.Time{}, news: newsLog{entries: map[core.TargetID]newsEntry{}},
	}
}

// status returns what the coordinator is told now. A lease that it brings
// counts from now.
func (m *member) status(seen uint64, now time.Time) Status {
	m.seq++
	m.sentAt[m.seq] = now
	delete(m.sentAt, m.seq-statusMemory)
	return Status{Session: m.session, Seq: m.seq, Have: m.held.Fence, News: m.news.since(seen), Facts: m.facts}
}

// receive takes the table and the lease of a heartbeat whose sender this
// member has voted for.
func (m *member) receive(h Heartbeat) {
	m.commit(h.InForce)
	if h.Delta != nil && m.held.Fence.Less(h.Delta.Fence) {
		if next, ok := m.held.Apply(h.Delta); ok {
			m.held = next
			m.commit(h.InForce)
		}
	}
	m.renew(h.Echo)
}

// commit puts the held version in force once a majority holds it.
func (m *member) commit(fence core.Fence) {
	if m.held.Fence == fence && m.inForce != m.held {
		m.inForce = m.held
	}
}

// renew takes a lease. It holds only under a table that is new enough: an
// older one may name this member for targets that were moved since.
func (m *member) renew(e Echo) {
	sent, ok := m.sentAt[e.Seq]
	if e.Session != m.session || !ok || m.inForce.Fence.Less(e.Fence) {
		return
	}
	if until := sent.Add(m.ttl); until.After(m.lease.Until) {
		m.lease = Lease{Fence: e.Fence, Until: until}
	}
}

// newsLog numbers the changes of the announced targets.
type newsLog struct {
	version uint64
	entries map[core.TargetID]newsEntry
}

type newsEntry struct {
	target  core.Target
	gone    bool
	version uint64
}

// set records the targets that are alive. It reports whether any changed.
func (l *newsLog) set(targets map[core.TargetID]core.Target) bool {
	before := l.version
	for id, t := range targets {
		if e, ok := l.entries[id]; !ok || e.gone || e.target != t {
			l.version++
			l.entries[id] = newsEntry{target: t, version: l.version}
		}
	}
	for id, e := range l.entries {
		if _, ok := targets[id]; !ok && !e.gone {
			l.version++
			l.entries[id] = newsEntry{target: e.target, gone: true, version: l.version}
		}
	}
	return l.version != before
}

// since returns the changes after a version that the coordinator has seen, and
// forgets the removals that it has.
func (l *newsLog) since(seen uint64) News {
	if seen > l.version {
		seen = 0
	}
	n := News{Since: seen, Version: l.version}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[id]
		switch {
		case e.gone && (e.version <= seen || seen == 0):
			if seen != 0 {
				delete(l.entries, id)
			}
		case e.version <= seen:
		case e.gone:
			n.Gone = append(n.Gone, id)
		default:
			n.Targets = append(n.Targets, e.target)
		}
	}
	return n
}
