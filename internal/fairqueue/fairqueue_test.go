package fairqueue

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

// TestFloodDelaysOthersByOneItem checks that a workspace which sends far more
// than its share delays another one by at most one item.
func TestFloodDelaysOthersByOneItem(t *testing.T) {
	is := is.New(t)
	q := New[string]()
	for range 1000 {
		q.Push("flood", 1, "flood")
	}
	for range 10 {
		_, _ = q.Pop()
	}
	q.Push("small", 1, "small")
	first, _ := q.Pop()
	second, _ := q.Pop()
	is.True(first == "small" || second == "small")
}

type entry struct {
	workspace core.Workspace
	serial    int
}

type waiter struct {
	item   *Item[entry]
	serial int
}

// TestFairAndComplete compares random operations on the queue with a list for
// each workspace: every item is either served once, in order within its
// workspace, or removed, and the workspaces are served fairly while all of
// them have items waiting.
func TestFairAndComplete(t *testing.T) {
	workspaces := []core.Workspace{"a", "b", "c", "d"}
	rapid.Check(t, func(t *rapid.T) {
		q := New[entry]()
		waiting := map[core.Workspace][]waiter{}
		served := map[core.Workspace]int{} // items served since every workspace has items waiting
		serial := 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			w := rapid.SampledFrom(workspaces).Draw(t, "workspace")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				serial++
				waiting[w] = append(waiting[w], waiter{q.Push(w, 1, entry{w, serial}), serial})
			case 2:
				if len(waiting[w]) > 0 {
					i := rapid.IntRange(0, len(waiting[w])-1).Draw(t, "which")
					q.Remove(waiting[w][i].item)
					waiting[w] = append(waiting[w][:i:i], waiting[w][i+1:]...)
				}
			default:
				want := 0
				for _, items := range waiting {
					want += len(items)
				}
				if q.Len() != want {
					t.Fatalf("%d items are waiting, want %d", q.Len(), want)
				}
				e, ok := q.Pop()
				if ok != (want > 0) {
					t.Fatalf("Pop returned %v with %d items waiting", ok, want)
				}
				if !ok {
					break
				}
				if oldest := waiting[e.workspace][0].serial; oldest != e.serial {
					t.Fatalf("served item %d before item %d of %s", e.serial, oldest, e.workspace)
				}
				waiting[e.workspace] = waiting[e.workspace][1:]
				served[e.workspace]++
			}
			checkFair(t, workspaces, waiting, served)
		}
	})
}

// checkFair fails if the numbers of items served differ by more than two between
// workspaces while every workspace has items waiting. Otherwise it resets them.
func checkFair(t *rapid.T, workspaces []core.Workspace, waiting map[core.Workspace][]waiter, served map[core.Workspace]int) {
	low, high := 1<<30, 0
	for _, w := range workspaces {
		if len(waiting[w]) == 0 {
			clear(served)
			return
		}
		low, high = min(low, served[w]), max(high, served[w])
	}
	if high-low > 2 {
		t.Fatalf("served %v while all workspaces had items waiting", served)
	}
}

func BenchmarkPushPop(b *testing.B) {
	b.ReportAllocs()
	q := New[int]()
	names := []core.Workspace{"a", "b", "c", "d", "e", "f", "g", "h"}
	for i := range 256 {
		q.Push(names[i%8], 1, i)
	}
	i := 0
	for b.Loop() {
		q.Push(names[i%8], 1, i)
		_, _ = q.Pop()
		i++
	}
}

// TestRepeatedPushGainsNothing checks that a workspace which always has one item
// waiting gets as much as one that has many.
func TestRepeatedPushGainsNothing(t *testing.T) {
	is := is.New(t)
	q := New[string]()
	for range 100 {
		q.Push("many", 1, "many")
	}
	single := 0
	q.Push("single", 1, "single")
	for range 40 {
		v, _ := q.Pop()
		if v == "single" {
			single++
			q.Push("single", 1, "single")
		}
	}
	is.True(single >= 19 && single <= 21)
}
