package config

import (
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// KeySpace is the number of keys of a keyed service. Keys are numbered from 0.
const KeySpace = 1 << 16

// KeyRange is a range of keys with the only target that may hold them.
type KeyRange struct {
	First, Last uint32 // inclusive
	Owner       core.TargetID
	Life        core.Incarnation // incarnation of Owner; after a restart the target no longer holds the keys
	Fence       core.Version     // increases whenever the owner of any of the keys changes
	Handover    string           // proof for Owner that the previous owner has released the keys; empty: none
}

// Contains reports whether key is within r.
func (r KeyRange) Contains(key uint32) bool { return r.First <= key && key <= r.Last }

// KeyTable holds the owners of a service's keys as disjoint ranges, sorted by key.
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

// AssignKeys assigns ranges of keys to new owners. Their fence is the version
// that results from the change.
type AssignKeys struct {
	Service core.Service
	Ranges  []KeyRange // must be disjoint; Fence is ignored, the state sets it
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

// SplitKeys splits ranges of keys. Owners and fences stay the same.
type SplitKeys struct {
	Service core.Service
	At      []uint32 // first keys of the new ranges
}

func (c SplitKeys) apply(next *State) error {
	if len(next.Keys[c.Service]) == 0 {
		return result.New(result.NotFound, "service %s has no assigned keys", c.Service)
	}
	table := slices.Clone(next.Keys[c.Service])
	for _, at := range c.At {
		i := slices.IndexFunc(table, func(r KeyRange) bool { return r.First < at && at <= r.Last })
		if i < 0 {
			continue // a range already begins at this key, or the key is unassigned
		}
		second := table[i]
		second.First = at
		table[i].Last = at - 1
		table = slices.Insert(table, i+1, second)
	}
	next.Keys[c.Service] = table
	return nil
}

// overlay returns table with the ranges in added in place of the parts that they
// cover. Both are sorted and disjoint. Every VM does this for every move of keys.
func overlay(table KeyTable, added []KeyRange) KeyTable {
	merged := make(KeyTable, 0, len(table)+2*len(added))
	next := 0            // first range of added that is not merged yet
	covered := uint32(0) // first key after the merged ranges of added
	for _, old := range table {
		first := max(old.First, covered)
		for ; next < len(added) && added[next].First <= old.Last; next++ {
			r := added[next]
			if r.First > first {
				left := old
				left.First, left.Last = first, r.First-1
				merged = append(merged, left)
			}
			merged = append(merged, r)
			covered = r.Last + 1
			first = max(first, covered)
		}
		if first <= old.Last {
			old.First = first
			merged = append(merged, old)
		}
	}
	return append(merged, added[next:]...)
}
