package cell

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	flag.Parse()
	os.Exit(m.Run())
}

// drawTable draws a table whose fence has the given counter.
func drawTable(t *rapid.T, counter uint64) *Table {
	table := NewTable("c")
	table.Fence, table.Coordinator = core.Fence{Epoch: 1, Ballot: 1, Counter: counter}, "vm"
	id := rapid.Custom(func(t *rapid.T) core.TargetID {
		return core.TargetID(fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "target")))
	})
	for range rapid.IntRange(0, 3).Draw(t, "targets") {
		name := id.Draw(t, "id")
		table.Targets[name] = TargetEntry{Target: core.Target{ID: name, Service: "s"}, Releasing: rapid.Bool().Draw(t, "releasing")}
	}
	for _, service := range []core.Service{"s", "r"} {
		if rapid.Bool().Draw(t, "without") {
			continue
		}
		for range rapid.IntRange(1, 6).Draw(t, "shards") {
			table.Shards[service] = append(table.Shards[service], Assignment{
				Target: id.Draw(t, "owner"), Fence: core.Fence{Counter: rapid.Uint64Range(0, 3).Draw(t, "fence")},
			})
		}
		table.HotKeys[service] = map[uint64]core.Shard{rapid.Uint64Range(0, 2).Draw(t, "hash"): 7}
		table.Pins[service] = map[core.Shard]PinnedOwner{core.Shard(rapid.IntRange(0, 3).Draw(t, "pin")): {Target: id.Draw(t, "pinned")}}
	}
	return table
}

// TestDeltaLeadsToTheNextTable checks that applying a delta gives the table of the
// coordinator, whatever changed.
func TestDeltaLeadsToTheNextTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		a, b := drawTable(t, 1), drawTable(t, 2)
		got, ok := a.Apply(Diff(a, b))
		is.True(ok)
		is.Equal(got.Targets, b.Targets)
		is.Equal(got.Shards, b.Shards)
		is.True(Diff(got, b).empty() && Diff(b, got).empty())
		_, ok = b.Apply(Diff(a, b))
		is.True(!ok) // a delta applies to its base only
	})
}

// TestSnapshotAppliesToAnyTable checks that a snapshot brings a member with any
// older table up to date.
func TestSnapshotAppliesToAnyTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawTable(t, 1), drawTable(t, 2)
		got, ok := a.Apply(Diff(nil, b))
		is := is.New(t)
		is.True(ok)
		is.True(Diff(got, b).empty() && Diff(b, got).empty())
	})
}
