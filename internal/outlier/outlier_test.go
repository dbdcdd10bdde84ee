package outlier

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

func group(n int) []*Stats {
	targets := make([]*Stats, n)
	for i := range targets {
		targets[i] = &Stats{}
	}
	return targets
}

// TestSlowTargetIsEjected checks that one of twelve targets is ejected for
// firstEjection when it becomes ten times slower.
func TestSlowTargetIsEjected(t *testing.T) {
	is := is.New(t)
	targets, g := group(12), Group{}
	for range 30 {
		for _, s := range targets {
			s.Served(5 * time.Millisecond)
		}
	}
	is.Equal(len(g.Evaluate(targets, start, nil)), 0)
	for range 30 {
		targets[3].Served(50 * time.Millisecond)
	}
	is.Equal(g.Evaluate(targets, start, nil), []int{3})
	is.True(targets[3].Ejected(start))
	is.True(!targets[3].Ejected(start.Add(firstEjection)))
}

// TestUniformSlownessEjectsNone checks that no target is ejected if all are
// equally slow.
func TestUniformSlownessEjectsNone(t *testing.T) {
	is := is.New(t)
	targets, g := group(12), Group{}
	for range 30 {
		for _, s := range targets {
			s.Served(500 * time.Millisecond)
		}
	}
	is.Equal(len(g.Evaluate(targets, start, nil)), 0)
}

// TestNeverTheMajority checks that fewer than half of the targets are ejected,
// for any mix of latencies and failures.
func TestNeverTheMajority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		targets, g, now := group(rapid.IntRange(1, 9).Draw(t, "targets")), Group{}, start
		for range rapid.IntRange(1, 30).Draw(t, "rounds") {
			for _, s := range targets {
				n := rapid.IntRange(0, 40).Draw(t, "samples")
				latency := time.Duration(rapid.SampledFrom([]int{1, 5, 50, 5000}).Draw(t, "ms")) * time.Millisecond
				failing := rapid.Bool().Draw(t, "failing")
				for range n {
					if failing {
						s.Failed()
					} else {
						s.Served(latency)
					}
				}
			}
			g.Evaluate(targets, now, nil)
			ejected := 0
			for _, s := range targets {
				if s.Ejected(now) {
					ejected++
				}
			}
			if 2*ejected >= len(targets) && ejected > 0 {
				t.Fatalf("%d of %d targets are ejected", ejected, len(targets))
			}
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait")) * time.Millisecond)
		}
	})
}

func BenchmarkEvaluate(b *testing.B) {
	b.ReportAllocs()
	targets, g := group(18), Group{}
	var ejected []int
	for b.Loop() {
		for _, s := range targets {
			s.Served(time.Millisecond)
		}
		ejected = g.Evaluate(targets, start, ejected[:0])
	}
}
