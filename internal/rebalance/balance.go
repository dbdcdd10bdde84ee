package rebalance

import (
	"cmp"
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	overloadRatio = 1.25 // a target above this multiple of the mean load is relieved
	minExcessRate = 10.0 // requests per second above the mean from which a move is worthwhile
	minGainRatio  = 0.02 // smallest fraction of the excess that a move must remove
	keyGainWeight = 0.8  // a key's gain counts less than a shard's, since the key needs a table entry of its own
)

// Move assigns a shard, or one of its keys, to another target.
type Move struct {
	Service core.Service
	Shard   core.Shard
	ByKey   bool
	Hash    uint64 // of the key, if ByKey is set
	From    core.TargetID
	To      core.TargetID
	Rate    float64 // load that moves, in requests per second
}

// ServiceTargets describes one keyed service in one cell. Together with the load
// reports it is the input of a decision.
type ServiceTargets struct {
	Service          core.Service
	Targets          []core.TargetID     // targets that may own shards
	SplittableShards uint32              // keys of shards below this number may get a shard of their own
	Fixed            map[core.Shard]bool // shards that an operator pinned to a target
}

// Balance returns the move that lowers the load of the busiest target the most,
// or false when the load is balanced well enough. It moves a single key where
// that helps more than moving the key's whole shard.
func Balance(targets ServiceTargets, reports map[core.VM]Report) (Move, bool) {
	loads := merge(targets, reports)
	if len(loads.rate) < 2 {
		return Move{}, false
	}
	from, to, mean := loads.extremes()
	excess := loads.rate[from] - mean
	if loads.rate[from] < overloadRatio*mean || excess < minExcessRate {
		return Move{}, false
	}
	var best Move
	for _, m := range loads.candidates(targets, from, to) {
		if score(loads, m) > score(loads, best) {
			best = m
		}
	}
	if gain(loads, best) < minGainRatio*excess {
		return Move{}, false
	}
	return best, true
}

// gain returns by how much a move lowers the larger load of its two targets, in
// requests per second.
func gain(l loads, m Move) float64 {
	if m.Rate == 0 {
		return 0
	}
	return l.rate[m.From] - max(l.rate[m.From]-m.Rate, l.rate[m.To]+m.Rate)
}

// score returns the gain of a move, weighted by its cost.
func score(l loads, m Move) float64 {
	if m.ByKey {
		return keyGainWeight * gain(l, m)
	}
	return gain(l, m)
}

// loads is the load of one service as all dispatchers of a cell report it.
type loads struct {
	rate   map[core.TargetID]float64
	shards map[core.Shard]ShardRate
	keys   []KeyRate
}

func merge(targets ServiceTargets, reports map[core.VM]Report) loads {
	l := loads{rate: map[core.TargetID]float64{}, shards: map[core.Shard]ShardRate{}}
	for _, id := range targets.Targets {
		l.rate[id] = 0
	}
	for _, vm := range slices.Sorted(maps.Keys(reports)) {
		for _, s := range reports[vm].Services {
			if s.Service == targets.Service {
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

// extremes returns the targets with the highest and the lowest load, and the mean
// load of all targets.
func (l *loads) extremes() (busiestTarget, idlestTarget core.TargetID, mean float64) {
	ids := slices.SortedFunc(maps.Keys(l.rate), func(a, b core.TargetID) int {
		return cmp.Or(cmp.Compare(l.rate[a], l.rate[b]), cmp.Compare(a, b))
	})
	for _, id := range ids {
		mean += l.rate[id] / float64(len(ids))
	}
	return ids[len(ids)-1], ids[0], mean
}

// candidates returns the possible moves between two targets.
func (l *loads) candidates(targets ServiceTargets, from, to core.TargetID) []Move {
	var moves []Move
	for _, k := range l.keys {
		if k.Target == from && !targets.Fixed[k.Key.Shard] && uint32(k.Key.Shard) < targets.SplittableShards {
			moves = append(moves, Move{
				Service: targets.Service, Shard: k.Key.Shard, ByKey: true, Hash: k.Key.Hash, From: from, To: to, Rate: k.Rate,
			})
		}
	}
	for _, shard := range slices.Sorted(maps.Keys(l.shards)) {
		if sh := l.shards[shard]; sh.Target == from && !targets.Fixed[shard] {
			moves = append(moves, Move{Service: targets.Service, Shard: shard, From: from, To: to, Rate: sh.Rate})
		}
	}
	return moves
}

// coldRatio is the fraction of the mean target load below which a shard that was
// moved because of its load is no longer pinned.
const coldRatio = 0.02

// PinToRemove returns one automatic pin to remove, because its shard no longer has
// much load.
func PinToRemove(targets ServiceTargets, reports map[core.VM]Report, table *cell.Table) (cell.Pin, bool) {
	l := merge(targets, reports)
	if len(l.rate) < 2 {
		return cell.Pin{}, false
	}
	_, _, mean := l.extremes()
	for _, shard := range slices.Sorted(maps.Keys(table.Pins[targets.Service])) {
		pin := table.Pins[targets.Service][shard]
		if pin.Automatic && mean >= minExcessRate && l.shards[shard].Rate < coldRatio*mean {
			return cell.Pin{Service: targets.Service, Shard: shard, Automatic: true}, true
		}
	}
	return cell.Pin{}, false
}
