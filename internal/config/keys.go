package config

import (
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// KeySpace is the number of keys of a keyed service, from 0.
const KeySpace = 1 << 16

// KeyRange is a range of keys and the one target that may hold it.
type KeyRange struct {
	First, Last uint32 // inclusive
	Owner       core.TargetID
	Life        core.Incarnation // of Owner; another life has lost what this one held
	Fence       core.Version     // rises with each change of owner of any of the keys
	Handover    string           // proof of release by the owner before, for Owner; empty: none
}

// Contains reports whether key is in r.
func (r KeyRange) Contains(key uint32) bool { return r.First <= key && key <= r.Last }

// KeyTable is the owners of a service's keys, in the order of the keys.
type KeyTable []KeyRange

// Find returns the range that contains key.
func (t KeyTable) Find(key uint32) (KeyRange, bool) {
	i, _ := slices.BinarySearchFunc(t, key, func(r KeyRange, k uint32) int {
		switch {
		case r.Last < k:
			return -1
		case r.First > k:
			return 1
		default:
			return 0
		}
	})
	if i < len(t) && t[i].Contains(key) {
		return t[i], true
	}
	return KeyRange{}, false
}

// AssignKeys gives ranges of keys new owners. The fence of each is the version
// that the change leads to.
type AssignKeys struct {
	Service core.Service
	Ranges  []KeyRange // disjoint; Fence is set by the state
}

func (c AssignKeys) apply(next *State) error {
	added := slices.SortedFunc(slices.Values(c.Ranges), func(a, b KeyRange) int { return int(a.First) - int(b.First) })
	for i, r := range added {
		if r.Last < r.First || r.Last >= KeySpace || i > 0 && added[i-1].Last >= r.First {
			return result.New(result.InvalidChange, "service %s: key ranges overlap or are out of bounds at %d", c.Service, r.First)
		}
		added[i].Fence = next.Version + 1
	}
	next.Keys[c.Service] = overlay(next.Keys[c.Service], added)
	return nil
}

// SplitKeys divides ranges without a change of owner or fence.
type SplitKeys struct {
	Service core.Service
	At      []uint32 // keys that begin a range
}

func (c SplitKeys) apply(next *State) error {
	if len(next.Keys[c.Service]) == 0 {
		return result.New(result.NotFound, "service %s has no owners of keys", c.Service)
	}
	table := slices.Clone(next.Keys[c.Service])
	for _, at := range c.At {
		i := slices.IndexFunc(table, func(r KeyRange) bool { return r.First < at && at <= r.Last })
		if i < 0 {
			continue // a range begins there already, or has no owner
		}
		second := table[i]
		second.First = at
		table[i].Last = at - 1
		table = slices.Insert(table, i+1, second)
	}
	next.Keys[c.Service] = table
	return nil
}

// overlay returns table with the parts that added covers replaced.
func overlay(table KeyTable, added []KeyRange) KeyTable {
	merged := make(KeyTable, 0, len(table)+2*len(added))
	merged = append(merged, added...)
	for _, old := range table {
		first := old.First
		for _, r := range added {
			if r.Last < first || r.First > old.Last {
				continue
			}
			if r.First > first {
				left := old
				left.First, left.Last = first, r.First-1
				merged = append(merged, left)
			}
			first = r.Last + 1
		}
		if first <= old.Last {
			old.First = first
			merged = append(merged, old)
		}
	}
	slices.SortFunc(merged, func(a, b KeyRange) int { return int(a.First) - int(b.First) })
	return merged
}
