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

// TestOneAtATimeThenARamp checks that a cold target gets one request at a time at
// first, and at most one more with each answer.
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

// TestRampStopsAtTargetCapacity checks that the window stops growing when answers
// become slower as the load grows.
func TestRampStopsAtTargetCapacity(t *testing.T) {
	is := is.New(t)
	w := &Window{}
	for range 100 {
		limit := w.Limit(16, start)
		latency := 10 * time.Millisecond
		if limit > 3 { // the target has the capacity for three requests
			latency *= time.Duration(limit * limit)
		}
		w.Observe(Outcome{Kind: Served, Latency: latency}, 16, start)
		is.True(w.Limit(16, start) <= 5)
	}
	is.True(w.Limit(16, start) >= 2)
}

// TestSignsOfColdStart checks that a refused request or slowRun slow answers in a
// row reset the window of a warm target to one request, and that fewer slow
// answers do not.
func TestSignsOfColdStart(t *testing.T) {
	is := is.New(t)
	w := warmed(6)
	is.True(w.Observe(Outcome{Kind: TargetRefused}, 6, start))
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

// TestRefusalsPauseTarget checks that a target which refuses a lone request
// gets no requests for a pause between firstPause and maxPause.
func TestRefusalsPauseTarget(t *testing.T) {
	is := is.New(t)
	w := &Window{}
	now := start
	for range 10 {
		w.Observe(Outcome{Kind: ConnectFailed}, 6, now)
		is.Equal(w.Limit(6, now), 0)
		pause := w.PausedUntil().Sub(now)
		is.True(pause >= firstPause && pause <= maxPause)
		now = w.PausedUntil()
		is.Equal(w.Limit(6, now), 1)
	}
}

// TestWindowStaysInBounds checks for any sequence of outcomes that the limit
// stays between zero and the slots, and grows by a bounded step with each
// outcome.
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
