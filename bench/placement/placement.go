// Package placement compares algorithms that assign shards to home cells: their
// imbalance, and their churn when cells are removed and return. It has decisions
// only; the command slopes prints its results.
package placement

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Homes holds the home cell of each shard, by shard number; -1 means none.
type Homes []int32

// Method is one placement algorithm. Place assigns shards to the given cells;
// prev is the previous placement, nil for the first.
type Method struct {
	Name  string
	Place func(prev Homes, shards int, cells []int32) Homes
}

// Methods returns the algorithms to compare.
func Methods() []Method {
	return []Method{
		{"modulo", modulo},
		{"rendezvous", rendezvous},
		{"jump", jump},
		{"keep and level", keepAndLevel},
	}
}

func modulo(_ Homes, shards int, cells []int32) Homes {
	h := make(Homes, shards)
	for s := range h {
		h[s] = cells[s%len(cells)]
	}
	return h
}

// rendezvous is highest random weight hashing (Thaler and Ravishankar, 1996).
func rendezvous(_ Homes, shards int, cells []int32) Homes {
	seeds := make([]uint64, len(cells))
	for i, c := range cells {
		seeds[i] = xxhash.Sum64String("cell-" + strconv.Itoa(int(c)))
	}
	h := make(Homes, shards)
	for s := range h {
		shard := mix(uint64(s))
		best, highest := 0, uint64(0)
		for i, seed := range seeds {
			if w := mix(seed ^ shard); w > highest {
				best, highest = i, w
			}
		}
		h[s] = cells[best]
	}
	return h
}

// mix is the finalizer of MurmurHash3 (Appleby).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// jump is jump consistent hashing (Lamping and Veach, 2014) over the sorted
// list of cells.
func jump(_ Homes, shards int, cells []int32) Homes {
	h := make(Homes, shards)
	for s := range h {
		h[s] = cells[jumpBucket(mix(uint64(s)+1), len(cells))]
	}
	return h
}

func jumpBucket(key uint64, buckets int) int {
	b, j := int64(-1), int64(0)
	for j < int64(buckets) {
		b = j
		key = key*2862933555777941757 + 1
		j = int64(float64(b+1) * (float64(int64(1)<<31) / float64(key>>33+1)))
	}
	return int(b)
}

// keepAndLevel leaves each shard at its previous cell while that cell is present
// and below its even share, and assigns the other shards to the cells that are
// still below theirs.
func keepAndLevel(prev Homes, shards int, cells []int32) Homes {
	index := make(map[int32]int, len(cells))
	for i, c := range cells {
		index[c] = i
	}
	counts := make([]int, len(cells))
	floor, extra := shards/len(cells), shards%len(cells)
	h := make(Homes, shards)
	var unassigned []int
	for s := range h {
		i, ok := -1, false
		if prev != nil {
			i, ok = lookup(index, prev[s])
		}
		if !ok || counts[i] > floor || counts[i] == floor && extra == 0 {
			unassigned = append(unassigned, s)
			continue
		}
		if counts[i] == floor {
			extra--
		}
		counts[i]++
		h[s] = cells[i]
	}
	next := 0
	for _, s := range unassigned {
		for counts[next] >= floor && (counts[next] > floor || extra == 0) {
			next++
		}
		if counts[next] == floor {
			extra--
		}
		counts[next]++
		h[s] = cells[next]
	}
	return h
}

func lookup(index map[int32]int, cell int32) (int, bool) {
	i, ok := index[cell]
	return i, ok
}

// Imbalance returns the largest number of shards at one cell divided by the mean.
func Imbalance(h Homes, cells []int32) float64 {
	counts := map[int32]int{}
	for _, c := range h {
		counts[c]++
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	return float64(most) * float64(len(cells)) / float64(len(h))
}

// Churn returns the fraction of shards whose home differs between a and b.
func Churn(a, b Homes) float64 {
	moved := 0
	for s := range a {
		if a[s] != b[s] {
			moved++
		}
	}
	return float64(moved) / float64(len(a))
}

// Cells returns the cells 0 to n-1 except those for which out returns true.
func Cells(n int, out func(cell int32) bool) []int32 {
	var in []int32
	for c := range int32(n) {
		if out == nil || !out(c) {
			in = append(in, c)
		}
	}
	return slices.Clip(in)
}
