package lease

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Timing holds the durations of an election. All members use the same.
type Timing struct {
	TTL           time.Duration // duration of the coordinator's lease
	RenewInterval time.Duration // interval between two proposals of a holder
	RoundTimeout  time.Duration // timeout for the promises of one round
	ClockMargin   time.Duration // allowance for clock drift during one TTL
}

type phase uint8

const (
	idle phase = iota
	preparing
	proposing
)

// proposal is one Propose in flight and the votes for it.
type proposal struct {
	seq   uint64
	sent  time.Time // before its first message was sent
	votes map[core.VM]bool
}

// maxPendingProposals is the number of proposals whose delayed votes still count.
const maxPendingProposals = 4

// Elector is the proposer of one member: it acquires and renews the lease.
type Elector struct {
	self       Holder
	timing     Timing
	electorate Electorate
	randState  uint64 // state of the random generator, seeded with the session

	phase            phase
	number           Number
	highest          Number // newest number received or used
	promises         map[core.VM]bool
	askedOwnAcceptor bool // the promise of this member's own acceptor was requested
	superseded       bool // a voter promised a newer number to another proposer
	pending          []proposal
	seq              uint64
	until            time.Time // end of this member's lease, zero: none
	held             Number    // number under which the lease is held
	nextAt           time.Time // when Tick acts next
	minRound         uint64
}

// Send is a message to one voter. Exactly one of Prepare and Propose is set.
type Send struct {
	To      core.VM
	Prepare *Prepare
	Propose *Propose
}

// NewElector returns the elector of a process that has just started. Its rounds
// begin at minRound. A value that grows with each start, such as the wall clock
// in seconds, avoids refused ballots after all members have restarted; correctness
// does not depend on it.
func NewElector(self Holder, t Timing, minRound uint64, started time.Time) *Elector {
	return &Elector{
		self: self, timing: t, randState: self.Session | 1, minRound: minRound,
		seq: self.Session >> 40, nextAt: started.Add(t.TTL + t.ClockMargin),
	}
}

// SetElectorate replaces the member set. A holder keeps its lease until it ends,
// and prepares again under the new epoch when its next proposal is due.
func (e *Elector) SetElectorate(el Electorate) {
	if el.Epoch < e.electorate.Epoch {
		return
	}
	changed := el.Epoch > e.electorate.Epoch
	e.electorate = el
	if changed {
		e.phase = idle
	}
}

// Held returns the number under which this member holds the lease, and whether
// the lease is live at now.
func (e *Elector) Held(now time.Time) (Number, bool) { return e.held, now.Before(e.until) }

// Until returns the end of this member's lease by its own clock.
func (e *Elector) Until() time.Time { return e.until }

// Observe records a number that was seen outside an election, so that the next
// ballot exceeds it. A holder with a smaller number prepares again.
func (e *Elector) Observe(n Number) {
	if n.Epoch == e.electorate.Epoch {
		e.recordNumber(n)
	}
}

// Tick returns the messages to send now. other is true while this member's own
// acceptor has accepted the live lease of another member.
func (e *Elector) Tick(now time.Time, other bool) []Send {
	if e.electorate.index(e.self.VM) < 0 || now.Before(e.nextAt) {
		return nil
	}
	if e.phase == proposing && !e.superseded && (now.Before(e.until) || e.justProposed(now)) {
		return e.propose(now)
	}
	if other {
		e.phase = idle
		e.nextAt = now
		return nil
	}
	return e.prepare(now)
}

// justProposed reports whether votes for the oldest pending proposal may still
// arrive in time.
func (e *Elector) justProposed(now time.Time) bool {
	return len(e.pending) > 0 && now.Before(e.pending[0].sent.Add(e.timing.RoundTimeout))
}

// Extend returns the next proposal of a holder before it is due.
func (e *Elector) Extend(now time.Time) []Send {
	if e.phase != proposing || !now.Before(e.until) {
		return nil
	}
	return e.propose(now)
}

