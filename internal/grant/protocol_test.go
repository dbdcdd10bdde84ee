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

// settled returns a simulation in which every shard is served.
func settled(t *testing.T, members, targets int) *simulation {
	t.Helper()
	sim := newSimulation(members, targets)
	if _, v := sim.run(6 * time.Second); v != "" {
		t.Fatal(v)
	}
	if n := sim.unserved(); n > 0 {
		t.Fatalf("%d shards are not served at rest", n)
	}
	return sim
}

// recoveryLimit is the time within which a key is served again after a failure.
const recoveryLimit = time.Second

// TestEachLossIsServedAgainWithinASecond checks that a key is served again
// within 1 s of the loss of a dispatcher, a coordinator or a target, or of a
// target's restart.
func TestEachLossIsServedAgainWithinASecond(t *testing.T) {
	for name, lose := range map[string]func(sim *simulation){
		"dispatcher": func(sim *simulation) {
			for _, vm := range sim.members {
				if vm != sim.coordinator() {
					sim.daemons[vm].crashed = true
					return
				}
			}
		},
		"coordinator": func(sim *simulation) { sim.daemons[sim.coordinator()].crashed = true },
		"target":      func(sim *simulation) { sim.targets["t-1"].frozen = true },
		"restarted target": func(sim *simulation) {
			sim.addTarget(1, 2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			worst := time.Duration(0)
			for _, phase := range []time.Duration{0, 35, 70, 105, 140, 175} {
				sim := settled(t, 3, 4)
				sim.run(phase * time.Millisecond)
				lose(sim)
				longest, v := sim.run(4 * time.Second)
				is.New(t).Equal(v, "")
				is.New(t).Equal(sim.unserved(), 0)
				worst = max(worst, longest)
			}
			t.Logf("unserved for at most %v", worst)
			is.New(t).True(worst < recoveryLimit)
		})
	}
}

// TestLostCoordinatorDoesNotInterruptOthers checks that the other dispatchers
// serve without interruption, since a new coordinator renews their leases in
// time.
func TestLostCoordinatorDoesNotInterruptOthers(t *testing.T) {
	sim := settled(t, 3, 6)
	lost := sim.coordinator()
	lostShards := map[core.Shard]bool{}
	for s := range core.Shard(shards) {
		_, e, _ := sim.daemons[lost].node.Table().Owner("s", s)
		lostShards[s] = e.Dispatcher == lost
	}
	sim.daemons[lost].crashed = true
	for range 400 {
		sim.advance(5 * time.Millisecond)
		sim.flush()
		for s := range core.Shard(shards) {
			if !lostShards[s] && len(sim.senders(s)) != 1 {
				t.Fatalf("shard %d of a running dispatcher is not served", s)
			}
		}
	}
}

// TestFrozenServerIsRefused checks that a target which freezes and resumes, with
// orders queued in its receive buffer, owns no shard that was meanwhile granted
// to another target.
func TestFrozenServerIsRefused(t *testing.T) {
	is := is.New(t)
	sim := settled(t, 3, 3)
	frozen := sim.targets["t-0"]
	held := len(frozen.held)
	is.True(held > 0)
	frozen.frozen = true
	_, v := sim.run(2 * time.Second)
	is.Equal(v, "")
	is.True(len(frozen.waiting) > 0) // orders wait in its buffer
	sim.thaw(frozen)
	is.Equal(sim.violation(), "")
	_, v = sim.run(4 * time.Second)
	is.Equal(v, "")
	if sim.unserved() > 0 {
		t.Fatal(sim.dump())
	}
	is.True(len(frozen.held) > 0) // granted anew
}

// TestWholeCellRestarts checks that after all members restart at once, and lose
// their state, no shard has two owners, every shard is served, and fences grow.
func TestWholeCellRestarts(t *testing.T) {
	is := is.New(t)
	sim := settled(t, 3, 3)
	before := sim.daemons[sim.members[0]].node.Table()
	for _, vm := range sim.members {
		sim.start(vm)
	}
	_, v := sim.run(6 * time.Second)
	is.Equal(v, "")
	is.Equal(sim.unserved(), 0)
	after := sim.daemons[sim.members[0]].node.Table()
	for s := range core.Shard(shards) {
		a, _, _ := before.Owner("s", s)
		b, _, _ := after.Owner("s", s)
		is.True(a.Fence.Less(b.Fence)) // the fence grew across the restart
	}
}

// TestRestartedCellExceedsSeenFences checks that a cell whose members all restarted, and
// whose clock went back, raises its fences above those that its targets have
// seen.
func TestRestartedCellExceedsSeenFences(t *testing.T) {
	is := is.New(t)
	sim := settled(t, 3, 3)
	for _, s := range sim.targets {
		s.holder.Ballot += 1 << 20
		for shard, f := range s.seen {
			f.Ballot += 1 << 20
			s.seen[shard] = f
		}
	}
	for _, vm := range sim.members {
		sim.start(vm)
	}
	_, v := sim.run(10 * time.Second)
	is.Equal(v, "")
	is.Equal(sim.unserved(), 0)
}

