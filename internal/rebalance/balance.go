package rebalance

import (
	"cmp"
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	hotRatio  = 1.25 // a target above so many times the mean is relieved
	minExcess = 10.0 // requests a second above the mean that are worth a move
	minGain   = 0.02 // of the excess that a move must take off
	keyWeight = 0.8  // of a key's gain beside a whole shard's, which needs no entry of its own
)

// Move gives a shard, or one key of it, another owner.
type Move struct {
	Service core.Service
	Shard   core.Shard
	ByKey   bool
	Hash    uint64 // of the key, with ByKey
	From    core.TargetID
	To      core.TargetID
	Rate    float64 // requests a second that move
}

// CellLoad is what a decision needs to know of one keyed service in one cell,
// beside the reports.
type CellLoad struct {
	Service   core.Service
	Targets   []core.TargetID     // that may own shards
	KeyShards uint32              // keys of shards below this number may get one of their own
	Fixed     map[core.Shard]bool // operators chose their owners
}

// Balance returns the one move that takes the most load off the busiest target,
// or false when the cell is even enough. A key moves by itself where its whole
// shard would do less good.
func Balance(c CellLoad, reports map[core.VM]Report) (Move, bool) {
	loads := merge(c, reports)
	if len(loads.rate) < 2 {
		return Move{}, false
	}
	from, to, mean := loads.extremes()
	excess := loads.rate[from] - mean
	if loads.rate[from] < hotRatio*mean || excess < minExcess {
		return Move{}, false
	}
	var best Move
	for _, m := range loads.candidates(c, from, to) {
		if score(loads, m) > score(loads, best) {
			best = m
		}
	}
	if gain(loads, best) < minGain*excess {
		return Move{}, false
	}
	return best, true
}

// gain is how much a move lowers the larger load of its two targets.
func gain(l loads, m Move) float64 {
	if m.Rate == 0 {
		return 0
	}
	return l.rate[m.From] - max(l.rate[m.From]-m.Rate, l.rate[m.To]+m.Rate)
}

func score(l loads, m Move) float64 {
	if m.ByKey {
		return keyWeight * gain(l, m)
	}
	return gain(l, m)
}

// loads is the load of one service over all dispatchers of a cell.
type loads struct {
	rate   map[core.TargetID]float64
	shards map[core.Shard]ShardRate
	keys   []KeyRate
}

func merge(c CellLoad, reports map[core.VM]Report) loads {
	l := loads{rate: map[core.TargetID]float64{}, shards: map[core.Shard]ShardRate{}}
	for _, id := range c.Targets {
		l.rate[id] = 0
	}
	for _, vm := range slices.Sorted(maps.Keys(reports)) {
		for _, s := range reports[vm].Services {
			if s.Service == c.Service {
				l.add(s)
			}
		}
	}
	return l
}

func (l *loads) add(s ServiceLoad) {
	for _, t := range s.Targets {
		if _, ok := l.rate[t.Target]; ok {
			l.rate[t.Target] += t.Rate
		}
	}
	for _, sh := range s.Shards {
		if sh.Rate > l.shards[sh.Shard].Rate {
			l.shards[sh.Shard] = sh
		}
	}
	l.keys = append(l.keys, s.Keys...)
}

// extremes returns the busiest and the idlest target and the mean load.
func (l *loads) extremes() (most, least core.TargetID, mean float64) {
	ids := slices.SortedFunc(maps.Keys(l.rate), func(a, b core.TargetID) int {
		return cmp.Or(cmp.Compare(l.rate[a], l.rate[b]), cmp.Compare(a, b))
	})
	for _, id := range ids {
		mean += l.rate[id] / float64(len(ids))
	}
	return ids[len(ids)-1], ids[0], mean
}

// candidates returns what could move from one target to another.
func (l *loads) candidates(c CellLoad, from, to core.TargetID) []Move {
	var moves []Move
	for _, k := range l.keys {
		if k.Target == from && !c.Fixed[k.Key.Shard] && uint32(k.Key.Shard) < c.KeyShards {
			moves = append(moves, Move{
				Service: c.Service, Shard: k.Key.Shard, ByKey: true, Hash: k.Key.Hash, From: from, To: to, Rate: k.Rate,
			})
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(l.shards)) {
		if sh := l.shards[shard]; sh.Target == from && !c.Fixed[shard] {
			moves = append(moves, Move{Service: c.Service, Shard: shard, From: from, To: to, Rate: sh.Rate})
		}
	}
	return moves
}

// coldPart is the part of the mean load of a target below which a shard that was
// moved for its load may be placed freely again.
const coldPart = 0.02

// Withdraw returns one automatic choice whose reason is gone: its shard has
// become cold.
func Withdraw(c CellLoad, reports map[core.VM]Report, table *cell.Table) (cell.Pin, bool) {
	l := merge(c, reports)
	if len(l.rate) < 2 {
		return cell.Pin{}, false
	}
	_, _, mean := l.extremes()
	for _, shard := range slices.Sorted(maps.Keys(table.Pins[c.Service])) {
		pin := table.Pins[c.Service][shard]
		if pin.Automatic && mean >= minExcess && l.shards[shard].Rate < coldPart*mean {
			return cell.Pin{Service: c.Service, Shard: shard, Automatic: true}, true
		}
	}
	return cell.Pin{}, false
}
