package config

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestMain sets a fixed seed for the generated test cases unless the command line
// gives one.
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

// TestHighestRevisionWins checks that the highest revision of an item is in force,
// in whatever order and however often its revisions arrive, and that the same
// revision with different content changes nothing.
func TestHighestRevisionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := mustApply(t, NewState(), PatchCatalog{Services: []TargetClass{{Item: Item{Revision: 1}, Name: "s"}}})
		content := map[Revision]Route{} // the first content with each revision
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
			current := state.Catalog.Routes["r"]
			want := content[highest]
			if current.Revision != highest || current.Priority != want.Priority || current.Dropped != want.Dropped {
				t.Fatalf("route in force is %+v, want %+v", current, want)
			}
		}
	})
}

// TestInvalidPatchChangesNothing checks that an invalid patch is refused as a
// whole: none of its items come into force.
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
	// One patch may move a key from one workspace to another.
	next := mustApply(t, state, PatchCatalog{Tenants: []Tenancy{
		{Item: Item{Revision: 2}, Name: "a", Keys: []string{"k1"}}, {Item: Item{Revision: 2}, Name: "b", Keys: []string{"k2"}},
	}})
	w, ok := next.Catalog.WorkspaceOf("k2")
	is.True(ok)
	is.Equal(w.Name, core.Workspace("b"))
}

// TestResendAfterTheServiceWasDropped checks that a resend of an accepted patch
// is accepted, even if a service to which it refers has been dropped since.
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

// TestLongestPrefixWins checks that a request gets the route of its host with the
// longest matching prefix.
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

// TestKeyTable applies random assignments and splits of key ranges and compares
// the table with a model that holds each key separately: every key must have the
// owner and the fence of its latest assignment.
func TestKeyTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := NewState()
		owner, fence := map[uint32]core.TargetID{}, map[uint32]core.Version{}
		const space = 64 // number of keys in the model
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
					t.Fatalf("fence %d of key %d does not increase", state.Version, k)
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

// TestRoutesAtOnePlace guards against an added route that is served for some requests
// only, because an older one with the same host and prefix still stands, such as one
// whose removal is on its way.
func TestRoutesAtOnePlace(t *testing.T) {
	is := is.New(t)
	route := func(name string, revision Revision) Route {
		return Route{Item: Item{Revision: revision}, Name: name, Host: "h", Prefix: "/p/", Splits: []Split{{Service: "s", Weight: 1}}}
	}
	state := mustApply(t, NewState(), PatchCatalog{
		Services: []TargetClass{{Item: Item{Revision: 1}, Name: "s"}},
		Routes:   []Route{route("a", 3), route("b", 7), route("c", 5), route("d", 7)},
	})
	for range 100 {
		r, ok := state.Catalog.RouteOf("h", "/p/x")
		is.True(ok)
		is.Equal(r.Name, "b")
	}
}

// TestResendIsRecognized guards against a resent change that goes to all VMs once more
// although it is in force, and against one that is taken for a resend although it
// changes something or is invalid.
func TestResendIsRecognized(t *testing.T) {
	is := is.New(t)
	patch := PatchCatalog{
		Services: []TargetClass{{Item: Item{Revision: 3}, Name: "s"}},
		Tenants:  []Tenancy{{Item: Item{Revision: 3}, Name: "a", Keys: []string{"k"}}},
		Routes:   []Route{{Item: Item{Revision: 3}, Name: "r", Host: "h", Prefix: "/", Splits: []Split{{Service: "s", Weight: 1}}}},
		Limits:   &Limits{Item: Item{Revision: 3}},
	}
	is.True(!patch.AppliedIn(NewState()))
	state := mustApply(t, NewState(), patch)
	is.True(patch.AppliedIn(state))
	state = mustApply(t, state, PatchCatalog{Routes: []Route{{Item: Item{Revision: 4, Dropped: true}, Name: "r"}}})
	is.True(patch.AppliedIn(state))

	for name, change := range map[string]func(p *PatchCatalog){
		"newer service": func(p *PatchCatalog) { p.Services = []TargetClass{{Item: Item{Revision: 4}, Name: "s"}} },
		"new workspace": func(p *PatchCatalog) { p.Tenants = append(p.Tenants, Tenancy{Item: Item{Revision: 1}, Name: "b"}) },
		"newer route":   func(p *PatchCatalog) { p.Routes = []Route{{Item: Item{Revision: 5, Dropped: true}, Name: "r"}} },
		"newer limits":  func(p *PatchCatalog) { p.Limits = &Limits{Item: Item{Revision: 4}} },
		"unknown service": func(p *PatchCatalog) {
			p.Routes = []Route{{Item: Item{Revision: 2}, Name: "r", Splits: []Split{{Service: "none"}}}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			changed := patch
			changed.Tenants = slices.Clone(patch.Tenants)
			change(&changed)
			is.True(!changed.AppliedIn(state))
		})
	}
}
