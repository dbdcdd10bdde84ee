package quota

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// proposeAgain is the least time between two proposals for one cell.
const proposeAgain = 10 * time.Second

// floorAcks collects which configuration each cell has in force.
type floorAcks struct {
	since    map[core.Cell]core.Version // version in which a pending cell was first seen
	acked    map[core.Cell]core.Version
	proposed map[core.Cell]time.Time
}

func newFloorAcks() floorAcks {
	return floorAcks{
		since:    map[core.Cell]core.Version{},
		acked:    map[core.Cell]core.Version{},
		proposed: map[core.Cell]time.Time{},
	}
}

// note records that cell has version in force, and returns the cells whose floor
// may become active: every cell with an active floor has a version in force that
// divides with them.
func (f *floorAcks) note(state *config.State, cell core.Cell, version core.Version, now time.Time) []core.Cell {
	f.acked[cell] = max(f.acked[cell], version)
	var ready []core.Cell
	for name, c := range state.Cells {
		if !c.FloorPending {
			delete(f.since, name)
			continue
		}
		if _, ok := f.since[name]; !ok {
			f.since[name] = state.Version
		}
		if f.allHave(state, f.since[name]) && now.Sub(f.proposed[name]) >= proposeAgain {
			f.proposed[name] = now
			ready = append(ready, name)
		}
	}
	return ready
}

func (f *floorAcks) allHave(state *config.State, version core.Version) bool {
	for name, c := range state.Cells {
		if !c.FloorPending && f.acked[name] < version {
			return false
		}
	}
	return true
}
