package roles

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/storage"
)

func voters(names ...core.VM) raft.Members {
	var m raft.Members
	for _, vm := range names {
		m = append(m, raft.Member{VM: vm, Address: string(vm[:1])})
	}
	return m
}

// TestReplacedReplicaIsRemoved checks that a replica that lost its disk or stays
// unreachable is removed once a replacement has joined, and that no replica is
// removed while the registry still needs its vote.
func TestReplacedReplicaIsRemoved(t *testing.T) {
	const long, short = unreachableTicks + 1, 1
	for name, c := range map[string]struct {
		members raft.Members
		silent  map[core.VM]int
		match   map[core.VM]raft.Index
		remove  core.VM
	}{
		"all reachable":                     {voters("a", "b", "c"), nil, nil, ""},
		"one unreachable, no replacement":   {voters("a", "b", "c"), map[core.VM]int{"c": long}, nil, ""},
		"disk lost":                         {voters("a", "b", "c", "c#2"), map[core.VM]int{"c": short}, map[core.VM]raft.Index{"c": 5, "c#2": 9}, "c"},
		"unreachable, replacement joined":   {voters("a", "b", "c", "d"), map[core.VM]int{"c": long}, nil, "c"},
		"replacement joined, but reachable": {voters("a", "b", "c", "d"), map[core.VM]int{"c": short}, nil, ""},
		"two of four unreachable":           {voters("a", "b", "c", "d"), map[core.VM]int{"c": long, "d": long}, nil, ""},
		"learner at the same address": {
			append(voters("a", "b", "c"), raft.Member{VM: "c#2", Address: "c", Learner: true}),
			nil,
			map[core.VM]raft.Index{"c": 9, "c#2": 1},
			"",
		},
		"leader does not remove itself": {voters("a", "a#2", "b", "c"), nil, map[core.VM]raft.Index{"a": 5, "a#2": 9}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			remove, _, ok := replicaToRemove(raft.Status{Self: "a", Members: c.members, TicksSinceContact: c.silent, Match: c.match}, 3)
			is.Equal(ok, c.remove != "")
			if ok {
				is.Equal(remove, c.remove)
			}
		})
	}
}

// TestIdentityIsLostWithTheDisk checks that a replica keeps its name over a
// restart but gets a new one with an empty disk, so that it can't vote again
// under a name whose earlier votes are lost.
func TestIdentityIsLostWithTheDisk(t *testing.T) {
	is := is.New(t)
	files := storage.InMemory()
	first, err := identity(files, "10.0.0.1:7660", true)
	is.NoErr(err)
	again, err := identity(files, "10.0.0.1:7660", false)
	is.NoErr(err)
	is.Equal(again, first)
	wiped, err := identity(storage.InMemory(), "10.0.0.1:7660", false)
	is.NoErr(err)
	is.True(wiped != first)
}

// TestSilentMembersAreLeftOut checks that entry VMs aren't told to use control VMs that
// the leader hasn't heard from, and always to use the leader.
func TestSilentMembersAreLeftOut(t *testing.T) {
	is := is.New(t)
	got := reachableMembers(raft.Status{
		Self: "a", Members: voters("a", "b", "c"),
		TicksSinceContact: map[core.VM]int{"a": silentTicks, "b": silentTicks - 1, "c": silentTicks},
	})
	is.Equal(got, []core.VM{"a", "b"})
}
