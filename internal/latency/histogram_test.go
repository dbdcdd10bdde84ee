package latency

import (
	"flag"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

// TestQuantileIsWithinABucket compares quantiles with those of the sorted
// samples.
func TestQuantileIsWithinABucket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		samples := rapid.SliceOfN(rapid.Int64Range(0, int64(30*time.Second)), 1, 500).Draw(t, "samples")
		q := rapid.SampledFrom([]float64{0.5, 0.9, 0.99, 0.999}).Draw(t, "q")
		var h Histogram
		for _, s := range samples {
			h.Add(time.Duration(s))
		}
		slices.Sort(samples)
		exact := time.Duration(samples[min(int(q*float64(len(samples))), len(samples)-1)])
		got := h.Quantile(q)
		if got < exact || got > exact+exact/4+unit {
			t.Fatalf("quantile %v: got %v, exact %v", q, got, exact)
		}
	})
}

// TestOldSamplesFade checks that the median follows a change of latency within
// two windows.
func TestOldSamplesFade(t *testing.T) {
	is := is.New(t)
	var h Histogram
	for range 10 * windowSize {
		h.Add(time.Millisecond)
	}
	for range 2 * windowSize {
		h.Add(50 * time.Millisecond)
	}
	is.True(h.Quantile(0.5) >= 50*time.Millisecond)
	is.True(h.Count() < windowSize)
}

func BenchmarkAdd(b *testing.B) {
	b.ReportAllocs()
	var h Histogram
	var c Cached
	for b.Loop() {
		h.Add(time.Millisecond)
		_ = c.Get(&h, 0.95)
	}
}
