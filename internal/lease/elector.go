package lease

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Timing holds the durations of an election. All members use the same.
type Timing struct {
	TTL    time.Duration // of the coordinator's lease
	Renew  time.Duration // between two proposals of a holder
	Wait   time.Duration // for the promises of one round
	Margin time.Duration // that a silent start adds for clocks of unequal rate
}

type phase uint8

const (
	idle phase = iota
	preparing
	proposing
)

// proposal is one Propose on its way and the votes for it.
type proposal struct {
	seq   uint64
	sent  time.Time // before the first message of it left
	votes map[core.VM]bool
}

// maxOpenProposals bounds the proposals whose late votes still count.
const maxOpenProposals = 4

// Elector is the candidacy of one member.
type Elector struct {
	self       Holder
	timing     Timing
	electorate Electorate
	jitter     uint64 // state of a generator seeded by the caller

	phase    phase
	number   Number
	highest  Number // newest number heard of
	promises map[core.VM]bool
	askedOwn bool // the own acceptor was asked for its promise
	outbid   bool // a voter promised a newer number to another
	open     []proposal
	seq      uint64
	until    time.Time // end of the own lease, zero: none
	held     Number    // number under which the lease is held
	next     time.Time // of the next step
	floor    uint64    // smallest round
}

// Send is a message to one voter. Exactly one of the two is set.
type Send struct {
	To      core.VM
	Prepare *Prepare
	Propose *Propose
}

// NewElector returns the candidacy of a process that has just started. Its
// rounds begin at floor; one that grows from run to run, such as the wall
// clock's seconds, spares a cell that lost all memory refused ballots, and
// nothing depends on it.
func NewElector(self Holder, t Timing, floor uint64, started time.Time) *Elector {
	return &Elector{
		self: self, timing: t, jitter: self.Session | 1, floor: floor,
		seq: self.Session >> 40, next: started.Add(t.TTL + t.Margin),
	}
}

// SetElectorate tells the member set in force. A holder goes on until its
// lease ends, and prepares again under the new epoch before that.
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

// Held returns the number under which this member holds the lease and whether
// it is live at now.
func (e *Elector) Held(now time.Time) (Number, bool) { return e.held, now.Before(e.until) }

// Until is the end of this member's lease by its own clock.
func (e *Elector) Until() time.Time { return e.until }

// Observe raises the next ballot above a number that was seen elsewhere. A
// holder below it prepares again.
func (e *Elector) Observe(n Number) {
	if n.Epoch == e.electorate.Epoch {
		e.raise(n)
	}
}

// Tick returns the messages that are due. other is true while this member's
// own acceptor holds the live lease of another.
func (e *Elector) Tick(now time.Time, other bool) []Send {
	if e.electorate.index(e.self.VM) < 0 || now.Before(e.next) {
		return nil
	}
	if e.phase == proposing && !e.outbid && (now.Before(e.until) || e.justProposed(now)) {
		return e.propose(now)
	}
	if other {
		e.phase = idle
		e.next = now
		return nil
	}
	return e.prepare(now)
}

// justProposed reports whether a first proposal may still gather its votes.
func (e *Elector) justProposed(now time.Time) bool {
	return len(e.open) > 0 && now.Before(e.open[0].sent.Add(e.timing.Wait))
}

// Extend returns the next proposal of a holder ahead of its time.
func (e *Elector) Extend(now time.Time) []Send {
	if e.phase != proposing || !now.Before(e.until) {
		return nil
	}
	return e.propose(now)
}

func (e *Elector) prepare(now time.Time) []Send {
	index := uint64(e.electorate.index(e.self.VM))
	round := max(e.floor, 1)
	if e.highest.Epoch == e.electorate.Epoch {
		round = max(round, e.highest.round()+1)
	}
	e.number = Number{Epoch: e.electorate.Epoch, Ballot: round<<ballotMemberBits | index}
	e.highest = e.number
	e.phase = preparing
	e.promises = map[core.VM]bool{}
	e.open, e.outbid, e.askedOwn = nil, false, false
	e.next = now.Add(e.timing.Wait + e.random(e.timing.Wait))
	var out []Send
	for _, v := range e.electorate.Voters() {
		if v != e.self.VM {
			out = append(out, Send{To: v, Prepare: &Prepare{Number: e.number, Holder: e.self}})
		}
	}
	return append(out, e.askOwn()...)
}

// askOwn asks the own acceptor once its promise is the last that the quorum
// lacks. A member that the others refuse then keeps no promise that would make
// it refuse the holder.
func (e *Elector) askOwn() []Send {
	lacksOwn := e.electorate.Quorum(func(v core.VM) bool { return v == e.self.VM || e.promises[v] })
	if e.askedOwn || !lacksOwn {
		return nil
	}
	e.askedOwn = true
	return []Send{{To: e.self.VM, Prepare: &Prepare{Number: e.number, Holder: e.self}}}
}

func (e *Elector) propose(now time.Time) []Send {
	e.seq++
	e.open = append(e.open, proposal{seq: e.seq, sent: now, votes: map[core.VM]bool{}})
	if len(e.open) > maxOpenProposals {
		e.open = e.open[1:]
	}
	e.next = now.Add(e.timing.Renew)
	p := Propose{Number: e.number, Holder: e.self, Seq: e.seq, TTL: e.timing.TTL}
	var out []Send
	for _, v := range e.electorate.Voters() {
		out = append(out, Send{To: v, Propose: &p})
	}
	return out
}

// Promised takes a voter's answer and returns the proposals that follow when
// the promises reach a quorum.
func (e *Elector) Promised(from core.VM, p Promise, now time.Time) []Send {
	e.raise(p.Promised)
	if e.phase != preparing || p.Number != e.number || !p.OK {
		return nil
	}
	e.promises[from] = true
	if !e.electorate.Quorum(func(v core.VM) bool { return e.promises[v] }) {
		return e.askOwn()
	}
	e.phase = proposing
	return e.propose(now)
}

// Accepted takes a voter's answer. It reports whether the lease grew: then it
// counts from before the proposal left.
func (e *Elector) Accepted(from core.VM, a Accept) bool {
	e.raise(a.Promised)
	if e.phase != proposing || a.Number != e.number {
		return false
	}
	if !a.OK {
		// The same number promised to an earlier run of this member binds the
		// voter as a newer one does.
		e.outbid = e.outbid || !a.Promised.Less(e.number)
		return false
	}
	for _, p := range e.open {
		if p.seq != a.Seq {
			continue
		}
		p.votes[from] = true
		if !e.electorate.Quorum(func(v core.VM) bool { return p.votes[v] }) {
			return false
		}
		until := p.sent.Add(e.timing.TTL - e.timing.Margin)
		if !until.After(e.until) {
			return false
		}
		e.until, e.held = until, e.number
		return true
	}
	return false
}

// raise remembers a number promised elsewhere. A proposer below it prepares
// again when its next proposal is due, and holds its lease until then.
func (e *Elector) raise(n Number) {
	if e.highest.Less(n) {
		e.highest = n
	}
	if e.phase == proposing && e.number.Less(n) {
		e.outbid = true
	}
}

// Resign gives the lease up at once.
func (e *Elector) Resign(now time.Time) {
	e.phase, e.until = idle, time.Time{}
	e.next = now.Add(e.timing.TTL)
}

// random returns a duration below limit (xorshift64).
func (e *Elector) random(limit time.Duration) time.Duration {
	e.jitter ^= e.jitter << 13
	e.jitter ^= e.jitter >> 7
	e.jitter ^= e.jitter << 17
	return time.Duration(e.jitter % uint64(limit))
}
