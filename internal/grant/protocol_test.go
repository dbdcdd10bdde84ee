package grant_test

import (
	"flag"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "15")
	flag.Parse()
	os.Exit(m.Run())
}

// settled returns a world in which every shard is served.
func settled(t *testing.T, members, targets int) *world {
	t.Helper()
	w := newWorld(members, targets)
	if _, v := w.run(6 * time.Second); v != "" {
		t.Fatal(v)
	}
	if n := w.unserved(); n > 0 {
		t.Fatalf("%d shards are not served at rest", n)
	}
	return w
}

// limit is the time within which a key is served again after a loss.
const limit = time.Second

// TestEachLossIsServedAgainWithinASecond holds "a key is served again within
// 1 s of a loss" for a lost dispatcher, coordinator and target.
func TestEachLossIsServedAgainWithinASecond(t *testing.T) {
	for name, lose := range map[string]func(w *world){
		"dispatcher": func(w *world) {
			for _, vm := range w.members {
				if vm != w.coordinator() {
					w.daemons[vm].crashed = true
					return
				}
			}
		},
		"coordinator": func(w *world) { w.daemons[w.coordinator()].crashed = true },
		"target":      func(w *world) { w.targets["t-1"].frozen = true },
		"restarted target": func(w *world) {
			w.addTarget(1, 2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			worst := time.Duration(0)
			for _, phase := range []time.Duration{0, 35, 70, 105, 140, 175} {
				w := settled(t, 3, 4)
				w.run(phase * time.Millisecond)
				lose(w)
				out, v := w.run(4 * time.Second)
				is.New(t).Equal(v, "")
				is.New(t).Equal(w.unserved(), 0)
				worst = max(worst, out)
			}
			t.Logf("unserved for at most %v", worst)
			is.New(t).True(worst < limit)
		})
	}
}

// TestLostCoordinatorDoesNotInterruptOthers holds that members which a new
// coordinator renews in time go on serving.
func TestLostCoordinatorDoesNotInterruptOthers(t *testing.T) {
	w := settled(t, 3, 6)
	lost := w.coordinator()
	mine := map[core.Shard]bool{}
	for s := range core.Shard(shards) {
		_, e, _ := w.daemons[lost].node.Table().Owner("s", s)
		mine[s] = e.Dispatcher == lost
	}
	w.daemons[lost].crashed = true
	for range 400 {
		w.advance(5 * time.Millisecond)
		w.flush()
		for s := range core.Shard(shards) {
			if !mine[s] && len(w.senders(s)) != 1 {
				t.Fatalf("shard %d of a living dispatcher is not served", s)
			}
		}
	}
}

// TestFrozenServerIsRefused holds that a server which froze and returns, with
// orders piled up in its buffer, owns nothing that was given to others.
func TestFrozenServerIsRefused(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 3)
	frozen := w.targets["t-0"]
	held := len(frozen.held)
	is.True(held > 0)
	frozen.frozen = true
	_, v := w.run(2 * time.Second)
	is.Equal(v, "")
	is.True(len(frozen.waiting) > 0) // orders wait in its buffer
	w.thaw(frozen)
	is.Equal(w.violation(), "")
	_, v = w.run(4 * time.Second)
	is.Equal(v, "")
	if w.unserved() > 0 {
		t.Fatal(w.dump())
	}
	is.True(len(frozen.held) > 0) // granted anew
}

// TestWholeCellRestarts holds that after all members lost their memory at once
// nothing is owned twice, and targets get back the shards that they hold.
func TestWholeCellRestarts(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 3)
	before := w.daemons[w.members[0]].node.Table()
	for _, vm := range w.members {
		w.start(vm)
	}
	_, v := w.run(6 * time.Second)
	is.Equal(v, "")
	is.Equal(w.unserved(), 0)
	after := w.daemons[w.members[0]].node.Table()
	for s := range core.Shard(shards) {
		a, _, _ := before.Owner("s", s)
		b, _, _ := after.Owner("s", s)
		is.True(a.Fence.Less(b.Fence)) // the fence grew over the loss of memory
	}
}

// TestTargetsKnowNewerFences holds that a cell which lost its memory and whose
// clock went back still outgrows the fences that its targets have seen.
func TestTargetsKnowNewerFences(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 3)
	for _, s := range w.targets {
		s.holder.Ballot += 1 << 20
		for shard, f := range s.seen {
			f.Ballot += 1 << 20
			s.seen[shard] = f
		}
	}
	for _, vm := range w.members {
		w.start(vm)
	}
	_, v := w.run(10 * time.Second)
	is.Equal(v, "")
	is.Equal(w.unserved(), 0)
}

