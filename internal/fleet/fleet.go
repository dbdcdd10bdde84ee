// Package fleet manages targets and entry VMs on the leading control VM. It
// registers targets from their heartbeats, assigns ranges of keys to them under
// leases, and divides the rate of each workspace among the entry VMs. Entry VMs
// follow its state by long polls. Decisions: this file, keys.go, placement.go,
// reports.go, shares.go, cold.go and roster.go. Tasks: task.go and
// task_targets.go on control VMs, task_follow.go on entry VMs.
package fleet

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// ackWindow is how long after sending a heartbeat a target accepts the answer.
	ackWindow = time.Second
	// maxClockDrift is the fraction by which a target's clock may run slower than
	// this VM's.
	maxClockDrift = 0.02
	// leaseMargin allows for timers that fire late on a target, and for a suspended
	// link that delays an answer.
	leaseMargin = 300 * time.Millisecond
	// targetExpiry is how long after its last heartbeat a target is marked as gone.
	// Until then entry VMs detect by themselves whether it still answers.
	targetExpiry = 20 * time.Second
	// goneRetention is how long after its last heartbeat a target that is gone stays
	// in the updates to entry VMs.
	goneRetention = 60 * time.Second
)

// Terms are the settings of a deployment for heartbeats, leases and limits.
type Terms struct {
	HeartbeatInterval time.Duration
	KeyLease          time.Duration // how long after sending a heartbeat a target may hold its keys
	Quota             Quota
	Cold              Cold
}

// Cold limits the requests to a cold target in any second to its rate times
// Overage, plus Slack requests.
type Cold struct {
	Overage float64
	Slack   float64
}

// Quota limits the requests of a workspace over all entry VMs in any Window. The
// limit is what its rate and burst allow, plus the fraction Overage of that, plus
// Slack requests.
type Quota struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// heartbeatTimeout is how long after its last heartbeat a target may still be
// assigned keys.
func (t Terms) heartbeatTimeout() time.Duration { return 3 * t.HeartbeatInterval }

// maxLeaseDuration is the time after which a lease granted now has ended on its
// target, even if the target's clock is slow.
func (t Terms) maxLeaseDuration() time.Duration {
	return time.Duration(float64(t.KeyLease)*(1+maxClockDrift)) + leaseMargin
}

// Span is a range of keys, both ends included.
type Span struct{ First, Last uint32 }

func (s Span) overlaps(o Span) bool { return s.First <= o.Last && o.First <= s.Last }

// Held is a range that a target reports to hold.
type Held struct {
	Span
	Fence core.Version
}

// Release is a range that a target has released. Handover is the proof of the
// release for the next owner.
type Release struct {
	Span
	Handover string
}

// Heartbeat is a target's report about itself.
type Heartbeat struct {
	Target   core.Target
	Sequence uint64
	ColdFor  time.Duration // remaining time of the cold start, during which the target is slow
	Holds    []Held
	Released []Release
}

// Grant is the answer to a heartbeat: the complete list of ranges that the target
// is to hold.
type Grant struct {
	Keyed  bool // if false, the service has no keys, and Ranges and Lease are unused
	Ranges []config.KeyRange
	Lease  time.Duration
}

// target is the leader's view of a target.
type target struct {
	core.Target
	sequence      uint64
	lastHeartbeat time.Time
	coldUntil     time.Time
	// coldSenders are the entry VMs that may send to the target while it is cold,
	// chosen when its cold start began. Each may send coldAllowance requests per
	// second.
	coldSenders       []core.VM
	coldAllowance     int
	coldUndecided     bool         // see Undecided
	leaseEnd          time.Time    // the target holds no key granted in this term after this time
	grantedAt         time.Time    // when the newest answer with keys was sent
	grantedFence      core.Version // highest fence in the newest answer
	gone              bool
	changedSequence   uint64 // Book.sequence of the newest change that entry VMs must receive
	holds             []Held
	released          []Release
	revoked           map[Span]time.Time // ranges that answers leave out, with the time of revocation
	serviceTimeFactor float64            // service time relative to other targets, 0 if unknown
}

