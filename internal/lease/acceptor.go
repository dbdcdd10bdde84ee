package lease

import "time"

// Acceptor holds the votes of one member. It keeps them in memory only, so after
// a restart it abstains until every lease that it may have voted for has ended.
type Acceptor struct {
	abstainsUntil time.Time
	promised      Number
	promisedTo    Holder
	accepted      Number
	holder        Holder
	until         time.Time // end of the accepted lease
}

// NewAcceptor returns an acceptor that abstains for the longest lease that any
// proposer requests.
func NewAcceptor(started time.Time, longest time.Duration) *Acceptor {
	return &Acceptor{abstainsUntil: started.Add(longest)}
}

// Abstains reports whether the acceptor still abstains from voting after its start.
func (a *Acceptor) Abstains(now time.Time) bool { return now.Before(a.abstainsUntil) }

// Holder returns the holder of the lease that this member accepted, while it
// is live.
func (a *Acceptor) Holder(now time.Time) (Holder, bool) {
	return a.holder, now.Before(a.until)
}

// Number returns the number of the lease accepted last.
func (a *Acceptor) Number() Number { return a.accepted }

// Prepare votes on p. While the lease that it accepted from another holder is
// live, it refuses and leaves its promise unchanged, so that a member which is
// partitioned from the holder does not disrupt the lease.
func (a *Acceptor) Prepare(p Prepare, now time.Time) (Promise, bool) {
	if a.Abstains(now) {
		return Promise{}, false
	}
	other := now.Before(a.until) && a.holder != p.Holder
	if other || a.promisedNewer(p.Number, p.Holder) {
		return Promise{Number: p.Number, Promised: a.promised}, true
	}
	a.promised, a.promisedTo = p.Number, p.Holder
	return Promise{Number: p.Number, OK: true, Promised: a.promised}, true
}

// promisedNewer reports whether the acceptor promised to refuse n. A number
// belongs to one process: a restarted proposer must choose a higher one.
func (a *Acceptor) promisedNewer(n Number, h Holder) bool {
	return n.Less(a.promised) || n == a.promised && h != a.promisedTo
}

// Propose votes on p. An accepted lease lasts p.TTL from now.
func (a *Acceptor) Propose(p Propose, now time.Time) (Accept, bool) {
	if a.Abstains(now) {
		return Accept{}, false
	}
	if a.promisedNewer(p.Number, p.Holder) {
		return Accept{Number: p.Number, Seq: p.Seq, Promised: a.promised}, true
	}
	a.promised, a.promisedTo, a.accepted = p.Number, p.Holder, p.Number
	a.holder, a.until = p.Holder, now.Add(p.TTL)
	return Accept{Number: p.Number, Seq: p.Seq, OK: true, Promised: a.promised}, true
}

// Resign ends the accepted lease with number n, which its holder released.
func (a *Acceptor) Resign(n Number, now time.Time) {
	if a.accepted == n && now.Before(a.until) {
		a.until = now
	}
}
