package quota

import (
	"maps"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	loanTerm   = 1500 * time.Millisecond // length of a loan
	loanMargin = 50 * time.Millisecond   // for clocks of unequal rate, over one loan
	loanRenew  = 400 * time.Millisecond  // between the promises of a cell
)

// Stamp is a moment of the system's source, which a cell sends back with its
// next promise. It means nothing to others.
type Stamp struct {
	Term  uint64
	Since time.Duration // since the term began
}

// Promise says that a cell doesn't fill the part of its floor that it doesn't
// keep, for loanTerm from when it was sent. A zero Stamp promises nothing.
type Promise struct {
	Stamp Stamp
	Keeps Keeps
}

// CellSource is the source of a cell. While it can reach the system's source it
// lends the part of its durable share that its own demand leaves.
//
// Invariant: the cell fills at most what every promise that has not ended lets
// it keep. A promise ends loanTerm and a margin after it was sent.
type CellSource struct {
	*Source
	cell     core.Cell
	division Division
	state    *config.State
	lends    bool
	lentTill time.Time                    // end of the newest promise
	promised Keeps                        // of the newest promise
	raises   map[core.Workspace]time.Time // when more may be kept: the older promises' end
	kept     Keeps                        // what is filled
	renewAt  time.Time
	stamp    Stamp // of the system's source; zero once it was used
}

// NewCellSource returns the source of a new term. It behaves as if the term
// before had promised to keep the least a moment ago.
func NewCellSource(cell core.Cell, d Division, state *config.State, now time.Time) *CellSource {
	c := &CellSource{
		Source: NewSource(true), cell: cell, division: d, state: state,
		lends: true, lentTill: now.Add(loanTerm + loanMargin),
		promised: Keeps{}, raises: map[core.Workspace]time.Time{}, kept: Keeps{},
	}
	c.share(now)
	return c
}

// SetState takes the configuration in force.
func (c *CellSource) SetState(s *config.State, now time.Time) {
	c.settle(now)
	c.state = s
	c.share(now)
}

// Supply answers wants from below with what is there now.
func (c *CellSource) Supply(wants []Want, now time.Time) []Supply {
	c.settle(now)
	return c.Source.Supply(wants, now)
}

// Due reports whether it is time to reach the system's source again.
func (c *CellSource) Due(now time.Time) bool { return !now.Before(c.renewAt) }

// Promise returns the promise to send with a draw. It is zero unless the
// system's source has answered since the last one; a cell that is cut off so
// comes back to its whole floor.
func (c *CellSource) Promise(now time.Time) Promise {
	c.settle(now)
	c.renewAt = now.Add(loanRenew)
	stamp := c.stamp
	c.stamp = Stamp{}
	if stamp == (Stamp{}) {
		return Promise{}
	}
	if !c.lends {
		c.lends = true
		c.promised, c.kept = Keeps{}, Keeps{}
		clear(c.raises)
		c.lentTill = now
	}
	c.plan(now)
	c.lentTill = now.Add(loanTerm + loanMargin)
	c.share(now)
	return Promise{Stamp: stamp, Keeps: maps.Clone(c.promised)}
}

// plan decides what the next promise keeps. Less is kept at once; more only when
// the promises before, which kept less, have ended.
func (c *CellSource) plan(now time.Time) {
	for name, w := range c.state.Workspaces {
		was, want := c.division.keep(c.promised, name), c.wanted(name, w, now)
		switch {
		case want < was-keepStep || want < was && want <= c.division.Kept:
			c.promised[name] = want
			c.kept[name] = min(want, c.division.keep(c.kept, name))
		case want > was+keepStep:
			c.promised[name] = want
			c.raises[name] = c.lentTill
		}
		if c.promised[name] <= c.division.Kept {
			delete(c.promised, name)
		}
	}
}

// keepStep is the least change of a kept part, so that small changes of demand
// change no promise.
const keepStep = 0.20

// coverBurst is the least burst of a floor, in tokens, from which a cell covers
// its demand itself. Smaller floors run dry too often; together they don't.
const coverBurst = 20