// TestPausedDispatcherSendsNothing checks that a process which pauses and resumes
// with its old table does not send, since its member lease has expired.
func TestPausedDispatcherSendsNothing(t *testing.T) {
	is := is.New(t)
	sim := settled(t, 3, 3)
	var paused *daemon
	for _, vm := range sim.members {
		if vm != sim.coordinator() {
			paused = sim.daemons[vm]
		}
	}
	paused.paused = true
	_, v := sim.run(2 * time.Second)
	is.Equal(v, "")
	is.Equal(sim.unserved(), 0) // failed over to the other dispatchers
	held := paused.node.Table()
	dispatches := false
	for _, e := range held.Targets {
		dispatches = dispatches || e.Dispatcher == paused.vm
	}
	is.True(dispatches)                         // it still has its old table
	is.True(!paused.node.Lease().Live(sim.now)) // and must not act on it
	paused.paused = false
	_, v = sim.run(2 * time.Second)
	is.Equal(v, "")
	is.Equal(sim.unserved(), 0)
}

// TestCellReleasesMovedShards checks that a cell agrees to move the home of its
// shards to another cell only once it has released them, and that it does not
// assign them again.
func TestCellReleasesMovedShards(t *testing.T) {
	is := is.New(t)
	sim := settled(t, 3, 3)
	sim.apply(config.PutDataCentre{DataCentre: config.DataCentre{Name: "b", Status: config.DataCentreActive}})
	sim.apply(config.PutCell{Cell: config.Cell{Name: "b", DataCentre: "b", Members: []core.VM{"x"}}})
	sim.apply(config.PutDataCentre{DataCentre: config.DataCentre{Name: "a", Status: config.DataCentreDraining}})
	is.Equal(len(sim.state.Homes["s"].Moving), shards)
	is.Equal(len(sim.daemons[sim.coordinator()].node.Proposals(sim.now)), 0) // nothing is released yet
	_, v := sim.run(3 * time.Second)
	is.Equal(v, "")
	is.Equal(sim.unserved(), shards)
	for _, p := range sim.daemons[sim.coordinator()].node.Proposals(sim.now) {
		sim.apply(p)
	}
	for s := range core.Shard(shards) {
		home, _ := sim.state.Home("s", s)
		is.Equal(home, core.Cell("b"))
	}
}

// TestIsolatedMemberStops checks that an isolated coordinator has no live member
// lease, and so serves no requests, while the other members serve its shards.
func TestIsolatedMemberStops(t *testing.T) {
	is := is.New(t)
	sim := settled(t, 3, 3)
	isolated := sim.coordinator()
	for _, vm := range sim.members {
		if vm != isolated {
			sim.blocked[[2]string{string(vm), string(isolated)}] = true // it can send, and receives nothing
		}
	}
	_, v := sim.run(4 * time.Second)
	is.Equal(v, "")
	is.True(!sim.daemons[isolated].node.Lease().Live(sim.now))
	is.Equal(sim.unserved(), 0)
}

// TestPinSurvivesTheCoordinator checks that an acknowledged pin, of a shard or
// of one key, survives the loss of the coordinator.
func TestPinSurvivesTheCoordinator(t *testing.T) {
	is := is.New(t)
	sim := settled(t, 3, 3)
	first := sim.coordinator()
	pins := []cell.Pin{
		{Service: "s", Shard: 5, Target: "t-2"},
		{Service: "s", Shard: 7, Key: true, Hash: 99, Target: "t-1"},
	}
	for _, p := range pins {
		d := sim.daemons[first]
		sends, err := d.node.Pin(p, sim.now)
		is.NoErr(err)
		sim.post(d, sends)
		sim.flush()
		is.True(d.node.Table().HasPin(p)) // acknowledged
	}
	sim.daemons[first].crashed = true
	_, v := sim.run(5 * time.Second)
	is.Equal(v, "")
	table := sim.daemons[sim.coordinator()].node.Table()
	for _, p := range pins {
		is.True(table.HasPin(p))
	}
	a, _, _ := table.Owner("s", 5)
	is.Equal(a.Target, core.TargetID("t-2"))
	hot, _ := table.HotKey("s", 99)
	a, _, _ = table.Owner("s", hot)
	is.Equal(a.Target, core.TargetID("t-1"))
}

// TestShardsMoveLeast checks that as few shards as possible move when a target
// joins and when it drains, and that the shards are then spread evenly.
func TestShardsMoveLeast(t *testing.T) {
	is := is.New(t)
	sim := settled(t, 3, 3)
	owners := func() map[core.Shard]core.TargetID {
		m := map[core.Shard]core.TargetID{}
		for s := range core.Shard(shards) {
			a, _, _ := sim.daemons[sim.coordinator()].node.Table().Owner("s", s)
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
	sim.addTarget(3, 1)
	unservedWhileJoining, v := sim.run(4 * time.Second)
	is.Equal(v, "")
	grown := owners()
	is.Equal(moved(start, grown), shards/4) // the fewest that spread them evenly over four targets
	sim.targets["t-3"].info.Draining = true
	unservedWhileDraining, v := sim.run(5 * time.Second)
	is.Equal(v, "")
	shrunk := owners()
	is.Equal(moved(grown, shrunk), shards/4)
	load := map[core.TargetID]int{}
	for _, id := range shrunk {
		load[id]++
	}
	is.Equal(slices.Max(slices.Collect(maps.Values(load))), shards/3)
	t.Logf("a shard is unserved for at most %v when a target joins, %v when one drains", unservedWhileJoining, unservedWhileDraining)
}
