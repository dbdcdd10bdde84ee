package config

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestMain runs the generated cases from a fixed seed unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

func mustApply(t interface{ Fatal(...any) }, s *State, c Change) *State {
	next, err := s.Apply(Command{Change: c})
	if err != nil {
		t.Fatal(err)
	}
	return next
}

// TestHighestRevisionWins holds that in whatever order changes of one item
// arrive, and however often, the highest revision is in force, and an equal one
// with other content changes nothing.
func TestHighestRevisionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := mustApply(t, NewState(), PatchCatalog{Services: []TargetClass{{Item: Item{Revision: 1}, Name: "s"}}})
		content := map[Revision]Route{} // the first content under a revision
		var highest Revision
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			revision := Revision(rapid.Uint64Range(1, 8).Draw(t, "revision"))
			r := Route{
				Item: Item{Revision: revision, Dropped: rapid.Bool().Draw(t, "dropped")}, Name: "r", Host: "h", Prefix: "/p/",
				Splits:   []Split{{Service: "s", Weight: 1}},
				Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
			}
			if revision > highest {
				highest, content[revision] = revision, r
			}
			state = mustApply(t, state, PatchCatalog{Routes: []Route{r}})
			held := state.Catalog.Routes["r"]
			want := content[highest]
			if held.Revision != highest || held.Priority != want.Priority || held.Dropped != want.Dropped {
				t.Fatalf("held %+v, want %+v", held, want)
			}
		}
	})
}

// TestInvalidPatchChangesNothing holds that no part of an invalid change comes
// into force.
func TestInvalidPatchChangesNothing(t *testing.T) {
	is := is.New(t)
	state := mustApply(t, NewState(), PatchCatalog{
		Services: []TargetClass{{Item: Item{Revision: 1}, Name: "s"}},
		Tenants:  []Tenancy{{Item: Item{Revision: 1}, Name: "a", Keys: []string{"k1", "k2"}}},
	})
	good := Route{Item: Item{Revision: 2}, Name: "good", Host: "h", Prefix: "/", Splits: []Split{{Service: "s", Weight: 1}}}
	unknown := good
	unknown.Name, unknown.Splits = "bad", []Split{{Service: "none", Weight: 1}}
	for name, patch := range map[string]PatchCatalog{
		"unknown service":     {Routes: []Route{good, unknown}},
		"key of another":      {Routes: []Route{good}, Tenants: []Tenancy{{Item: Item{Revision: 2}, Name: "b", Keys: []string{"k2"}}}},
		"one key, two owners": {Routes: []Route{good}, Tenants: []Tenancy{{Item: Item{Revision: 2}, Name: "b", Keys: []string{"k9"}}, {Item: Item{Revision: 2}, Name: "c", Keys: []string{"k9"}}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			next, err := state.Apply(Command{Change: patch})
			is.True(err != nil)
			is.Equal(len(next.Catalog.Routes), 0)
			is.Equal(len(next.Catalog.Tenants), 1)
		})
	}
	// A key may move in one change.
	next := mustApply(t, state, PatchCatalog{Tenants: []Tenancy{
		{Item: Item{Revision: 2}, Name: "a", Keys: []string{"k1"}}, {Item: Item{Revision: 2}, Name: "b", Keys: []string{"k2"}},
	}})
	w, ok := next.Catalog.WorkspaceOf("k2")
	is.True(ok)
	is.Equal(w.Name, core.Workspace("b"))
}

// TestResendAfterTheServiceWasDropped holds that a change which was accepted is
// accepted again, also when what it names is gone since.
func TestResendAfterTheServiceWasDropped(t *testing.T) {
	is := is.New(t)
	patch := PatchCatalog{
		Services: []TargetClass{{Item: Item{Revision: 1}, Name: "s"}},
		Routes:   []Route{{Item: Item{Revision: 1}, Name: "r", Host: "h", Prefix: "/", Splits: []Split{{Service: "s", Weight: 1}}}},
	}
	state := mustApply(t, NewState(), patch)
	state = mustApply(t, state, PatchCatalog{
		Services: []TargetClass{{Item: Item{Revision: 2, Dropped: true}, Name: "s"}},
		Routes:   []Route{{Item: Item{Revision: 2, Dropped: true}, Name: "r"}},
	})
	state = mustApply(t, state, patch)
	is.True(state.Catalog.Services["s"].Dropped)
	is.True(state.Catalog.Routes["r"].Dropped)
}

// TestLongestPrefixWins holds how a request finds its route.
func TestLongestPrefixWins(t *testing.T) {
	is := is.New(t)
	route := func(name, host, prefix string) Route {
		return Route{Item: Item{Revision: 1}, Name: name, Host: host, Prefix: prefix, Splits: []Split{{Service: "s", Weight: 1}}}
	}
	state := mustApply(t, NewState(), PatchCatalog{
		Services: []TargetClass{{Item: Item{Revision: 1}, Name: "s"}},
		Routes:   []Route{route("all", "h", "/"), route("a", "h", "/a/"), route("ab", "h", "/a/b/"), route("other", "i", "/a/b/c/")},
	})
	for path, want := range map[string]string{"/a/b/c/d": "ab", "/a/x": "a", "/a": "all", "/b/": "all"} {
		r, ok := state.Catalog.RouteOf("h", path)
		is.True(ok)
		is.Equal(r.Name, want)
	}
	_, ok := state.Catalog.RouteOf("nobody", "/a/")
	is.True(!ok)
}

// TestKeyTable holds, against an array of all keys, that changes of owners and
// splits leave each key with the owner and fence that the newest change gave it.
func TestKeyTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		owner, fence := map[uint32]core.TargetID{}, map[uint32]core.Version{}
		const space = 64 // keys that the oracle follows
		for range rapid.IntRange(1, 20).Draw(t, "changes") {
			if len(state.Keys["s"]) > 0 && rapid.Bool().Draw(t, "split") {
				state = mustApply(t, state, SplitKeys{Service: "s", At: []uint32{rapid.Uint32Range(1, space-1).Draw(t, "at")}})
				continue
			}
			first := rapid.Uint32Range(0, space-1).Draw(t, "first")
			last := rapid.Uint32Range(first, space-1).Draw(t, "last")
			id := core.TargetID(fmt.Sprint("i-", rapid.IntRange(0, 3).Draw(t, "owner")))
			state = mustApply(t, state, AssignKeys{Service: "s", Ranges: []KeyRange{{First: first, Last: last, Owner: id, Life: 1}}})
			for k := first; k <= last; k++ {
				if state.Version <= fence[k] {
					t.Fatalf("fence %d of key %d does not rise", state.Version, k)
				}
				owner[k], fence[k] = id, state.Version
			}
		}
		for k := range uint32(space) {
			r, ok := state.Keys["s"].Find(k)
			if ok != (owner[k] != "") || r.Owner != owner[k] || r.Fence != fence[k] {
				t.Fatalf("key %d: found %+v, want %s with fence %d", k, r, owner[k], fence[k])
			}
		}
	})
}
