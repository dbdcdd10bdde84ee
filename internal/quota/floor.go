package quota

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// minProposeInterval is the shortest time between two proposals for one cell.
const minProposeInterval = 10 * time.Second

// floorAcks tracks which configuration version each cell uses. The floor of a
// new cell becomes active only after all other cells divide the rates with it;
// otherwise the shares could add up to more than a workspace's rate.
type floorAcks struct {
	pendingSince map[core.Cell]core.Version // version in which a cell with a pending floor was first seen
	acked        map[core.Cell]core.Version
	proposedAt   map[core.Cell]time.Time
}

func newFloorAcks() floorAcks {
	return floorAcks{
		pendingSince: map[core.Cell]core.Version{},
		acked:        map[core.Cell]core.Version{},
		proposedAt:   map[core.Cell]time.Time{},
	}
}

// record notes the configuration version that a cell uses. It returns the cells
// whose pending floor may now be activated: every cell with an active floor uses
// a version that already includes them.
func (f *floorAcks) record(state *config.State, cell core.Cell, version core.Version, now time.Time) []core.Cell {
	f.acked[cell] = max(f.acked[cell], version)
	var ready []core.Cell
	for name, c := range state.Cells {
		if !c.FloorPending {
			delete(f.pendingSince, name)
			continue
		}
		if _, ok := f.pendingSince[name]; !ok {
			f.pendingSince[name] = state.Version
		}
		if f.allAcked(state, f.pendingSince[name]) && now.Sub(f.proposedAt[name]) >= minProposeInterval {
			f.proposedAt[name] = now
			ready = append(ready, name)
		}
	}
	return ready
}

func (f *floorAcks) allAcked(state *config.State, version core.Version) bool {
	for name, c := range state.Cells {
		if !c.FloorPending && f.acked[name] < version {
			return false
		}
	}
	return true
}
