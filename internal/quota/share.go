package quota

import (
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Division defines how a workspace's rate and burst are divided. All fields are
// fractions.
type Division struct {
	// Floor is the part of rate and burst that is reserved for the cells in
	// equal parts, so that each can admit requests while it is partitioned. From
	// 0 to 1.
	Floor float64
	// MinKept is the minimum part of its floor that a cell keeps while it lends
	// the rest. From 0 to 1.
	MinKept float64
	// Cover is the part of its own demand that a cell covers from its floor, so
	// that most requests need no token from the system's source. From 0 to 1.
	Cover float64
	// PrefetchFraction is the part of a burst that all daemons together, and the
	// same again that all cells together, may draw ahead of demand. A part that
	// is less than one token per daemon or per cell stays with the system's source.
	// From 0 to 0.5.
	PrefetchFraction float64
}

// DefaultDivision returns the division in use; see docs/decisions/06-rates.md.
func DefaultDivision() Division {
	return Division{Floor: 1, MinKept: 0.10, Cover: 0.80, PrefetchFraction: 0.20}
}

// Share is a part of a workspace's rate and burst.
type Share struct {
	Rate          float64 // tokens per second
	Burst         float64 // tokens
	PrefetchLimit int     // maximum number of tokens drawn ahead of demand from the level above
}

// KeptFractions is the part of its floor that a lending cell keeps for each
// workspace. For a workspace that is not in the map it keeps Division.MinKept.
type KeptFractions map[core.Workspace]float64

// keptFraction returns the part of a workspace's floor that is kept, at least
// d.MinKept.
func (d Division) keptFraction(keeps KeptFractions, w core.Workspace) float64 {
	if part, ok := keeps[w]; ok {
		return min(1, max(d.MinKept, part))
	}
	return d.MinKept
}

// Cell returns the floors of one cell, or the parts that it keeps while it lends
// the rest. A cell whose floor is pending has no shares, but counts as one of
// the cells among which the rate is divided.
//
// Invariant: for one configuration and one set of lenders, the shares of the
// cells and of the system, together with the tokens that cells and daemons may
// draw ahead of demand, add up to at most each workspace's rate and burst.
func (d Division) Cell(state *config.State, cell core.Cell, lends bool, keeps KeptFractions) map[core.Workspace]Share {
	shares := make(map[core.Workspace]Share, len(state.Workspaces))
	c, member := state.Cells[cell]
	for name, w := range state.Workspaces {
		shares[name] = Share{}
		if member && !c.FloorPending {
			part := 1.0
			if lends {
				part = d.keptFraction(keeps, name)
			}
			shares[name] = d.floor(w, len(state.Cells), part)
		}
	}
	return shares
}

// System returns the shares of the system's source: what remains of each
// workspace's rate and burst after the floors and the tokens drawn ahead of
// demand, plus what the lenders lend.
func (d Division) System(state *config.State, lenders map[core.Cell]KeptFractions) map[core.Workspace]Share {
	cells, daemons := len(state.Cells), daemonCount(state)
	shares := make(map[core.Workspace]Share, len(state.Workspaces))
	for name, w := range state.Workspaces {
		prefetchTotal := float64(d.prefetchLimit(w, cells)*cells + d.prefetchLimit(w, daemons)*daemons)
		share := Share{Rate: w.Rate, Burst: w.Burst - prefetchTotal}
		for cell, c := range state.Cells {
			part := 1.0
			if keeps, lends := lenders[cell]; lends && !c.FloorPending {
				part = d.keptFraction(keeps, name)
			}
			floor := d.floor(w, cells, part)
			share.Rate -= floor.Rate
			share.Burst -= floor.Burst
		}
		shares[name] = Share{Rate: max(0, share.Rate), Burst: max(0, share.Burst)}
	}
	return shares
}

// DaemonPrefetchLimit returns how many tokens of w one daemon may draw ahead of
// demand.
func (d Division) DaemonPrefetchLimit(state *config.State, w core.Workspace) int {
	return d.prefetchLimit(state.Workspaces[w], daemonCount(state))
}

// floor returns one cell's floor of a workspace, scaled to the given fraction.
// Since an admission needs a whole token, the scaled burst is at least one token
// if that of the whole floor is.
func (d Division) floor(w config.Workspace, cells int, fraction float64) Share {
	cellFraction := d.Floor / float64(max(1, cells))
	fullBurst := w.Burst * (1 - 2*d.PrefetchFraction) * cellFraction // without the tokens that cells and daemons draw ahead
	f := Share{Rate: w.Rate * cellFraction * fraction, Burst: fullBurst * fraction, PrefetchLimit: d.prefetchLimit(w, cells)}
	if f.Rate > 0 {
		f.Burst = max(f.Burst, min(1, fullBurst))
	}
	return f
}

// prefetchLimit returns how many tokens of w each of n daemons, or each of n
// cells, may draw ahead of demand.
func (d Division) prefetchLimit(w config.Workspace, n int) int {
	return int(w.Burst * d.PrefetchFraction / float64(max(1, n)))
}

func daemonCount(state *config.State) int {
	n := 0
	for _, c := range state.Cells {
		n += len(c.Members)
	}
	return n
}
