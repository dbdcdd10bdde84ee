package config

import (
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// rebalanceSteps limits a rebalancing step: one step moves at most 1/rebalanceSteps
// of a service's homes (but always may move one), so that a data centre that returns
// to service does not receive too many shards while its targets are cold.
const rebalanceSteps = 16

// HomeMove is a request to move the home of a shard to another cell. The home
// moves once its current cell has agreed.
type HomeMove struct {
	To    core.Cell
	Since core.Version // version of the change that made the request; an agreement must carry the same
}

// AgreeHomeMove completes the requested moves of the homes of shards. The
// coordinator of their current home cell proposes it once it has released the
// shards. An agreement to an earlier request for the same shard changes nothing.
type AgreeHomeMove struct {
	Cell    core.Cell
	Service core.Service
	Shards  []core.Shard
	Since   core.Version
}

// ConfirmCell completes a change of a cell's members. It is proposed by a
// coordinator that majorities of both the new and the previous members elected.
type ConfirmCell struct {
	Cell  core.Cell
	Epoch core.Epoch
}

func (c AgreeHomeMove) apply(next *State) error {
	h, ok := next.Homes[c.Service]
	if !ok {
		return result.New(result.NotFound, "no service is named %s", c.Service)
	}
	h = h.clone()
	for _, s := range c.Shards {
		m, requested := h.Moving[s]
		if !requested || m.Since != c.Since || h.Cells[h.Home[s]] != c.Cell {
			continue
		}
		h.Home[s] = h.index(m.To)
		delete(h.Moving, s)
	}
	next.Homes[c.Service] = h
	next.placeHomes()
	return nil
}

func (c ConfirmCell) apply(next *State) error {
	cell, ok := next.Cells[c.Cell]
	if !ok || cell.Epoch != c.Epoch {
		return result.New(result.VersionConflict, "cell %s has no epoch %d", c.Cell, c.Epoch)
	}
	cell.Previous = nil
	next.Cells[c.Cell] = cell
	return nil
}

// changeMembers returns next with the epoch and the previous members that follow
// from prev. Until a coordinator of the cell confirms the change, elections need
// a majority of both the new and the previous members, so a second change is
// refused until then. This does not apply to a cell in a data centre that is
// declared dead, since it has no coordinator.
func changeMembers(prev, next Cell, status DataCentreStatus) (Cell, error) {
	next.Epoch = prev.Epoch + 1
	if len(prev.Members) == 0 || status == DataCentreDead || slices.Equal(prev.Members, next.Members) {
		next.Previous = prev.Previous
		if status == DataCentreDead {
			next.Previous = nil
		}
		return next, nil
	}
	if len(prev.Previous) > 0 {
		return next, result.New(result.VersionConflict, "cell %s has not confirmed its last change of members", next.Name)
	}
	next.Previous = prev.Members
	return next, nil
}

// placeHomes updates the homes of all keyed services to the current cells and
// statuses of data centres.
func (s *State) placeHomes() {
	status := map[core.Cell]DataCentreStatus{}
	for name, c := range s.Cells {
		status[name] = s.DataCentres[c.DataCentre].Status
	}
	for name, svc := range s.Services {
		if svc.Keyed {
			s.Homes[name] = PlanHomes(s.Homes[name], svc.Shards, status, s.Version+1)
		}
	}
}

// PlanHomes returns the homes of a service's shards, starting from prev, for the
// given status of each cell's data centre. It moves as few homes as possible. A
// home in a data centre that is declared dead moves immediately. For any other
// home the result contains a request to move it, to which its cell must agree.
func PlanHomes(prev ShardHomes, shards uint32, status map[core.Cell]DataCentreStatus, version core.Version) ShardHomes {
	p := homePlan{ShardHomes: prev.clone(), homeCounts: cellHomeCounts{homes: map[core.Cell]int{}}, status: status, version: version}
	for _, name := range slices.Sorted(maps.Keys(status)) {
		if status[name] == DataCentreActive {
			p.homeCounts.homes[name] = 0
		}
	}
	if len(p.homeCounts.homes) == 0 {
		return prev
	}
	if len(p.Home) != int(shards) {
		p.ShardHomes = ShardHomes{Home: make([]uint16, shards), Moving: map[core.Shard]HomeMove{}}
		for s := range p.Home {
			p.assignHome(core.Shard(s))
		}
		return p.ShardHomes
	}
	p.cancelObsoleteMoves()
	p.countHomes()
	p.vacateUnavailableCells()
	if len(p.Moving) == 0 {
		p.rebalance()
	}
	return p.ShardHomes
}

// homePlan is the working state of PlanHomes.
type homePlan struct {
	ShardHomes
	homeCounts cellHomeCounts // for each cell in an active data centre; a requested move counts for its destination
	status     map[core.Cell]DataCentreStatus
	version    core.Version // version of the configuration that results from the change
}

func (p *homePlan) acceptsHomes(c core.Cell) bool { _, ok := p.homeCounts.homes[c]; return ok }

// assignHome gives a shard without an available home the cell with the fewest
// homes.
func (p *homePlan) assignHome(s core.Shard) {
	to := p.homeCounts.least()
	p.Home[s] = p.index(to)
	p.homeCounts.add(to, 1)
}

// cancelObsoleteMoves cancels moves whose destination no longer accepts homes,
// and moves from a home that accepts homes again.
func (p *homePlan) cancelObsoleteMoves() {
	for s, m := range p.Moving {
		if !p.acceptsHomes(m.To) || p.acceptsHomes(p.Cells[p.Home[s]]) {
			delete(p.Moving, s)
		}
	}
}

// countHomes initializes homeCounts.
func (p *homePlan) countHomes() {
	for s, i := range p.Home {
		home := p.Cells[i]
		if m, moving := p.Moving[core.Shard(s)]; moving {
			home = m.To
		}
		if p.acceptsHomes(home) {
			p.homeCounts.add(home, 1)
		}
	}
}

// vacateUnavailableCells moves the homes away from cells that accept no homes:
// immediately if the cell is removed or dead, otherwise by request.
func (p *homePlan) vacateUnavailableCells() {
	for i := range p.Home {
		s := core.Shard(i)
		home := p.Cells[p.Home[i]]
		status, known := p.status[home]
		switch {
		case p.acceptsHomes(home):
		case !known || status == DataCentreDead:
			if m, moving := p.Moving[s]; moving {
				p.Home[i] = p.index(m.To)
				delete(p.Moving, s)
			} else {
				p.assignHome(s)
			}
		case p.Moving[s].To == "":
			p.requestMove(s, p.homeCounts.least())
		}
	}
}

func (p *homePlan) requestMove(s core.Shard, to core.Cell) {
	p.Moving[s] = HomeMove{To: to, Since: p.version}
	p.homeCounts.add(to, 1)
}

// rebalance requests one step of moves from cells with more than the average
// number of homes to those with the fewest.
func (p *homePlan) rebalance() {
	step := max(1, len(p.Home)/rebalanceSteps)
	average := len(p.Home) / len(p.homeCounts.homes)
	for i := len(p.Home) - 1; i >= 0 && step > 0; i-- {
		from, to := p.Cells[p.Home[i]], p.homeCounts.least()
		if p.homeCounts.homes[to] >= average || p.homeCounts.homes[from] <= average {
			continue
		}
		p.homeCounts.add(from, -1)
		p.requestMove(core.Shard(i), to)
		step--
	}
}

// index returns the index of a cell in Cells, to which it adds the cell if
// needed.
func (h *ShardHomes) index(c core.Cell) uint16 {
	i := slices.Index(h.Cells, c)
	if i < 0 {
		h.Cells = append(slices.Clone(h.Cells), c)
		i = len(h.Cells) - 1
	}
	return uint16(i)
}

func (h ShardHomes) clone() ShardHomes {
	moving := maps.Clone(h.Moving)
	if moving == nil {
		moving = map[core.Shard]HomeMove{}
	}
	return ShardHomes{Cells: h.Cells, Home: slices.Clone(h.Home), Moving: moving}
}

// PendingHomeMove returns the requested move of a shard's home, if there is one.
func (s *State) PendingHomeMove(service core.Service, shard core.Shard) (HomeMove, bool) {
	m, ok := s.Homes[service].Moving[shard]
	return m, ok
}
