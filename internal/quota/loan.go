package quota

import (
	"maps"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Each cell has a floor: a part of a workspace's rate that is reserved for it, so
// that it can admit requests while it is partitioned. A cell that needs less than
// its floor lends the rest to the system's source, which supplies it to cells that
// need more. Two records describe the same loan, one at each end:
//
//   - The promise, at the cell: the cell uses only the kept part of its floor until
//     the promise ends.
//   - The loan, at the system's source: the source may supply the rest of the floor
//     until the loan ends.
//
// The promise always ends after the loan, so that both never use the same tokens.
//
// Example: with Division.Floor 1, three cells, and a workspace with a rate of 300
// and a burst of 300 tokens, each floor is 100 tokens per second. A cell with a
// demand of 50 per second covers 0.80 (Division.Cover) of it from its floor: it
// keeps 40 per second, a kept fraction of 0.40. It lends the other 60 per second to
// the system's source, which can supply them to any cell; the cell itself draws
// the 10 per second that it lacks from there. If the cell is partitioned, its last
// promise ends and it uses its whole floor again.
const (
	loanTerm        = 1500 * time.Millisecond // duration of a loan
	loanClockMargin = 50 * time.Millisecond   // allows for clocks that run at different rates, over one loan
	promiseInterval = 400 * time.Millisecond  // between two promises of a cell
)

// Stamp is a point in time on the clock of the system's source. A cell returns
// it unchanged with its next promise, so that the source can date the promise
// without comparing clocks.
type Stamp struct {
	Term  uint64
	Since time.Duration // since the term began
}

// Promise is sent by a cell to the system's source. It lends the source the part
// of the cell's floor that is not in Kept: the cell does not use that part until
// loanTerm plus loanClockMargin after it sent the promise. A promise with a zero
// Stamp lends nothing.
type Promise struct {
	Stamp Stamp
	Kept  KeptFractions
}

// CellSource is the source of a cell. While it can reach the system's source, it
// lends the part of its floor that its own demand does not need.
//
// Invariant: the cell's buckets fill at most at the smallest part of the floor
// that any promise in effect keeps. A promise ends loanTerm plus loanClockMargin
// after it was sent, later than the loan at the system's source.
type CellSource struct {
	*Source
	cell          core.Cell
	division      Division
	state         *config.State
	lending       bool                         // a promise is in effect
	lentUntil     time.Time                    // end of the last promise
	promised      KeptFractions                // Kept of the last promise
	raiseAt       map[core.Workspace]time.Time // when kept may rise to promised: the end of the promises that keep less
	kept          KeptFractions                // parts of the floor at which the buckets fill
	nextPromiseAt time.Time
	stamp         Stamp // from the last answer of the system's source; zero once used
}

// NewCellSource returns the source of a new coordinator's term. The promises of
// the previous coordinator are unknown, so the new source behaves as if the
// previous coordinator had promised at this moment to keep only the minimum.
func NewCellSource(cell core.Cell, d Division, state *config.State, now time.Time) *CellSource {
	c := &CellSource{
		Source: NewSource(true), cell: cell, division: d, state: state,
		lending: true, lentUntil: now.Add(loanTerm + loanClockMargin),
		promised: KeptFractions{}, raiseAt: map[core.Workspace]time.Time{}, kept: KeptFractions{},
	}
	c.updateShares(now)
	return c
}

// SetState applies the current configuration.
func (c *CellSource) SetState(s *config.State, now time.Time) {
	c.expirePromises(now)
	c.state = s
	c.updateShares(now)
}

// Supply answers the wants of daemons from the tokens available now.
func (c *CellSource) Supply(wants []Want, now time.Time) []Supply {
	c.expirePromises(now)
	return c.Source.Supply(wants, now)
}

// PromiseDue reports whether the next promise must be sent to the system's
// source.
func (c *CellSource) PromiseDue(now time.Time) bool { return !now.Before(c.nextPromiseAt) }

// Promise returns the promise to send with a draw. It is zero unless the
// system's source has answered since the last one, so that a partitioned cell
// stops lending and uses its whole floor.
func (c *CellSource) Promise(now time.Time) Promise {
	c.expirePromises(now)
	c.nextPromiseAt = now.Add(promiseInterval)
	stamp := c.stamp
	c.stamp = Stamp{}
	if stamp == (Stamp{}) {
		return Promise{}
	}
	if !c.lending {
		c.lending = true
		c.promised, c.kept = KeptFractions{}, KeptFractions{}
		clear(c.raiseAt)
		c.lentUntil = now
	}
	c.planKept(now)
	c.lentUntil = now.Add(loanTerm + loanClockMargin)
	c.updateShares(now)
	return Promise{Stamp: stamp, Kept: maps.Clone(c.promised)}
}

// planKept decides which part of each floor the next promise keeps. A smaller
// part takes effect at once, a larger one only after the earlier promises, which
// keep less, have ended.
func (c *CellSource) planKept(now time.Time) {
	for name, w := range c.state.Workspaces {
		current, wanted := c.division.keptFraction(c.promised, name), c.wantedFraction(name, w, now)
		switch {
		case wanted < current-minKeepChange || wanted < current && wanted <= c.division.MinKept:
			c.promised[name] = wanted
			c.kept[name] = min(wanted, c.division.keptFraction(c.kept, name))
		case wanted > current+minKeepChange:
			c.promised[name] = wanted
			c.raiseAt[name] = c.lentUntil
		}
		if c.promised[name] <= c.division.MinKept {
			delete(c.promised, name)
		}
	}
}

// minKeepChange is the smallest change of a kept part, as a fraction of the
// floor. Smaller changes of demand do not change the promise.
const minKeepChange = 0.20

// minCoverBurst is the smallest burst of a floor, in tokens, for which a cell
// keeps more than the minimum. A smaller bucket is empty too often. The floors of
// such cells serve more requests when they are lent to the system's source and
// fill one larger bucket there.
const minCoverBurst = 20

// wantedFraction returns the part of the floor that covers this cell's own
// demand.
func (c *CellSource) wantedFraction(name core.Workspace, w config.Workspace, now time.Time) float64 {
	a := c.accounts[name]
	fullFloor := c.division.floor(w, len(c.state.Cells), 1)
	if a == nil || fullFloor.Rate <= 0 || fullFloor.Burst < minCoverBurst {
		return c.division.MinKept
	}
	return min(1, max(c.division.MinKept, c.division.Cover*a.usage.rate(now)/fullFloor.Rate))
}

// RecordStamp records the stamp of an answer. If the cell has stopped lending,
// the next promise is due at once.
func (c *CellSource) RecordStamp(s Stamp, now time.Time) {
	if !c.lending {
		c.nextPromiseAt = now
	}
	c.stamp = s
}

// expirePromises applies the end of promises: it restores the whole floor as of
// the end of the last promise, and raises the kept part of workspaces for which
// the promises that keep less have ended.
func (c *CellSource) expirePromises(now time.Time) {
	if c.lending && !now.Before(c.lentUntil) {
		c.lending = false
		c.updateShares(c.lentUntil)
		return
	}
	raised := false
	for name, at := range c.raiseAt {
		if !now.Before(at) {
			delete(c.raiseAt, name)
			c.kept[name] = c.division.keptFraction(c.promised, name)
			raised = true
		}
	}
	if raised {
		c.updateShares(now)
	}
}

func (c *CellSource) updateShares(now time.Time) {
	c.SetShares(c.division.Cell(c.state, c.cell, c.lending, c.kept), now)
}

// SystemSource is the source of the whole system during one term of the
// registry's leader.
type SystemSource struct {
	*Source
	term      uint64
	termStart time.Time
	division  Division
	state     *config.State
	loans     map[core.Cell]loan
}

// loan is the part of a cell's floor that the system's source may supply until
// the loan ends: all but the kept fractions.
type loan struct {
	until time.Time
	kept  KeptFractions
}

// NewSystemSource returns the source of a new term, without loans.
func NewSystemSource(term uint64, d Division, state *config.State, now time.Time) *SystemSource {
	s := &SystemSource{
		Source: NewSource(false), term: term, termStart: now, division: d, state: state,
		loans: map[core.Cell]loan{},
	}
	s.updateShares(now)
	return s
}

// SetState applies the current configuration.
func (s *SystemSource) SetState(state *config.State, now time.Time) {
	s.expireLoans(now)
	s.state = state
	s.updateShares(now)
}

// Supply answers the wants of cells from the tokens available now.
func (s *SystemSource) Supply(wants []Want, now time.Time) []Supply {
	s.expireLoans(now)
	return s.Source.Supply(wants, now)
}

// Stamp returns the current time as the stamp of an answer.
func (s *SystemSource) Stamp(now time.Time) Stamp {
	return Stamp{Term: s.term, Since: now.Sub(s.termStart)}
}

// AcceptPromise accepts a cell's promise as a loan. The loan ends loanTerm after
// the stamp; the cell received the stamp before it sent the promise, so the
// promise ends later than the loan. A promise that arrives after a newer one is
// ignored.
func (s *SystemSource) AcceptPromise(cell core.Cell, p Promise, now time.Time) {
	s.expireLoans(now)
	if p.Stamp.Term != s.term || p.Stamp == (Stamp{}) {
		return
	}
	until := s.termStart.Add(p.Stamp.Since + loanTerm)
	old, known := s.loans[cell]
	if !until.After(now) || !until.After(old.until) {
		return
	}
	s.loans[cell] = loan{until, p.Kept}
	if !known || !maps.Equal(old.kept, p.Kept) {
		s.updateShares(now)
	}
}

// expireLoans ends the expired loans in order, each as of its own end.
func (s *SystemSource) expireLoans(now time.Time) {
	for {
		var first core.Cell
		for cell, l := range s.loans {
			if !now.Before(l.until) && (first == "" || l.until.Before(s.loans[first].until)) {
				first = cell
			}
		}
		if first == "" {
			return
		}
		until := s.loans[first].until
		delete(s.loans, first)
		s.updateShares(until)
	}
}

func (s *SystemSource) updateShares(now time.Time) {
	lenders := make(map[core.Cell]KeptFractions, len(s.loans))
	for cell, l := range s.loans {
		lenders[cell] = l.kept
	}
	s.SetShares(s.division.System(s.state, lenders), now)
}
