// Package fleet is what the leading control VM knows of the targets and the
// entry VMs: which targets live, which keys each may hold and until when, and
// which part of each workspace's rate each entry VM may use. Decisions: this
// file, keys.go, placement.go, reports.go, shares.go, cold.go and roster.go.
// Tasks: task.go and task_targets.go on control VMs, task_follow.go on entry
// VMs.
package fleet

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// ackWindow is how long a target accepts the answer to a heartbeat.
	ackWindow = time.Second
	// clockDrift is how much slower a target's clock may run than ours.
	clockDrift = 0.02
	// leaseMargin covers timers that fire late at a target and the time that a
	// suspended link may hold an answer.
	leaseMargin = 300 * time.Millisecond
	// forgetAfter is how long a silent target stays known to entry VMs, which
	// find out by themselves whether it still answers.
	forgetAfter = 20 * time.Second
	// goneKept is how long entry VMs are told that a target is gone.
	goneKept = 60 * time.Second
)

// Terms are what the deployment states of heartbeats and leases.
type Terms struct {
	HeartbeatInterval time.Duration
	KeyLease          time.Duration // a target holds its keys for so long after it sent a heartbeat
	Quota             Quota
	Cold              Cold
}

// Cold bounds the requests to a cold target in any second: its rate times
// Overage, and Slack requests.
type Cold struct {
	Overage float64
	Slack   float64
}

// Quota bounds what a workspace may send over all entry VMs: in any window its
// rate and burst, Overage of that, and Slack requests.
type Quota struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// silentAfter is when a target that was not heard gets no new keys.
func (t Terms) silentAfter() time.Duration { return 3 * t.HeartbeatInterval }

// leaseBound is by when a lease that was granted now has ended at any target.
func (t Terms) leaseBound() time.Duration {
	return time.Duration(float64(t.KeyLease)*(1+clockDrift)) + leaseMargin
}

// Span is a range of keys, both ends included.
type Span struct{ First, Last uint32 }

func (s Span) overlaps(o Span) bool { return s.First <= o.Last && o.First <= s.Last }

// Held is a range that a target says it holds.
type Held struct {
	Span
	Fence core.Version
}

// Release is a range that a target gave back, and its proof for the next owner.
type Release struct {
	Span
	Handover string
}

// Heartbeat is what a target says of itself.
type Heartbeat struct {
	Target   core.Target
	Sequence uint64
	ColdFor  time.Duration // how much longer the target is slow after its start
	Holds    []Held
	Released []Release
}

// Grant is the answer to a heartbeat: all that the target is to hold.
type Grant struct {
	Keyed  bool // false: the service has no keys, Ranges and Lease mean nothing
	Ranges []config.KeyRange
	Lease  time.Duration
}

// target is a target as the leader knows it.
type target struct {
	core.Target
	sequence  uint64
	heardAt   time.Time
	coldUntil time.Time
	// coldSenders are the entry VMs that may send while it is cold, chosen when
	// that began, and how many requests each may send in one second.
	coldSenders   []core.VM
	coldAllowance int
	coldUndecided bool
	leaseEnd      time.Time // no key is held after it, as far as this tenure granted any
	grantedAt     time.Time // newest answer with keys
	granted       core.Version
	gone          bool
	changed       uint64 // Book.sequence of the newest change that entry VMs must know
	holds         []Held
	released      []Release
	revoked       map[Span]time.Time // ranges that are left out of answers, since when
	speed         float64            // how long work takes, relative to others; 0: not known
}

// Book is the leader's knowledge in one tenure. Its owner alone calls it.
//
// Invariant: a range of keys is granted to a target only while the replicated
// table names the target and its life, and no change of the range is pending.
type Book struct {
	terms    Terms
	term     uint64
	from     time.Time // start of the tenure
	sequence uint64    // counts the changes of targets
	targets  map[core.TargetID]*target
	entries  map[core.VM]*entry
	pending  map[core.Service][]Span // ranges in proposals without a known outcome
	accounts map[core.Workspace]*account
	// balancedAt is the newest look at the load of targets.
	balancedAt time.Time
}

// NewBook returns an empty book.
func NewBook(terms Terms) *Book {
	b := &Book{terms: terms}
	b.Begin(0, time.Time{})
	return b
}