// TestPausedDispatcherSendsNothing holds that a paused process which resumes
// with its old table and leases finds them ended before it sends.
func TestPausedDispatcherSendsNothing(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 3)
	var paused *daemon
	for _, vm := range w.members {
		if vm != w.coordinator() {
			paused = w.daemons[vm]
		}
	}
	paused.paused = true
	_, v := w.run(2 * time.Second)
	is.Equal(v, "")
	is.Equal(w.unserved(), 0) // others took over
	held := paused.node.Table()
	dispatches := false
	for _, e := range held.Targets {
		dispatches = dispatches || e.Dispatcher == paused.vm
	}
	is.True(dispatches)                       // it still believes its old table
	is.True(!paused.node.Lease().Live(w.now)) // and must not act on it
	paused.paused = false
	_, v = w.run(2 * time.Second)
	is.Equal(v, "")
	is.Equal(w.unserved(), 0)
}

// TestCellGivesHomesUp holds that a cell agrees to a move of homes only once it
// has released the shards, and does not take them again.
func TestCellGivesHomesUp(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 3)
	w.apply(config.PutDataCentre{DataCentre: config.DataCentre{Name: "b", Status: config.DataCentreActive}})
	w.apply(config.PutCell{Cell: config.Cell{Name: "b", DataCentre: "b", Members: []core.VM{"x"}}})
	w.apply(config.PutDataCentre{DataCentre: config.DataCentre{Name: "a", Status: config.DataCentreDraining}})
	is.Equal(len(w.state.Homes["s"].Moving), shards)
	is.Equal(len(w.daemons[w.coordinator()].node.Proposals(w.now)), 0) // nothing is released yet
	_, v := w.run(3 * time.Second)
	is.Equal(v, "")
	is.Equal(w.unserved(), shards)
	for _, p := range w.daemons[w.coordinator()].node.Proposals(w.now) {
		w.apply(p)
	}
	for s := range core.Shard(shards) {
		home, _ := w.state.Home("s", s)
		is.Equal(home, core.Cell("b"))
	}
}

// TestLoneMemberStops holds that a member which reaches no majority takes no
// work once its lease has run out, while the rest serve its shards.
func TestLoneMemberStops(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 3)
	lone := w.coordinator()
	for _, vm := range w.members {
		if vm != lone {
			w.cut[[2]string{string(vm), string(lone)}] = true // it sends, and hears nothing
		}
	}
	_, v := w.run(4 * time.Second)
	is.Equal(v, "")
	is.True(!w.daemons[lone].node.Lease().Live(w.now))
	is.Equal(w.unserved(), 0)
}

// TestPinSurvivesTheCoordinator holds "an acknowledged assignment survives any
// tolerated loss".
func TestPinSurvivesTheCoordinator(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 3)
	first := w.coordinator()
	pins := []cell.Pin{
		{Service: "s", Shard: 5, Target: "t-2"},
		{Service: "s", Shard: 7, Key: true, Hash: 99, Target: "t-1"},
	}
	for _, p := range pins {
		d := w.daemons[first]
		sends, err := d.node.Pin(p, w.now)
		is.NoErr(err)
		w.post(d, sends)
		w.flush()
		is.True(d.node.Table().HasPin(p)) // acknowledged
	}
	w.daemons[first].crashed = true
	_, v := w.run(5 * time.Second)
	is.Equal(v, "")
	table := w.daemons[w.coordinator()].node.Table()
	for _, p := range pins {
		is.True(table.HasPin(p))
	}
	a, _, _ := table.Owner("s", 5)
	is.Equal(a.Target, core.TargetID("t-2"))
	hot, _ := table.HotKey("s", 99)
	a, _, _ = table.Owner("s", hot)
	is.Equal(a.Target, core.TargetID("t-1"))
}

// TestShardsMoveLeast measures churn and imbalance as targets come and go.
func TestShardsMoveLeast(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, 3)
	owners := func() map[core.Shard]core.TargetID {
		m := map[core.Shard]core.TargetID{}
		for s := range core.Shard(shards) {
			a, _, _ := w.daemons[w.coordinator()].node.Table().Owner("s", s)
			m[s] = a.Target
		}
		return m
	}
	moved := func(was, now map[core.Shard]core.TargetID) int {
		n := 0
		for s, id := range was {
			if now[s] != id {
				n++
			}
		}
		return n
	}
	start := owners()
	w.addTarget(3, 1)
	out, v := w.run(4 * time.Second)
	is.Equal(v, "")
	grown := owners()
	is.Equal(moved(start, grown), shards/4) // the least that makes four even
	w.targets["t-3"].info.Draining = true
	outLeave, v := w.run(5 * time.Second)
	is.Equal(v, "")
	shrunk := owners()
	is.Equal(moved(grown, shrunk), shards/4)
	load := map[core.TargetID]int{}
	for _, id := range shrunk {
		load[id]++
	}
	is.Equal(slices.Max(slices.Collect(maps.Values(load))), shards/3)
	t.Logf("a shard is unserved for at most %v when a target comes, %v when one leaves", out, outLeave)
}
