// Package fleet manages targets and entry VMs on the leading control VM. It
// registers targets from their heartbeats, assigns ranges of keys to them under
// leases, and divides the rate of each workspace among the entry VMs. Entry VMs
// follow its state by long polls. Decisions: this file, keys.go, placement.go,
// rebalance.go, keyload.go, reports.go, shares.go, cold.go and roster.go. Tasks: task.go and
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

// Parameters are the settings of a deployment for heartbeats, leases and limits.
type Parameters struct {
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
func (p Parameters) heartbeatTimeout() time.Duration { return 3 * p.HeartbeatInterval }

// maxLeaseDuration is the time after which a lease granted now has ended on its
// target, even if the target's clock is slow.
func (p Parameters) maxLeaseDuration() time.Duration {
	return time.Duration(float64(p.KeyLease)*(1+maxClockDrift)) + leaseMargin
}

// Span is a range of keys, both ends included.
type Span struct{ First, Last uint32 }

func (s Span) overlaps(o Span) bool { return s.First <= o.Last && o.First <= s.Last }

// HeldRange is a range that a target reports to hold.
type HeldRange struct {
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
	Holds    []HeldRange
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
	changedSequence   uint64 // LeaderState.sequence of the newest change that entry VMs must receive
	holds             []HeldRange
	released          []Release
	revoked           map[Span]revocation // ranges that answers leave out
	serviceTimeFactor float64             // service time relative to other targets, 0 if unknown
}

// LeaderState is the leader's state in one term. It is not safe for concurrent use.
//
// Invariant: a range of keys is granted to a target only while the replicated key
// table names the target and its incarnation as the owner, and no proposal for
// the range is pending.
type LeaderState struct {
	parameters  Parameters
	term        uint64
	termStart   time.Time // when this leader's lease began in the term
	sequence    uint64    // counts the changes of targets in this term
	targets     map[core.TargetID]*target
	entryVMs    map[core.VM]*entryVM
	pending     map[core.Service][]Span // ranges in proposals whose outcome is unknown
	allocations map[core.Workspace]*workspaceAllocation
	// usualKeyLoads holds the moving average of the load of each key, by service.
	usualKeyLoads map[core.Service][]float64
	// lastRebalance is the time of the last rebalancing pass.
	lastRebalance time.Time
	lastPlan      time.Time // time of the last planning pass
}

// NewLeaderState returns an empty state.
func NewLeaderState(parameters Parameters) *LeaderState {
	l := &LeaderState{parameters: parameters}
	l.BeginTerm(0, time.Time{})
	return l
}

// BeginTerm starts a term and discards all earlier state.
func (l *LeaderState) BeginTerm(term uint64, start time.Time) {
	l.term, l.termStart, l.sequence = term, start, 1
	l.targets = map[core.TargetID]*target{}
	l.entryVMs = map[core.VM]*entryVM{}
	l.pending = map[core.Service][]Span{}
	l.allocations = map[core.Workspace]*workspaceAllocation{}
	l.usualKeyLoads = map[core.Service][]float64{}
	l.lastRebalance = start
}

// Term returns the current term.
func (l *LeaderState) Term() uint64 { return l.term }

// Sequence returns the number of the newest change that entry VMs must receive.
func (l *LeaderState) Sequence() uint64 { return l.sequence }

func (l *LeaderState) markChanged(t *target) {
	l.sequence++
	t.changedSequence = l.sequence
}

// ApplyHeartbeat processes a heartbeat and returns what its sender is to hold. It
// returns false for a heartbeat that is older than one already received, which
// changes no state and renews no lease.
func (l *LeaderState) ApplyHeartbeat(h Heartbeat, s *config.State, now time.Time) (Grant, bool) {
	t := l.targets[h.Target.ID]
	switch {
	case t == nil || h.Target.Incarnation > t.Incarnation:
		t = l.register(h, t)
	case h.Target.Incarnation < t.Incarnation || h.Sequence <= t.sequence:
		return Grant{}, false
	}
	class, ok := s.Catalog.Service(t.Service)
	l.update(t, h, class, now)
	if !ok || !class.Keyed {
		return Grant{}, true
	}
	if t.Draining && l.hasOtherOwner(t, s, now) {
		l.revokeAll(t, s, now)
	}
	return l.grant(t, s, now), true
}

// hasOtherOwner reports whether another target could take over the keys of t.
func (l *LeaderState) hasOtherOwner(t *target, s *config.State, now time.Time) bool {
	for _, other := range l.targets {
		if other != t && other.Service == t.Service && l.assignable(other, s, now) {
			return true
		}
	}
	return false
}

// revokeAll revokes all ranges of t, so that the answer to its heartbeat leaves
// them out and t releases them at once.
func (l *LeaderState) revokeAll(t *target, s *config.State, now time.Time) {
	for _, r := range s.Keys[t.Service] {
		if r.Owner == t.ID && r.Life == t.Incarnation {
			t.revoke(r, "", now)
		}
	}
}

// register adds a new target or a new incarnation of a known one, previous. Any
// other target with the same address is marked as gone.
func (l *LeaderState) register(h Heartbeat, previous *target) *target {
	for id, other := range l.targets {
		if id != h.Target.ID && other.Address == h.Target.Address && other.Incarnation <= h.Target.Incarnation {
			l.markGone(other)
		}
	}
	t := &target{Target: h.Target, revoked: map[Span]revocation{}}
	if previous != nil {
		t.changedSequence = previous.changedSequence
	}
	l.targets[t.ID] = t
	l.markChanged(t)
	return t
}

func (l *LeaderState) update(t *target, h Heartbeat, class config.TargetClass, now time.Time) {
	coldUntil := now.Add(h.ColdFor)
	wasCold := t.coldUntil.After(now)
	if h.Target != t.Target || t.gone || h.ColdFor > 0 && !wasCold || h.ColdFor == 0 && wasCold ||
		now.Sub(t.lastHeartbeat) > l.parameters.heartbeatTimeout() {
		l.markChanged(t)
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
			l.chooseColdSenders(t, class, now)
		}
	}
}

// Deregister marks a target as draining and gone, and returns the incarnation that
// ends. The parameter incarnation is zero if the request didn't name one. The
// target may finish the requests it has in flight.
func (l *LeaderState) Deregister(id core.TargetID, incarnation core.Incarnation) core.Incarnation {
	t := l.targets[id]
	if t == nil || incarnation != 0 && incarnation < t.Incarnation {
		return incarnation
	}
	t.Draining = true
	l.markGone(t)
	return max(incarnation, t.Incarnation)
}

func (l *LeaderState) markGone(t *target) {
	if !t.gone {
		t.gone = true
		l.markChanged(t)
	}
}

// Expire marks targets as gone, and removes targets and entry VMs, that have been
// unreachable for too long.
func (l *LeaderState) Expire(now time.Time) {
	for id, t := range l.targets {
		age := now.Sub(t.lastHeartbeat)
		switch {
		case t.gone && age > goneRetention:
			delete(l.targets, id)
		case !t.gone && age > targetExpiry:
			l.markGone(t)
		}
	}
	l.expireEntryVMs(now)
}

// assignable reports whether a target may be assigned keys.
func (l *LeaderState) assignable(t *target, s *config.State, now time.Time) bool {
	return !t.gone && !t.Draining && !s.IsRetired(t.ID, t.Incarnation) && !s.Evacuated[t.DataCentre] && now.Sub(t.lastHeartbeat) <= l.parameters.heartbeatTimeout()
}
