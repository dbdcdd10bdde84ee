package quota

import (
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Division says how a workspace's rate and burst are divided.
type Division struct {
	// Floor is the part of rate and burst that is divided durably over the
	// cells, so that each goes on serving while it is cut off. From 0 to 1.
	Floor float64
	// Kept is the part of its floor that a cell keeps at least while it lends.
	// From 0 to 1.
	Kept float64
	// Cover is the part of its demand for which a cell keeps its own floor, so
	// that most requests need no token from above. From 0 to 1.
	Cover float64
	// Stock is the part of a burst that daemons, and again cells, may hold as
	// tokens drawn ahead of demand. A part that gives no whole token to each
	// holder stays with the system's source. From 0 to 0.5.
	Stock float64
}

// DefaultDivision is the division in use; docs/decisions/06-rates.md weighs it.
func DefaultDivision() Division { return Division{Floor: 1, Kept: 0.10, Cover: 0.80, Stock: 0.20} }

// Share is a part of a workspace's rate and burst.
type Share struct {
	Rate  float64 // tokens a second
	Burst float64 // tokens
	Stock int     // tokens drawn ahead of demand from the level above, at most
}

// Keeps holds the part of its floor that a lending cell keeps of each workspace.
// A workspace that is missing is kept by Division.Kept.
type Keeps map[core.Workspace]float64

// keep returns the part of a workspace's floor that is kept.
func (d Division) keep(k Keeps, w core.Workspace) float64 {
	if part, ok := k[w]; ok {
		return min(1, max(d.Kept, part))
	}
	return d.Kept
}

// Cell returns the durable shares of one cell, or what it keeps of them while it
// lends the rest. A cell whose floor is not active yet has none, but counts in
// the division.
//
// Invariant: for one state and one set of lenders, the bursts and stocks of all
// daemons, cells and the system add up to at most each workspace's burst, and
// the rates to its rate.
func (d Division) Cell(state *config.State, cell core.Cell, lends bool, keeps Keeps) map[core.Workspace]Share {
	shares := make(map[core.Workspace]Share, len(state.Workspaces))
	c, member := state.Cells[cell]
	for name, w := range state.Workspaces {
		shares[name] = Share{}
		if member && !c.FloorPending {
			part := 1.0
			if lends {
				part = d.keep(keeps, name)
			}
			shares[name] = d.floor(w, len(state.Cells), part)
		}
	}
	return shares
}

// System returns the shares that the system's source hands out: what the stocks
// and the floors leave, and what the lenders lend of theirs.
func (d Division) System(state *config.State, lenders map[core.Cell]Keeps) map[core.Workspace]Share {
	cells, daemons := len(state.Cells), daemonCount(state)
	shares := make(map[core.Workspace]Share, len(state.Workspaces))
	for name, w := range state.Workspaces {
		stocks := float64(d.stock(w, cells)*cells + d.stock(w, daemons)*daemons)
		share := Share{Rate: w.Rate, Burst: w.Burst - stocks}
		for cell, c := range state.Cells {
			part := 1.0
			if keeps, lends := lenders[cell]; lends && !c.FloorPending {
				part = d.keep(keeps, name)
			}
			floor := d.floor(w, cells, part)
			share.Rate -= floor.Rate
			share.Burst -= floor.Burst
		}
		shares[name] = Share{Rate: max(0, share.Rate), Burst: max(0, share.Burst)}
	}
	return shares
}

// DaemonStock is the number of tokens of w that one daemon may draw ahead of
// demand.
func (d Division) DaemonStock(state *config.State, w core.Workspace) int {
	return d.stock(state.Workspaces[w], daemonCount(state))
}

// floor is one cell's durable share of a workspace, or the part of it that is
// kept. A part has room for the one token that any admission needs, where the
// whole floor has.
func (d Division) floor(w config.Workspace, cells int, part float64) Share {
	of := d.Floor / float64(max(1, cells))
	whole := w.Burst * (1 - 2*d.Stock) * of // the stocks of cells and daemons come off
	f := Share{Rate: w.Rate * of * part, Burst: whole * part, Stock: d.stock(w, cells)}
	if f.Rate > 0 {
		f.Burst = max(f.Burst, min(1, whole))
	}
	return f
}

func (d Division) stock(w config.Workspace, holders int) int {
	return int(w.Burst * d.Stock / float64(max(1, holders)))
}

func daemonCount(state *config.State) int {
	n := 0
	for _, c := range state.Cells {
		n += len(c.Members)
	}
	return n
}
