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
	// Kept is the part of its floor that a cell does not lend. From 0 to 1.
	Kept float64
	// Stock is the part of a burst that daemons, and again cells, may hold as
	// tokens drawn ahead of demand. A part that gives no whole token to each
	// holder stays with the system's source. From 0 to 0.5.
	Stock float64
}

// DefaultDivision is the division in use; docs/decisions/06-rates.md weighs it.
func DefaultDivision() Division { return Division{Floor: 1, Kept: 0.10, Stock: 0.20} }

// Share is a part of a workspace's rate and burst.
type Share struct {
	Rate  float64 // tokens a second
	Burst float64 // tokens
	Stock int     // tokens drawn ahead of demand from the level above, at most
}

// Cell returns the durable shares of one cell, or what it keeps of them while it
// lends the rest. A cell whose floor is not active yet has none, but counts in
// the division.
//
// Invariant: for one state and one set of lenders, the bursts and stocks of all
// daemons, cells and the system add up to at most each workspace's burst, and
// the rates to its rate.
func (d Division) Cell(state *config.State, cell core.Cell, lends bool) map[core.Workspace]Share {
	shares := make(map[core.Workspace]Share, len(state.Workspaces))
	c, member := state.Cells[cell]
	for name, w := range state.Workspaces {
		shares[name] = Share{}
		if member && !c.FloorPending {
			full, kept := d.floor(w, len(state.Cells))
			shares[name] = full
			if lends {
				shares[name] = kept
			}
		}
	}
	return shares
}

// System returns the shares that the system's source hands out: what the stocks
// and the floors leave, and what the lenders lend of theirs.
func (d Division) System(state *config.State, lenders map[core.Cell]bool) map[core.Workspace]Share {
	cells, daemons := len(state.Cells), daemonCount(state)
	lending := 0
	for cell := range lenders {
		if c, ok := state.Cells[cell]; ok && !c.FloorPending {
			lending++
		}
	}
	shares := make(map[core.Workspace]Share, len(state.Workspaces))
	for name, w := range state.Workspaces {
		full, kept := d.floor(w, cells)
		stocks := float64(d.stock(w, cells)*cells + d.stock(w, daemons)*daemons)
		shares[name] = Share{
			Rate:  w.Rate - full.Rate*float64(cells-lending) - kept.Rate*float64(lending),
			Burst: w.Burst - stocks - full.Burst*float64(cells-lending) - kept.Burst*float64(lending),
		}
	}
	return shares
}

// DaemonStock is the number of tokens of w that one daemon may draw ahead of
// demand.
func (d Division) DaemonStock(state *config.State, w core.Workspace) int {
	return d.stock(state.Workspaces[w], daemonCount(state))
}

// floor is one cell's durable share of a workspace, and what it keeps of it
// while it lends. What is kept has room for the one token that any admission
// needs, where the floor has.
func (d Division) floor(w config.Workspace, cells int) (full, kept Share) {
	part := d.Floor / float64(max(1, cells))
	stock := d.stock(w, cells)
	daemons := 2 * d.Stock // stocks of cells and daemons come off the burst
	full = Share{Rate: w.Rate * part, Burst: w.Burst * (1 - daemons) * part, Stock: stock}
	kept = Share{Rate: full.Rate * d.Kept, Burst: full.Burst * d.Kept, Stock: stock}
	if kept.Rate > 0 && kept.Burst < 1 {
		kept.Burst = min(1, full.Burst)
	}
	return full, kept
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