// Begin starts a tenure: nothing that was heard before counts.
func (b *Book) Begin(term uint64, from time.Time) {
	b.term, b.from, b.sequence = term, from, 1
	b.targets = map[core.TargetID]*target{}
	b.entries = map[core.VM]*entry{}
	b.pending = map[core.Service][]Span{}
	b.accounts = map[core.Workspace]*account{}
	b.balancedAt = from
}

// Term is the term of the tenure.
func (b *Book) Term() uint64 { return b.term }

// Sequence counts the changes that entry VMs must know.
func (b *Book) Sequence() uint64 { return b.sequence }

func (b *Book) touch(t *target) {
	b.sequence++
	t.changed = b.sequence
}

// Heard takes a heartbeat and returns what its sender is to hold. A heartbeat
// that is older than one already heard changes nothing and renews nothing.
func (b *Book) Heard(h Heartbeat, s *config.State, now time.Time) (Grant, bool) {
	t := b.targets[h.Target.ID]
	switch {
	case t == nil || h.Target.Incarnation > t.Incarnation:
		t = b.register(h, t)
	case h.Target.Incarnation < t.Incarnation || h.Sequence <= t.sequence:
		return Grant{}, false
	}
	class, ok := s.Catalog.Service(t.Service)
	b.update(t, h, class, now)
	if !ok || !class.Keyed {
		return Grant{}, true
	}
	return b.grant(t, s, now), true
}

// register makes a new target or a new life of a known one. A target whose
// address it took over is gone.
func (b *Book) register(h Heartbeat, old *target) *target {
	for id, other := range b.targets {
		if id != h.Target.ID && other.Address == h.Target.Address && other.Incarnation <= h.Target.Incarnation {
			b.markGone(other)
		}
	}
	t := &target{Target: h.Target, revoked: map[Span]time.Time{}}
	if old != nil {
		t.changed = old.changed
	}
	b.targets[t.ID] = t
	b.touch(t)
	return t
}

func (b *Book) update(t *target, h Heartbeat, class config.TargetClass, now time.Time) {
	coldUntil := now.Add(h.ColdFor)
	wasCold := t.coldUntil.After(now)
	if h.Target != t.Target || t.gone || h.ColdFor > 0 && !wasCold || h.ColdFor == 0 && wasCold ||
		now.Sub(t.heardAt) > b.terms.silentAfter() {
		b.touch(t)
	}
	if t.Draining {
		h.Target.Draining = true // a target that leaves does not come back under the same life
	}
	t.Target, t.sequence, t.heardAt, t.gone = h.Target, h.Sequence, now, false
	t.holds = h.Holds
	t.noteReleases(h.Released)
	t.coldUntil = now
	if h.ColdFor > 0 {
		t.coldUntil = coldUntil
		if !wasCold || t.coldSenders == nil {
			b.chooseColdSenders(t, class, now)
		}
	}
}

// Left takes a target's farewell and returns the life that ends; life is zero
// if the farewell did not name it. The target may go on with the requests that
// it has.
func (b *Book) Left(id core.TargetID, life core.Incarnation) core.Incarnation {
	t := b.targets[id]
	if t == nil || life != 0 && life < t.Incarnation {
		return life
	}
	t.Draining = true
	b.markGone(t)
	return max(life, t.Incarnation)
}

func (b *Book) markGone(t *target) {
	if !t.gone {
		t.gone = true
		b.touch(t)
	}
}

// Expire ends what was not heard for too long.
func (b *Book) Expire(now time.Time) {
	for id, t := range b.targets {
		silent := now.Sub(t.heardAt)
		switch {
		case t.gone && silent > goneKept:
			delete(b.targets, id)
		case !t.gone && silent > forgetAfter:
			b.markGone(t)
		}
	}
	b.expireEntries(now)
}

// usable reports whether a target may get keys.
func (b *Book) usable(t *target, s *config.State, now time.Time) bool {
	return !t.gone && !t.Draining && !s.IsRetired(t.ID, t.Incarnation) && !s.Evacuated[t.DataCentre] && now.Sub(t.heardAt) <= b.terms.silentAfter()
}
