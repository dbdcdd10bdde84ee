package cell

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Proposals returns the configuration changes that this member has to propose to
// the registry while it coordinates the cell: the confirmation of a change of
// members, once it was elected by the new members, and the agreement to move the
// homes of shards that the cell has released.
func (n *Node) Proposals(now time.Time) []config.Change {
	c := n.coordinator
	if !n.IsCoordinator(now) || c.pending() || c.hint != nil {
		return nil
	}
	var out []config.Change
	cell := n.state.Cells[n.cell]
	if len(cell.Previous) > 0 && c.number.Epoch == cell.Epoch {
		out = append(out, config.ConfirmCell{Cell: n.cell, Epoch: cell.Epoch})
	}
	for _, service := range slices.Sorted(maps.Keys(n.state.Homes)) {
		out = append(out, n.agreements(service)...)
	}
	return out
}

// agreements returns one agreement for each requested home move that has released
// shards. The table in force must name a configuration at least as new as the
// request, so that no later coordinator assigns the shards again under an older
// configuration.
func (n *Node) agreements(service core.Service) []config.Change {
	bySince := map[core.Version]config.AgreeHomeMove{}
	for s, m := range n.state.Homes[service].Moving {
		home, _ := n.state.Home(service, s)
		assignment, _, _ := n.coordinator.table.Owner(service, s)
		if home != n.cell || assignment.Target != "" || n.coordinator.table.Config < m.Since {
			continue
		}
		agree := bySince[m.Since]
		agree.Cell, agree.Service, agree.Since = n.cell, service, m.Since
		agree.Shards = append(agree.Shards, s)
		bySince[m.Since] = agree
	}
	var out []config.Change
	for _, since := range slices.SortedFunc(maps.Keys(bySince), cmp.Compare[core.Version]) {
		agree := bySince[since]
		slices.Sort(agree.Shards)
		out = append(out, agree)
	}
	return out
}

// newestMoveRequest returns the version of the newest change that requests a home
// move away from this cell; 0: none.
func newestMoveRequest(s *config.State, cell core.Cell) core.Version {
	var newest core.Version
	for _, h := range s.Homes {
		for shard, m := range h.Moving {
			if h.Cells[h.Home[shard]] == cell {
				newest = max(newest, m.Since)
			}
		}
	}
	return newest
}