// Book is the leader's state in one term. It is not safe for concurrent use.
//
// Invariant: a range of keys is granted to a target only while the replicated key
// table names the target and its incarnation as the owner, and no proposal for
// the range is pending.
type Book struct {
	terms       Terms
	term        uint64
	termStart   time.Time // when this leader's lease began in the term
	sequence    uint64    // counts the changes of targets in this term
	targets     map[core.TargetID]*target
	entryVMs    map[core.VM]*entryVM
	pending     map[core.Service][]Span // ranges in proposals whose outcome is unknown
	allocations map[core.Workspace]*workspaceAllocation
	// lastRebalance is the time of the last rebalancing pass.
	lastRebalance time.Time
}

// NewBook returns an empty book.
func NewBook(terms Terms) *Book {
	b := &Book{terms: terms}
	b.Begin(0, time.Time{})
	return b
}

// Begin starts a term and discards all earlier state.
func (b *Book) Begin(term uint64, start time.Time) {
	b.term, b.termStart, b.sequence = term, start, 1
	b.targets = map[core.TargetID]*target{}
	b.entryVMs = map[core.VM]*entryVM{}
	b.pending = map[core.Service][]Span{}
	b.allocations = map[core.Workspace]*workspaceAllocation{}
	b.lastRebalance = start
}

// Term returns the current term.
func (b *Book) Term() uint64 { return b.term }

// Sequence returns the number of the newest change that entry VMs must receive.
func (b *Book) Sequence() uint64 { return b.sequence }

func (b *Book) markChanged(t *target) {
	b.sequence++
	t.changedSequence = b.sequence
}

// Heard processes a heartbeat and returns what its sender is to hold. It returns
// false for a heartbeat that is older than one already received, which changes
// no state and renews no lease.
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

// register adds a new target or a new incarnation of a known one, previous. Any
// other target with the same address is marked as gone.
func (b *Book) register(h Heartbeat, previous *target) *target {
	for id, other := range b.targets {
		if id != h.Target.ID && other.Address == h.Target.Address && other.Incarnation <= h.Target.Incarnation {
			b.markGone(other)
		}
	}
	t := &target{Target: h.Target, revoked: map[Span]time.Time{}}
	if previous != nil {
		t.changedSequence = previous.changedSequence
	}
	b.targets[t.ID] = t
	b.markChanged(t)
	return t
}

func (b *Book) update(t *target, h Heartbeat, class config.TargetClass, now time.Time) {
	coldUntil := now.Add(h.ColdFor)
	wasCold := t.coldUntil.After(now)
	if h.Target != t.Target || t.gone || h.ColdFor > 0 && !wasCold || h.ColdFor == 0 && wasCold ||
		now.Sub(t.lastHeartbeat) > b.terms.heartbeatTimeout() {
		b.markChanged(t)
	}
	if t.Draining {
		h.Target.Draining = true // draining can't be undone within an incarnation
	}
	t.Target, t.sequence, t.lastHeartbeat, t.gone = h.Target, h.Sequence, now, false
	t.holds = h.Holds
	t.recordReleases(h.Released)
	t.coldUntil = now
	if h.ColdFor > 0 {
		t.coldUntil = coldUntil
		if !wasCold || t.coldSenders == nil {
			b.chooseColdSenders(t, class, now)
		}
	}
}

// Left deregisters a target and returns the incarnation that ends. The parameter
// incarnation is zero if the request didn't name one. The target may finish the
// requests it has in flight.
func (b *Book) Left(id core.TargetID, incarnation core.Incarnation) core.Incarnation {
	t := b.targets[id]
	if t == nil || incarnation != 0 && incarnation < t.Incarnation {
		return incarnation
	}
	t.Draining = true
	b.markGone(t)
	return max(incarnation, t.Incarnation)
}

func (b *Book) markGone(t *target) {
	if !t.gone {
		t.gone = true
		b.markChanged(t)
	}
}

// Expire marks targets as gone, and removes targets and entry VMs, that have been
// unreachable for too long.
func (b *Book) Expire(now time.Time) {
	for id, t := range b.targets {
		age := now.Sub(t.lastHeartbeat)
		switch {
		case t.gone && age > goneRetention:
			delete(b.targets, id)
		case !t.gone && age > targetExpiry:
			b.markGone(t)
		}
	}
	b.expireEntryVMs(now)
}

// assignable reports whether a target may be assigned keys.
func (b *Book) assignable(t *target, s *config.State, now time.Time) bool {
	return !t.gone && !t.Draining && !s.IsRetired(t.ID, t.Incarnation) && !s.Evacuated[t.DataCentre] && now.Sub(t.lastHeartbeat) <= b.terms.heartbeatTimeout()
}
