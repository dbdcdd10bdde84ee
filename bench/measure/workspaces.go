package measure

import (
	"context"
	"fmt"
	"io"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
	"github.com/comfreynotch/comfreynotch/bench/load"
)

const (
	greedFactor  = 5.0  // load of the greedy workspace, in multiples of its rate
	rateHeadroom = 1.25 // rate of each workspace, in multiples of its share of the load
	burstSeconds = 0.5  // burst of each workspace, in seconds at its rate
	insideShare  = 0.9  // load of each workspace in Refusals, as a fraction of its rate
)

// Workspaces measures the worst-served workspace while one workspace sends
// several times its rate.
func Workspaces(ctx context.Context, w io.Writer, c Config) error {
	return execute(ctx, w, c, scenario{
		name: "the worst-served workspace", settle: settleTime, adjust: limitRates(c),
		streams: greedyStreams, actions: noActions, report: reportWorkspaces,
	})
}

// Refusals counts the requests that were refused within a workspace's rate and
// those admitted above it, while each workspace sends a little less than its rate.
func Refusals(ctx context.Context, w io.Writer, c Config) error {
	return execute(ctx, w, c, scenario{
		name: "refusals inside the rate", settle: settleTime, adjust: limitRates(c),
		streams: insideStreams, actions: noActions, report: reportWorkspaces,
	})
}

// limitRates sets each workspace's rate a little above its share of the load.
func limitRates(c Config) func(cluster.Deployment) cluster.Deployment {
	return func(d cluster.Deployment) cluster.Deployment {
		offered := 0.0
		for _, s := range d.Services {
			offered += capacity(s) * c.Utilised
		}
		limited := d
		limited.Workspaces = nil
		for _, w := range d.Workspaces {
			w.Rate = offered * w.Share * rateHeadroom
			w.Burst = max(1, w.Rate*burstSeconds)
			limited.Workspaces = append(limited.Workspaces, w)
		}
		return limited
	}
}

// greedyStreams lets the largest workspace send several times its rate.
func greedyStreams(d cluster.Deployment, c Config) []load.Stream {
	all := tenantStreams(d, c)
	for i := range all {
		if all[i].Workspace == d.Workspaces[0].Name {
			all[i].PerSecond *= greedFactor * rateHeadroom
		}
	}
	return all
}

func insideStreams(d cluster.Deployment, c Config) []load.Stream {
	all := tenantStreams(d, c)
	for i := range all {
		all[i].PerSecond *= insideShare * rateHeadroom
	}
	return all
}

func reportWorkspaces(w io.Writer, c Config, d cluster.Deployment, runs []*run) error {
	t := newTable(w, append([]string{"system", "workspace"}, append(outcomeHeadings, "refused inside rate", "admitted above rate")...)...)
	for _, r := range runs {
		wrongful, excess := 0, 0
		for _, row := range r.results.ByWorkspace() {
			wrongful += r.results.Wrongful[row.Workspace]
			excess += r.results.Excess[row.Workspace]
			t.row(append([]string{r.system, row.Workspace},
				append(outcomeCells(row), count(r.results.Wrongful[row.Workspace]), count(r.results.Excess[row.Workspace]))...)...)
		}
		t.row(append([]string{r.system, "all"}, append(outcomeCells(r.results.Total(nil)), count(wrongful), count(excess))...)...)
		name, share := worst(d, r.results)
		t.row(r.system, "worst: "+name, "", percent(share))
	}
	if err := plotWorkspaces(c, d, "served part of each workspace", runs); err != nil {
		return err
	}
	return t.flush()
}

// worst returns the workspace with the smallest share of served requests. It
// skips the first workspace if more than half of its requests exceeded its rate.
func worst(d cluster.Deployment, r *load.Results) (name string, share float64) {
	share = 2
	for _, row := range r.ByWorkspace() {
		if row.Workspace == d.Workspaces[0].Name && row.Outcomes[load.OverRate] > row.Sent/2 {
			continue
		}
		if s := row.ServedShare(); s < share {
			name, share = row.Workspace, s
		}
	}
	if name == "" {
		return "none", 0
	}
	return fmt.Sprint(name), share
}
