package lease

import "time"

// Acceptor is the memory of one member's votes. It is lost at a restart, so a
// new one gives no vote until every lease that it may have forgotten has ended.
type Acceptor struct {
	silentUntil time.Time
	promised    Number
	promisedTo  Holder
	accepted    Number
	holder      Holder
	until       time.Time // end of the accepted lease
}

// NewAcceptor returns an acceptor that stays silent for the longest lease that
// any proposer asks for.
func NewAcceptor(started time.Time, longest time.Duration) *Acceptor {
	return &Acceptor{silentUntil: started.Add(longest)}
}

// Silent reports whether the acceptor gives no vote yet.
func (a *Acceptor) Silent(now time.Time) bool { return now.Before(a.silentUntil) }

// Holder returns the holder of the lease that this member accepted, while it
// is live.
func (a *Acceptor) Holder(now time.Time) (Holder, bool) {
	return a.holder, now.Before(a.until)
}

// Number returns the number of the lease accepted last.
func (a *Acceptor) Number() Number { return a.accepted }

// Prepare votes on p. It refuses while it holds the live lease of another, and
// then keeps its promise as it was, so that a member that cannot hear the
// holder does not disturb it.
func (a *Acceptor) Prepare(p Prepare, now time.Time) (Promise, bool) {
	if a.Silent(now) {
		return Promise{}, false
	}
	other := now.Before(a.until) && a.holder != p.Holder
	if other || a.newer(p.Number, p.Holder) {
		return Promise{Number: p.Number, Promised: a.promised}, true
	}
	a.promised, a.promisedTo = p.Number, p.Holder
	return Promise{Number: p.Number, OK: true, Promised: a.promised}, true
}

// newer reports whether the acceptor promised to refuse n. A number belongs to
// one run: a restarted proposer must choose a higher one.
func (a *Acceptor) newer(n Number, h Holder) bool {
	return n.Less(a.promised) || n == a.promised && h != a.promisedTo
}

// Propose votes on p; the lease that it accepts counts from now.
func (a *Acceptor) Propose(p Propose, now time.Time) (Accept, bool) {
	if a.Silent(now) {
		return Accept{}, false
	}
	if a.newer(p.Number, p.Holder) {
		return Accept{Number: p.Number, Seq: p.Seq, Promised: a.promised}, true
	}
	a.promised, a.promisedTo, a.accepted = p.Number, p.Holder, p.Number
	a.holder, a.until = p.Holder, now.Add(p.TTL)
	return Accept{Number: p.Number, Seq: p.Seq, OK: true, Promised: a.promised}, true
}

// Resign ends the accepted lease of n, whose holder gave it back.
func (a *Acceptor) Resign(n Number, now time.Time) {
	if a.accepted == n && now.Before(a.until) {
		a.until = now
	}
}
