package slopes

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/policy"
	"github.com/comfreynotch/comfreynotch/internal/dispatch"
)

// Choice compares choosers of dispatch while two of twelve targets are stragglers.
func Choice(_ context.Context, w io.Writer) error {
	t := newTable(w, "load", "chooser", "seed", "p50", "p99", "p99.9", "refused", "on stragglers")
	choosers := []struct {
		name string
		make func() dispatch.Chooser
	}{
		{"round robin", func() dispatch.Chooser { return &dispatch.RoundRobin{} }},
		{"two choices", func() dispatch.Chooser { return dispatch.TwoChoices{} }},
		{"least in flight", func() dispatch.Chooser { return dispatch.LeastInFlight{} }},
		{"latency aware", func() dispatch.Chooser { return dispatch.LatencyAware{} }},
		{"hot cold", func() dispatch.Chooser { return &dispatch.HotCold{} }},
	}
	for _, utilised := range []float64{0.3, 0.6, 0.75} {
		for _, c := range choosers {
			for seed := range uint64(2) {
				o := policy.Simulate(policy.Load{
					Targets: 12, Slots: 6, Work: 25 * time.Millisecond, Utilised: utilised,
					Stragglers: 2, Factor: 5, Length: 20 * time.Second, Seed: seed,
				}, c.make())
				row(t, fmt.Sprintf("%.0f%%", 100*utilised), c.name, seed, o.P50, o.P99, o.P999, o.Refused, percent(o.OnStragglers))
			}
		}
	}
	return t.Flush()
}
