package slowstart

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

var start = time.Unix(1000, 0)

func warmed(slots int) *Window {
	w := &Window{}
	for range 3 * slots {
		w.Observe(Outcome{Kind: Served, Latency: time.Millisecond}, slots, start)
	}
	return w
}

// TestOneAtATimeThenARamp holds "a target in cold start gets no more work than
// it can bear": the first answers decide the growth.
func TestOneAtATimeThenARamp(t *testing.T) {
	is := is.New(t)
	w := &Window{}
	is.Equal(w.Limit(6, start), 1)
	is.True(w.Cold())
	before := 1
	for range 12 {
		w.Observe(Outcome{Kind: Served, Latency: time.Millisecond}, 6, start)
		now := w.Limit(6, start)
		is.True(now-before <= 1) // no jump
		before = now
	}
	is.Equal(before, 6)
	is.True(!w.Cold())
}

// TestRampStopsAtWhatTheTargetBears: answers that slow down as the load grows
// end the growth.
func TestRampStopsAtWhatTheTargetBears(t *testing.T) {
	is := is.New(t)
	w := &Window{}
	for range 100 {
		limit := w.Limit(16, start)
		latency := 10 * time.Millisecond
		if limit > 3 { // bears three
			latency *= time.Duration(limit * limit)
		}
		w.Observe(Outcome{Kind: Served, Latency: latency}, 16, start)
		is.True(w.Limit(16, start) <= 5)
	}
	is.True(w.Limit(16, start) >= 2)
}

// TestSignsOfColdStart: a shed and a run of slow answers bring a warm target
// back to one at a time; a lone slow answer does not.
func TestSignsOfColdStart(t *testing.T) {
	is := is.New(t)
	w := warmed(6)
	is.True(w.Observe(Outcome{Kind: Shed}, 6, start))
	is.Equal(w.Limit(6, start), 1)

	w = warmed(6)
	slow := Outcome{Kind: Served, Latency: 100 * time.Millisecond, Usual: 2 * time.Millisecond}
	for range slowRun - 1 {
		is.True(!w.Observe(slow, 6, start))
	}
	is.Equal(w.Limit(6, start), 6)
	is.True(w.Observe(slow, 6, start))
	is.Equal(w.Limit(6, start), 1)
}

// TestFastRefusalsRest: a target that refuses a lone request is left alone for
// longer each time, up to a bound.
func TestFastRefusalsRest(t *testing.T) {
	is := is.New(t)
	w := &Window{}
	now := start
	for range 10 {
		w.Observe(Outcome{Kind: Refused}, 6, now)
		is.Equal(w.Limit(6, now), 0)
		rest := w.PausedTo().Sub(now)
		is.True(rest >= firstPause && rest <= longestStop)
		now = w.PausedTo()
		is.Equal(w.Limit(6, now), 1)
	}
}

// TestWindowStaysInBounds holds the limit between nothing and the slots for any
// run of outcomes, and growth of at most one for each answer.
func TestWindowStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 32).Draw(t, "slots")
		w, now := &Window{}, start
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			before := w.Limit(slots, now)
			kind := Kind(rapid.IntRange(int(Served), int(Unknown)).Draw(t, "kind"))
			latency := time.Duration(rapid.IntRange(0, int(time.Second)).Draw(t, "latency"))
			w.Observe(Outcome{Kind: kind, Latency: latency, Usual: 10 * time.Millisecond}, slots, now)
			after := w.Limit(slots, now)
			if after < 0 || after > slots || after > max(before, 1)+max(1, before/2) {
				t.Fatalf("limit went from %d to %d of %d slots", before, after, slots)
			}
			now = now.Add(time.Duration(rapid.IntRange(0, int(time.Second)).Draw(t, "wait")))
		}
	})
}
