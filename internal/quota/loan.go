package quota

import (
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

// CellSource is the source of a cell. While it can reach the system's source it
// lends most of its durable share: it promises not to fill that part for
// loanTerm, counted by its own clock from when it sends the promise.
type CellSource struct {
	*Source
	cell     core.Cell
	division Division
	state    *config.State
	lentTill time.Time
	lends    bool
	renewAt  time.Time
	stamp    Stamp // of the system's source; zero once it was used
}

// NewCellSource returns the source of a new term. It behaves as if the term
// before had promised a moment ago.
func NewCellSource(cell core.Cell, d Division, state *config.State, now time.Time) *CellSource {
	c := &CellSource{
		Source: NewSource(true), cell: cell, division: d, state: state,
		lends: true, lentTill: now.Add(loanTerm + loanMargin),
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

// Promise returns the stamp to send with a draw, or zero for a draw without a
// promise. It lends for another term if the system's source has answered since
// the last promise; a cell that is cut off so comes back to its floor.
func (c *CellSource) Promise(now time.Time) Stamp {
	c.settle(now)
	c.renewAt = now.Add(loanRenew)
	stamp := c.stamp
	c.stamp = Stamp{}
	if stamp == (Stamp{}) {
		return stamp
	}
	c.lentTill = now.Add(loanTerm + loanMargin)
	if !c.lends {
		c.lends = true
		c.share(now)
	}
	return stamp
}

// Answered takes the stamp of an answer. After a pause the next draw is due at
// once.
func (c *CellSource) Answered(s Stamp, now time.Time) {
	if !c.lends {
		c.renewAt = now
	}
	c.stamp = s
}

// settle takes the floor back at the moment when the last promise ended.
func (c *CellSource) settle(now time.Time) {
	if c.lends && !now.Before(c.lentTill) {
		c.lends = false
		c.share(c.lentTill)
	}
}

func (c *CellSource) share(now time.Time) {
	c.SetShares(c.division.Cell(c.state, c.cell, c.lends), now)
}

// SystemSource is the source of the whole system during one term of the leader.
type SystemSource struct {
	*Source
	term     uint64
	began    time.Time
	division Division
	state    *config.State
	lentTill map[core.Cell]time.Time
}

// NewSystemSource returns the source of a new term, without loans.
func NewSystemSource(term uint64, d Division, state *config.State, now time.Time) *SystemSource {
	s := &SystemSource{
		Source: NewSource(false), term: term, began: now, division: d, state: state,
		lentTill: map[core.Cell]time.Time{},
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
// had it before it promised, so its promise holds longer.
func (s *SystemSource) Lend(cell core.Cell, stamp Stamp, now time.Time) {
	s.settle(now)
	if stamp.Term != s.term || stamp == (Stamp{}) {
		return
	}
	till := s.began.Add(stamp.Since + loanTerm)
	if !till.After(now) || !till.After(s.lentTill[cell]) {
		return
	}
	_, known := s.lentTill[cell]
	s.lentTill[cell] = till
	if !known {
		s.share(now)
	}
}

// settle ends each loan at its moment.
func (s *SystemSource) settle(now time.Time) {
	for {
		var first core.Cell
		for cell, till := range s.lentTill {
			if !now.Before(till) && (first == "" || till.Before(s.lentTill[first])) {
				first = cell
			}
		}
		if first == "" {
			return
		}
		till := s.lentTill[first]
		delete(s.lentTill, first)
		s.share(till)
	}
}

func (s *SystemSource) share(now time.Time) {
	lenders := make(map[core.Cell]bool, len(s.lentTill))
	for cell := range s.lentTill {
		lenders[cell] = true
	}
	s.SetShares(s.division.System(s.state, lenders), now)
}
