package quota

import (
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Division says how a workspace's rate and burst are divided.
type Division struct {
	// Floor is the part of rate and burst that is divided durably over the
	// cells, so that each goes on serving while it is cut off. The rest is handed
	// out by the system's source as demand asks. From 0 to 1.
	Floor float64
	// Stock is the part of a burst that daemons, and again cells, may hold as
	// tokens drawn ahead of demand. A part that gives no whole token to each
	// holder stays with the system's source. From 0 to 0.5.
	Stock float64
}

// DefaultDivision is the division in use; docs/decisions/06-rates.md weighs it.
func DefaultDivision() Division { return Division{Floor: 0.20, Stock: 0.20} }

// Share is a part of a workspace's rate and burst.
type Share struct {
	Rate  float64 // tokens a second
	Burst float64 // tokens
	Stock int     // tokens drawn ahead of demand from the level above, at most
}

// Cell returns the durable shares of one cell. A cell whose floor is not
// active yet has none, but counts in the division.
//
// Invariant: for one state, the bursts and stocks of all daemons, cells and the
// system add up to at most each workspace's burst, and the rates to its rate.
func (d Division) Cell(state *config.State, cell core.Cell) map[core.Workspace]Share {
	shares := make(map[core.Workspace]Share, len(state.Workspaces))
	c, member := state.Cells[cell]
	for name, w := range state.Workspaces {
		shares[name] = Share{}
		if member && !c.FloorPending {
			shares[name] = d.floor(w, len(state.Cells))
		}
	}
	return shares
}

// System returns the shares that the system's source hands out: what the
// floors and the stocks leave.
func (d Division) System(state *config.State) map[core.Workspace]Share {
	cells, daemons := len(state.Cells), daemonCount(state)
	shares := make(map[core.Workspace]Share, len(state.Workspaces))
	for name, w := range state.Workspaces {
		f := d.floor(w, cells)
		held := (f.Burst+float64(f.Stock))*float64(cells) + float64(d.stock(w, daemons)*daemons)
		shares[name] = Share{Rate: w.Rate - f.Rate*float64(cells), Burst: w.Burst - held}
	}
	return shares
}

// DaemonStock is the number of tokens of w that one daemon may draw ahead of
// demand.
func (d Division) DaemonStock(state *config.State, w core.Workspace) int {
	return d.stock(state.Workspaces[w], daemonCount(state))
}

// floor is one cell's durable share of a workspace. Its burst is at least the
// one token that any admission needs, as long as that leaves the system's source
// half of the burst.
func (d Division) floor(w config.Workspace, cells int) Share {
	part := d.Floor / float64(max(1, cells))
	f := Share{Rate: w.Rate * part, Burst: w.Burst * part, Stock: d.stock(w, cells)}
	if f.Burst < 1 && float64(2*cells) <= w.Burst {
		f.Burst = 1
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
