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

// TestReplacedReplicaIsRemoved holds that a replica which lost its disk, or is
// silent for good, gives its place to the one that joined, and that nobody is
// removed while that would cost the registry a voter it needs.
func TestReplacedReplicaIsRemoved(t *testing.T) {
	const long, short = goneTicks + 1, 1
	for name, c := range map[string]struct {
		members raft.Members
		silent  map[core.VM]int
		match   map[core.VM]raft.Index
		gone    core.VM
	}{
		"all live":               {voters("a", "b", "c"), nil, nil, ""},
		"one restarts":           {voters("a", "b", "c"), map[core.VM]int{"c": long}, nil, ""},
		"disk lost":              {voters("a", "b", "c", "c#2"), map[core.VM]int{"c": short}, map[core.VM]raft.Index{"c": 5, "c#2": 9}, "c"},
		"silent, one has joined": {voters("a", "b", "c", "d"), map[core.VM]int{"c": long}, nil, "c"},
		"joined, but not silent": {voters("a", "b", "c", "d"), map[core.VM]int{"c": short}, nil, ""},
		"two silent of four":     {voters("a", "b", "c", "d"), map[core.VM]int{"c": long, "d": long}, nil, ""},
		"learner at its address": {
			append(voters("a", "b", "c"), raft.Member{VM: "c#2", Address: "c", Learner: true}),
			nil,
			map[core.VM]raft.Index{"c": 9, "c#2": 1},
			"",
		},
		"the leader stays itself": {voters("a", "a#2", "b", "c"), nil, map[core.VM]raft.Index{"a": 5, "a#2": 9}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			gone, _, ok := goneReplica(raft.Status{Self: "a", Members: c.members, TicksSinceContact: c.silent, Match: c.match}, 3)
			is.Equal(ok, c.gone != "")
			if ok {
				is.Equal(gone, c.gone)
			}
		})
	}
}

// TestIdentityIsLostWithTheDisk holds that a replica keeps its name over a
// restart, and never uses the name again under which it gave votes that an
// empty disk has forgotten.
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