func (e *Elector) prepare(now time.Time) []Send {
	index := uint64(e.electorate.index(e.self.VM))
	round := max(e.minRound, 1)
	if e.highest.Epoch == e.electorate.Epoch {
		round = max(round, e.highest.round()+1)
	}
	e.number = Number{Epoch: e.electorate.Epoch, Ballot: round<<ballotMemberBits | index}
	e.highest = e.number
	e.phase = preparing
	e.promises = map[core.VM]bool{}
	e.pending, e.superseded, e.askedOwnAcceptor = nil, false, false
	e.nextAt = now.Add(e.timing.RoundTimeout + e.random(e.timing.RoundTimeout))
	var out []Send
	for _, v := range e.electorate.Voters() {
		if v != e.self.VM {
			out = append(out, Send{To: v, Prepare: &Prepare{Number: e.number, Holder: e.self}})
		}
	}
	return append(out, e.askOwnAcceptor()...)
}

// askOwnAcceptor asks this member's own acceptor last, once its promise completes
// the quorum. A member that the others refuse thus makes no promise to itself
// that would make it refuse the current holder.
func (e *Elector) askOwnAcceptor() []Send {
	completes := e.electorate.Quorum(func(v core.VM) bool { return v == e.self.VM || e.promises[v] })
	if e.askedOwnAcceptor || !completes {
		return nil
	}
	e.askedOwnAcceptor = true
	return []Send{{To: e.self.VM, Prepare: &Prepare{Number: e.number, Holder: e.self}}}
}

func (e *Elector) propose(now time.Time) []Send {
	e.seq++
	e.pending = append(e.pending, proposal{seq: e.seq, sent: now, votes: map[core.VM]bool{}})
	if len(e.pending) > maxPendingProposals {
		e.pending = e.pending[1:]
	}
	e.nextAt = now.Add(e.timing.RenewInterval)
	p := Propose{Number: e.number, Holder: e.self, Seq: e.seq, TTL: e.timing.TTL}
	var out []Send
	for _, v := range e.electorate.Voters() {
		out = append(out, Send{To: v, Propose: &p})
	}
	return out
}

// HandlePromise handles a voter's answer to a Prepare. It returns the proposals to
// send once the promises reach a quorum.
func (e *Elector) HandlePromise(from core.VM, p Promise, now time.Time) []Send {
	e.recordNumber(p.Promised)
	if e.phase != preparing || p.Number != e.number || !p.OK {
		return nil
	}
	e.promises[from] = true
	if !e.electorate.Quorum(func(v core.VM) bool { return e.promises[v] }) {
		return e.askOwnAcceptor()
	}
	e.phase = proposing
	return e.propose(now)
}

// HandleAccept handles a voter's answer to a Propose. It reports whether this
// extended the lease. The lease counts from the time before the proposal was
// sent, so it ends no later than at any acceptor.
func (e *Elector) HandleAccept(from core.VM, a Accept) bool {
	e.recordNumber(a.Promised)
	if e.phase != proposing || a.Number != e.number {
		return false
	}
	if !a.OK {
		// A promise of the same number to an earlier process of this member
		// binds the voter just as a promise of a newer number does.
		e.superseded = e.superseded || !a.Promised.Less(e.number)
		return false
	}
	for _, p := range e.pending {
		if p.seq != a.Seq {
			continue
		}
		p.votes[from] = true
		if !e.electorate.Quorum(func(v core.VM) bool { return p.votes[v] }) {
			return false
		}
		until := p.sent.Add(e.timing.TTL - e.timing.ClockMargin)
		if !until.After(e.until) {
			return false
		}
		e.until, e.held = until, e.number
		return true
	}
	return false
}

// recordNumber records a number that was promised to another proposer. A proposer
// with a smaller number prepares again when its next proposal is due, and keeps
// its lease until then.
func (e *Elector) recordNumber(n Number) {
	if e.highest.Less(n) {
		e.highest = n
	}
	if e.phase == proposing && e.number.Less(n) {
		e.superseded = true
	}
}

// Resign releases the lease at once.
func (e *Elector) Resign(now time.Time) {
	e.phase, e.until = idle, time.Time{}
	e.nextAt = now.Add(e.timing.TTL)
}

// random returns a random duration below limit (xorshift64).
func (e *Elector) random(limit time.Duration) time.Duration {
	e.randState ^= e.randState << 13
	e.randState ^= e.randState >> 7
	e.randState ^= e.randState << 17
	return time.Duration(e.randState % uint64(limit))
}