// wanted is the part of the floor that covers this cell's own demand.
func (c *CellSource) wanted(name core.Workspace, w config.Workspace, now time.Time) float64 {
	a := c.accounts[name]
	whole := c.division.floor(w, len(c.state.Cells), 1)
	if a == nil || whole.Rate <= 0 || whole.Burst < coverBurst {
		return c.division.Kept
	}
	return min(1, max(c.division.Kept, c.division.Cover*a.use.rate(now)/whole.Rate))
}

// Answered takes the stamp of an answer. After a pause the next draw is due at
// once.
func (c *CellSource) Answered(s Stamp, now time.Time) {
	if !c.lends {
		c.renewAt = now
	}
	c.stamp = s
}

// settle takes the floor back at the moment when the last promise ended, and
// raises what is kept where the promises that kept less have ended.
func (c *CellSource) settle(now time.Time) {
	if c.lends && !now.Before(c.lentTill) {
		c.lends = false
		c.share(c.lentTill)
		return
	}
	raised := false
	for name, at := range c.raises {
		if !now.Before(at) {
			delete(c.raises, name)
			c.kept[name] = c.division.keep(c.promised, name)
			raised = true
		}
	}
	if raised {
		c.share(now)
	}
}

func (c *CellSource) share(now time.Time) {
	c.SetShares(c.division.Cell(c.state, c.cell, c.lends, c.kept), now)
}

// SystemSource is the source of the whole system during one term of the leader.
type SystemSource struct {
	*Source
	term     uint64
	began    time.Time
	division Division
	state    *config.State
	loans    map[core.Cell]loan
}

type loan struct {
	till  time.Time
	keeps Keeps
}

// NewSystemSource returns the source of a new term, without loans.
func NewSystemSource(term uint64, d Division, state *config.State, now time.Time) *SystemSource {
	s := &SystemSource{
		Source: NewSource(false), term: term, began: now, division: d, state: state,
		loans: map[core.Cell]loan{},
	}
	s.share(now)
	return s
}

// SetState takes the configuration in force.
func (s *SystemSource) SetState(state *config.State, now time.Time) {
	s.settle(now)
	s.state = state
	s.share(now)
}

// Supply answers wants from below with what is there now.
func (s *SystemSource) Supply(wants []Want, now time.Time) []Supply {
	s.settle(now)
	return s.Source.Supply(wants, now)
}

// Stamp returns the present moment for an answer.
func (s *SystemSource) Stamp(now time.Time) Stamp {
	return Stamp{Term: s.term, Since: now.Sub(s.began)}
}

// Lend takes a cell's promise. The loan ends loanTerm after the stamp: the cell
// had it before it promised, so its promise holds longer. A promise that comes
// after a newer one changes nothing.
func (s *SystemSource) Lend(cell core.Cell, p Promise, now time.Time) {
	s.settle(now)
	if p.Stamp.Term != s.term || p.Stamp == (Stamp{}) {
		return
	}
	till := s.began.Add(p.Stamp.Since + loanTerm)
	old, known := s.loans[cell]
	if !till.After(now) || !till.After(old.till) {
		return
	}
	s.loans[cell] = loan{till, p.Keeps}
	if !known || !maps.Equal(old.keeps, p.Keeps) {
		s.share(now)
	}
}

// settle ends each loan at its moment.
func (s *SystemSource) settle(now time.Time) {
	for {
		var first core.Cell
		for cell, l := range s.loans {
			if !now.Before(l.till) && (first == "" || l.till.Before(s.loans[first].till)) {
				first = cell
			}
		}
		if first == "" {
			return
		}
		till := s.loans[first].till
		delete(s.loans, first)
		s.share(till)
	}
}

func (s *SystemSource) share(now time.Time) {
	lenders := make(map[core.Cell]Keeps, len(s.loans))
	for cell, l := range s.loans {
		lenders[cell] = l.keeps
	}
	s.SetShares(s.division.System(s.state, lenders), now)
}
