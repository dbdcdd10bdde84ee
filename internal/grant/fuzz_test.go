package grant_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestNeverTwoOwners holds "every key has exactly one rightful owner" over
// members, targets and a network that loses, doubles, delays and reorders, with
// pauses, restarts, one-way cuts, frozen and replaced targets. Once the faults
// end every shard is served again.
func TestNeverTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "members"), 3)
		if rapid.Bool().Draw(t, "settled") {
			w.run(5 * time.Second)
		}
		for range rapid.IntRange(20, 150).Draw(t, "steps") {
			w.chaos(t)
			if v := w.violation(); v != "" {
				t.Fatal(v)
			}
		}
		w.heal()
		if _, v := w.run(10 * time.Second); v != "" {
			t.Fatal(v)
		}
		if n := w.unserved(); n > 0 {
			t.Fatalf("%d shards are not served after the faults ended:\n%s", n, w.dump())
		}
	})
}

func (w *world) chaos(t *rapid.T) {
	vm := rapid.SampledFrom(w.members).Draw(t, "vm")
	d := w.daemons[vm]
	target := w.targets[core.TargetID(fmt.Sprintf("t-%d", rapid.IntRange(0, 2).Draw(t, "target")))]
	i := 0
	if n := len(w.packets); n > 0 {
		i = rapid.IntRange(0, n-1).Draw(t, "packet")
	}
	event := rapid.SampledFrom([]string{
		"time", "time", "time", "time", "flush", "flush", "deliver", "double", "drop",
		"pause", "restart", "cut", "mend", "freeze", "thaw", "replace", "silent",
	}).Draw(t, "event")
	switch event {
	case "time":
		for range rapid.IntRange(1, 40).Draw(t, "steps of 10 ms") {
			w.advance(10 * time.Millisecond)
			if rapid.IntRange(0, 4).Draw(t, "flush") > 0 {
				w.flush()
			}
			if v := w.violation(); v != "" {
				t.Fatal(v)
			}
		}
	case "flush":
		w.flush()
	case "deliver", "double", "drop":
		if len(w.packets) == 0 || w.packets[i].to == "" {
			return
		}
		p := w.packets[i]
		if event != "double" {
			w.packets = slices.Delete(w.packets, i, i+1)
		}
		if event != "drop" {
			w.deliver(p)
		} else {
			w.lost(p)
		}
	case "pause":
		d.paused = !d.paused
	case "restart":
		w.start(vm)
	case "cut":
		other := rapid.SampledFrom(append([]core.VM{"t-0", "t-1"}, w.members...)).Draw(t, "other")
		w.cut[[2]string{string(vm), string(other)}] = true
	case "mend":
		clear(w.cut)
	case "freeze":
		target.frozen = true
	case "thaw":
		w.thaw(target)
	case "replace":
		next := *target
		w.addTarget(int(target.info.ID[2]-'0'), next.info.Incarnation+1)
	case "silent":
		target.silent = !target.silent
	}
}

func (w *world) heal() {
	clear(w.cut)
	for _, d := range w.daemons {
		d.paused = false
	}
	for _, t := range w.targets {
		t.silent = false
		w.thaw(t)
	}
	w.flush()
}
