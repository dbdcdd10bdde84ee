package grant_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestNeverTwoOwners checks that a shard never has two owners or two senders,
// under a network that loses, duplicates, delays and reorders messages, one-way
// partitions, paused and restarted members, and frozen and replaced targets.
// Once the faults end, every shard is served again.
func TestNeverTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "members"), 3)
		if rapid.Bool().Draw(t, "settled") {
			sim.run(5 * time.Second)
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			sim.randomFault(t)
			if v := sim.violation(); v != "" {
				t.Fatal(v)
			}
		}
		sim.heal()
		if _, v := sim.run(10 * time.Second); v != "" {
			t.Fatal(v)
		}
		if n := sim.unserved(); n > 0 {
			t.Fatalf("%d shards are not served after the faults ended:\n%s", n, sim.dump())
		}
	})
}

func (sim *simulation) randomFault(t *rapid.T) {
	vm := rapid.SampledFrom(sim.members).Draw(t, "vm")
	d := sim.daemons[vm]
	target := sim.targets[core.TargetID(fmt.Sprintf("t-%d", rapid.IntRange(0, 2).Draw(t, "target")))]
	i := 0
	if n := len(sim.packets); n > 0 {
		i = rapid.IntRange(0, n-1).Draw(t, "packet")
	}
	event := rapid.SampledFrom([]string{
		"time", "time", "time", "time", "flush", "flush", "deliver", "double", "drop",
		"pause", "restart", "cut", "mend", "freeze", "thaw", "replace", "silent",
	}).Draw(t, "event")
	switch event {
	case "time":
		for range rapid.IntRange(1, 40).Draw(t, "steps of 10 ms") {
			sim.advance(10 * time.Millisecond)
			if rapid.IntRange(0, 4).Draw(t, "flush") > 0 {
				sim.flush()
			}
			if v := sim.violation(); v != "" {
				t.Fatal(v)
			}
		}
	case "flush":
		sim.flush()
	case "deliver", "double", "drop":
		if len(sim.packets) == 0 || sim.packets[i].to == "" {
			return
		}
		p := sim.packets[i]
		if event != "double" {
			sim.packets = slices.Delete(sim.packets, i, i+1)
		}
		if event != "drop" {
			sim.deliver(p)
		} else {
			sim.drop(p)
		}
	case "pause":
		d.paused = !d.paused
	case "restart":
		sim.start(vm)
	case "cut":
		other := rapid.SampledFrom(append([]core.VM{"t-0", "t-1"}, sim.members...)).Draw(t, "other")
		sim.blocked[[2]string{string(vm), string(other)}] = true
	case "mend":
		clear(sim.blocked)
	case "freeze":
		target.frozen = true
	case "thaw":
		sim.thaw(target)
	case "replace":
		next := *target
		sim.addTarget(int(target.info.ID[2]-'0'), next.info.Incarnation+1)
	case "silent":
		target.announcesNothing = !target.announcesNothing
	}
}

func (sim *simulation) heal() {
	clear(sim.blocked)
	for _, d := range sim.daemons {
		d.paused = false
	}
	for _, t := range sim.targets {
		t.announcesNothing = false
		sim.thaw(t)
	}
	sim.flush()
}
