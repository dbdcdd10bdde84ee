package cell

import (
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// maxSentTimes is the number of recent statuses whose sending time a member
// keeps. A lease that echoes an older status is ignored.
const maxSentTimes = 16

// member is one member's copy of the table and its lease.
type member struct {
	session uint64
	ttl     time.Duration // of a member lease

	held    *Table // newest version received
	inForce *Table // newest version known to be held by a majority
	lease   Lease

	seq          uint64               // of the newest status
	sentAt       map[uint64]time.Time // sending times of recent statuses, by number
	targetLog    targetChangeLog
	ackedVersion uint64 // version of the target log up to which the coordinator has the changes
	facts        Facts
}

func newMember(session uint64, ttl time.Duration, cell core.Cell) *member {
	empty := NewTable(cell)
	return &member{
		session: session, ttl: ttl, held: empty, inForce: empty,
		sentAt: map[uint64]time.Time{}, targetLog: targetChangeLog{entries: map[core.TargetID]targetLogEntry{}},
	}
}

// status returns the next status for the coordinator, with the changes of
// targets after version seen. A lease granted in response counts from now.
func (m *member) status(seen uint64, now time.Time) Status {
	m.seq++
	m.sentAt[m.seq] = now
	delete(m.sentAt, m.seq-maxSentTimes)
	return Status{Session: m.session, Seq: m.seq, TableFence: m.held.Fence, TargetUpdate: m.targetLog.since(seen), Facts: m.facts}
}

// receive applies the table and the member lease of a heartbeat. The caller has
// checked that the sender was not refused this member's vote.
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

// commit puts the held version in force if its fence is the given one, that of
// the newest version that a majority holds.
func (m *member) commit(fence core.Fence) {
	if m.held.Fence == fence && m.inForce != m.held {
		m.inForce = m.held
	}
}

// renew extends the member lease, counted from the sending time of the echoed
// status. It requires a table in force at least as new as the echo's fence: an
// older table may name this member as dispatcher of targets that were moved
// since.
func (m *member) renew(e Echo) {
	sent, ok := m.sentAt[e.Seq]
	if e.Session != m.session || !ok || m.inForce.Fence.Less(e.Fence) {
		return
	}
	if until := sent.Add(m.ttl); until.After(m.lease.Until) {
		m.lease = Lease{Fence: e.Fence, Until: until}
	}
}

// targetChangeLog numbers the changes of the targets that announce themselves to
// this member.
type targetChangeLog struct {
	version uint64
	entries map[core.TargetID]targetLogEntry
}

type targetLogEntry struct {
	target  core.Target
	removed bool
	version uint64
}

// set records the current set of targets and reports whether it changed.
func (l *targetChangeLog) set(targets map[core.TargetID]core.Target) bool {
	before := l.version
	for id, t := range targets {
		if e, ok := l.entries[id]; !ok || e.removed || e.target != t {
			l.version++
			l.entries[id] = targetLogEntry{target: t, version: l.version}
		}
	}
	for id, e := range l.entries {
		if _, ok := targets[id]; !ok && !e.removed {
			l.version++
			l.entries[id] = targetLogEntry{target: e.target, removed: true, version: l.version}
		}
	}
	return l.version != before
}

// since returns the changes after the version seen, up to which the coordinator
// has them, and deletes the removals up to that version from the log.
func (l *targetChangeLog) since(seen uint64) TargetUpdate {
	if seen > l.version {
		seen = 0
	}
	update := TargetUpdate{Since: seen, Version: l.version}
	for _, id := range slices.Sorted(maps.Keys(l.entries)) {
		e := l.entries[id]
		switch {
		case e.removed && (e.version <= seen || seen == 0):
			if seen != 0 {
				delete(l.entries, id)
			}
		case e.version <= seen:
		case e.removed:
			update.Removed = append(update.Removed, id)
		default:
			update.Targets = append(update.Targets, e.target)
		}
	}
	return update
}
