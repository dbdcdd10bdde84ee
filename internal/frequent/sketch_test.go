package frequent

import (
	"flag"
	"os"
	"testing"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// TestSketchKeepsFrequentKeys checks the guarantees of Space-Saving against exact
// counts.
func TestSketchKeepsFrequentKeys(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const capacity = 8
		s, exact := New[uint64](capacity), map[uint64]float64{}
		events := rapid.SliceOfN(rapid.Uint64Range(0, 40), 1, 400).Draw(rt, "events")
		for _, e := range events {
			k := e * e / 40 // small keys are frequent
			s.Add(k, 1)
			exact[k]++
		}
		for k, n := range exact {
			c := s.counters[k]
			if c == nil {
				if n > float64(len(events))/capacity {
					rt.Fatalf("key %d with %v of %d events is missing", k, n, len(events))
				}
				continue
			}
			if c.Count < n || c.Count-c.Error > n {
				rt.Fatalf("key %d counted %v with error %v, exactly %v", k, c.Count, c.Error, n)
			}
		}
	})
}
