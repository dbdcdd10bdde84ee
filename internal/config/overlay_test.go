package config

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestOverlayReplacesCoveredParts checks against a key-by-key model that a table with
// ranges laid over it stays sorted and disjoint, and that each key belongs to the
// added range or else to the former one.
func TestOverlayReplacesCoveredParts(t *testing.T) {
	const keys = 60
	draw := func(rt *rapid.T, label string) []KeyRange {
		var ranges []KeyRange
		for first := 0; first < keys; {
			length := rapid.IntRange(1, 12).Draw(rt, label+" length")
			last := min(first+length, keys) - 1
			if rapid.Bool().Draw(rt, label+" present") {
				ranges = append(ranges, KeyRange{First: uint32(first), Last: uint32(last), Owner: core.TargetID(label), Fence: core.Version(first)})
			}
			first = last + 1
		}
		return ranges
	}
	rapid.Check(t, func(rt *rapid.T) {
		table, added := KeyTable(draw(rt, "old")), draw(rt, "new")
		merged := overlay(table, added)
		for i := 1; i < len(merged); i++ {
			if merged[i].First <= merged[i-1].Last || merged[i].First > merged[i].Last {
				rt.Fatalf("ranges overlap or are not sorted: %+v", merged)
			}
		}
		for key := range uint32(keys) {
			want, ok := KeyTable(added).Find(key)
			if !ok {
				want, ok = table.Find(key)
			}
			got, found := merged.Find(key)
			if found != ok || got.Owner != want.Owner || got.Fence != want.Fence {
				rt.Fatalf("key %d belongs to %+v, want %+v", key, got, want)
			}
		}
	})
}
