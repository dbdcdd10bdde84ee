package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
)

const settleTime = 4 * time.Second // long enough for the targets of a new system to warm up

// Imbalance measures how evenly the load is spread over targets, how many shards
// move when a target drains and returns, and how long a key is not served.
func Imbalance(ctx context.Context, w io.Writer, c Config) error {
	return execute(ctx, w, c, scenario{
		name: "imbalance, churn and unavailable time", settle: settleTime,
		streams: tenantStreams, actions: drainThenDisconnect, report: reportImbalance,
	})
}

// drainThenDisconnect drains one keyed target and cancels the drain, then closes
// and refuses another one's connections for a while. Baselines see neither.
func drainThenDisconnect(d cluster.Deployment, c Config) []action {
	keyed := func(n int) func(s *system) *cluster.Target {
		return func(s *system) *cluster.Target {
			for _, t := range s.cluster.Targets {
				if serviceOf(d, t.Service).Keyed {
					if n == 0 {
						return t
					}
					n--
				}
			}
			return s.cluster.Targets[0]
		}
	}
	first, second := keyed(0), keyed(4)
	routed := func(do func(s *system)) func(context.Context, *system) error {
		return func(_ context.Context, s *system) error {
			if s.routed { // baselines have no drain
				do(s)
			}
			return nil
		}
	}
	return []action{
		{at(c, 0.2), routed(func(s *system) { first(s).Drain() })},
		{at(c, 0.4), routed(func(s *system) { first(s).Undrain() })},
		{at(c, 0.6), routed(func(s *system) { second(s).Relay.Disconnect() })},
		{at(c, 0.8), routed(func(s *system) { second(s).Relay.Heal() })},
	}
}

func serviceOf(d cluster.Deployment, name string) cluster.Service {
	i := slices.IndexFunc(d.Services, func(s cluster.Service) bool { return s.Name == name })
	return d.Services[i]
}

func reportImbalance(w io.Writer, c Config, d cluster.Deployment, runs []*run) error {
	t := newTable(w, append([]string{"system", "most/mean", "least/mean", "longest outage of a key ms", "tenures begun"}, outcomeHeadings...)...)
	for _, r := range runs {
		steady := r.results.Between(0, at(c, 0.2))
		most, least := spread(d, steady.PerTarget)
		var outage time.Duration
		for _, row := range r.results.ByKind() {
			outage = max(outage, r.results.LongestOutage(row.Kind))
		}
		t.row(append([]string{
			r.system, fmt.Sprintf("%.2f", most), fmt.Sprintf("%.2f", least), millis(outage),
			fmt.Sprintf("%.0f", r.extra["tenures begun"]),
		}, outcomeCells(r.results.Total(nil))...)...)
	}
	if err := plotServed(c, d, "service while targets leave and fail", runs); err != nil {
		return err
	}
	return t.flush()
}

// spread returns the requests of the most and of the least loaded target, as
// fractions of the mean of the target's service.
func spread(d cluster.Deployment, perTarget map[string]int) (most, least float64) {
	least = 1
	for _, s := range d.Services {
		sum, counts := 0, []int{}
		for i := range s.Targets {
			n := perTarget[fmt.Sprintf("%s-%d", s.Name, i+1)]
			sum += n
			counts = append(counts, n)
		}
		if sum == 0 {
			continue
		}
		mean := float64(sum) / float64(s.Targets)
		most = max(most, float64(slices.Max(counts))/mean)
		least = min(least, float64(slices.Min(counts))/mean)
	}
	return most, least
}
