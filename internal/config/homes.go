package config

import (
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// homeSteps divides the homes of a service for moves that only even the load:
// at most one part moves at a time, so that a data centre which came back is
// not flooded with keys while its targets are cold.
const homeSteps = 16

// HomeMove is a home that its cell is asked to give up. Until the cell agrees
// the home stays where it is.
type HomeMove struct {
	To    core.Cell
	Since core.Version // of the change that asked; an agreement names it
}

// AgreeHomeMove is proposed by a cell's coordinator once it has released the
// shards. An agreement to an earlier request for the same shard changes nothing.
type AgreeHomeMove struct {
	Cell    core.Cell
	Service core.Service
	Shards  []core.Shard
	Since   core.Version
}

// ConfirmCell is proposed by a cell's coordinator that was elected by the new
// members and the previous ones together.
type ConfirmCell struct {
	Cell  core.Cell
	Epoch core.Epoch
}

func (c AgreeHomeMove) apply(next *State) error {
	h, ok := next.Homes[c.Service]
	if !ok {
		return result.New(result.NotFound, "service %s", c.Service)
	}
	h = h.clone()
	for _, s := range c.Shards {
		m, asked := h.Moving[s]
		if !asked || m.Since != c.Since || h.Cells[h.Home[s]] != c.Cell {
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

// changeMembers returns the cell after a change of its members. Until its
// coordinator confirms the change, elections need a majority of both sets, so a
// second change has to wait; a cell that is stated dead has no coordinator.
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

// placeHomes brings the homes of all services in line with the cells and the
// data centres.
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

// PlanHomes returns the homes that follow from prev when the data centres of
// the cells have these statuses. It moves as few homes as it can. A home in a
// data centre that is stated dead moves at once, any other only when its cell
// agrees to the request that the result holds.
func PlanHomes(prev ShardHomes, shards uint32, status map[core.Cell]DataCentreStatus, now core.Version) ShardHomes {
	p := homePlan{ShardHomes: prev.clone(), load: cellLoads{homes: map[core.Cell]int{}}, status: status, now: now}
	for _, name := range slices.Sorted(maps.Keys(status)) {
		if status[name] == DataCentreActive {
			p.load.homes[name] = 0
		}
	}
	if len(p.load.homes) == 0 {
		return prev
	}
	if len(p.Home) != int(shards) {
		p.ShardHomes = ShardHomes{Home: make([]uint16, shards), Moving: map[core.Shard]HomeMove{}}
		for s := range p.Home {
			p.settle(core.Shard(s))
		}
		return p.ShardHomes
	}
	p.cancel()
	p.count()
	p.leave()
	if len(p.Moving) == 0 {
		p.even()
	}
	return p.ShardHomes
}

type homePlan struct {
	ShardHomes
	load   cellLoads // homes of each cell that takes work, those on their way included
	status map[core.Cell]DataCentreStatus
	now    core.Version
}

func (p *homePlan) takes(c core.Cell) bool { _, ok := p.load.homes[c]; return ok }

// settle gives a shard that nobody holds a home.
func (p *homePlan) settle(s core.Shard) {
	to := p.load.least()
	p.Home[s] = p.index(to)
	p.load.add(to, 1)
}

// cancel withdraws requests that lost their reason: the destination takes no
// work any more, or the home takes work again and so need not be left.
func (p *homePlan) cancel() {
	for s, m := range p.Moving {
		if !p.takes(m.To) || p.takes(p.Cells[p.Home[s]]) {
			delete(p.Moving, s)
		}
	}
}

func (p *homePlan) count() {
	for s, i := range p.Home {
		at := p.Cells[i]
		if m, moving := p.Moving[core.Shard(s)]; moving {
			at = m.To
		}
		if p.takes(at) {
			p.load.add(at, 1)
		}
	}
}

// leave moves the homes of cells that take no work.
func (p *homePlan) leave() {
	for i := range p.Home {
		s := core.Shard(i)
		at := p.Cells[p.Home[i]]
		status, known := p.status[at]
		switch {
		case p.takes(at):
		case !known || status == DataCentreDead:
			if m, moving := p.Moving[s]; moving {
				p.Home[i] = p.index(m.To)
				delete(p.Moving, s)
			} else {
				p.settle(s)
			}
		case p.Moving[s].To == "":
			p.ask(s, p.load.least())
		}
	}
}

func (p *homePlan) ask(s core.Shard, to core.Cell) {
	p.Moving[s] = HomeMove{To: to, Since: p.now}
	p.load.add(to, 1)
}

// even asks for one step of moves from the fullest cells to the emptiest.
func (p *homePlan) even() {
	step := max(1, len(p.Home)/homeSteps)
	floor := len(p.Home) / len(p.load.homes)
	for i := len(p.Home) - 1; i >= 0 && step > 0; i-- {
		from, to := p.Cells[p.Home[i]], p.load.least()
		if p.load.homes[to] >= floor || p.load.homes[from] <= floor {
			continue
		}
		p.load.add(from, -1)
		p.ask(core.Shard(i), to)
		step--
	}
}

// index returns the position of a cell in Cells, which it joins if needed.
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

// PendingHomeMove returns the request to give up a shard's home, if there is one.
func (s *State) PendingHomeMove(service core.Service, shard core.Shard) (HomeMove, bool) {
	m, ok := s.Homes[service].Moving[shard]
	return m, ok
}
