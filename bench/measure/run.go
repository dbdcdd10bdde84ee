package measure

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/cluster"
	"github.com/comfreynotch/comfreynotch/bench/load"
)

// Config holds the options of the command line.
type Config struct {
	Deployment string // vernicert or tlaloc; "": both
	Length     time.Duration
	Rounds     int
	Seed       uint64
	Utilised   float64 // fraction of the targets' slots that the load occupies
	Plot       string  // plot file; "": no plot
	Only       string  // name of one system; "": all
	VMs        int     // in each data centre
}

// action changes something while the load runs.
type action struct {
	at time.Duration
	do func(ctx context.Context, s *system) error
}

// scenario describes one measure: its load, the changes during the run and its
// report.
type scenario struct {
	name    string
	adjust  func(d cluster.Deployment) cluster.Deployment
	streams func(d cluster.Deployment, c Config) []load.Stream
	actions func(d cluster.Deployment, c Config) []action
	settle  time.Duration
	report  func(w io.Writer, c Config, d cluster.Deployment, runs []*run) error
}

// run holds the results of one system in all rounds of a scenario.
type run struct {
	system  string
	results *load.Results
	extra   map[string]float64 // figures from the fake targets in the last round, by name
}

func deployments(c Config) []cluster.Deployment {
	var chosen []cluster.Deployment
	for _, d := range cluster.Deployments() {
		if c.Deployment == "" || c.Deployment == d.Name {
			chosen = append(chosen, d.Small(c.VMs, 1))
		}
	}
	return chosen
}

// execute runs the scenario on each chosen deployment. Systems take turns within
// a round.
func execute(ctx context.Context, w io.Writer, c Config, s scenario) error {
	for _, d := range deployments(c) {
		if s.adjust != nil {
			d = s.adjust(d)
		}
		var runs []*run
		for round := range c.Rounds {
			for i, st := range chosenStarters(c) {
				if round == 0 {
					runs = append(runs, &run{system: st.name, results: &load.Results{
						PerTarget: map[string]int{}, Wrongful: map[string]int{}, Excess: map[string]int{},
					}})
				}
				if err := runOnce(ctx, c, s, d, st, runs[i], c.Seed+uint64(round)); err != nil {
					return fmt.Errorf("%s, %s, %s: %w", s.name, d.Name, st.name, err)
				}
			}
		}
		_, _ = fmt.Fprintf(w, "\n%s, %s: %d rounds of %s, seed %d, load %.0f%% of the slots\n",
			s.name, d.Name, c.Rounds, c.Length, c.Seed, 100*c.Utilised)
		if err := s.report(w, c, d, runs); err != nil {
			return err
		}
	}
	return nil
}

func chosenStarters(c Config) []starter {
	var chosen []starter
	for _, s := range starters() {
		if c.Only == "" || c.Only == s.name {
			chosen = append(chosen, s)
		}
	}
	return chosen
}

// runOnce starts a new system, runs the load and actions on it, and adds the
// results to the given run.
func runOnce(ctx context.Context, c Config, s scenario, d cluster.Deployment, st starter, into *run, seed uint64) error {
	sys, err := st.start(ctx, d)
	if err != nil {
		return err
	}
	if err := sleep(ctx, s.settle); err != nil {
		return err
	}
	acted := make(chan error, 1)
	start := time.Now()
	go func() { acted <- runActions(ctx, sys, s.actions(d, c)) }()
	results := load.Run(ctx, sys.caller, s.streams(d, c), c.Length, seed)
	if err := <-acted; err != nil {
		return err
	}
	into.results.Merge(results)
	into.extra, err = observe(ctx, sys, start)
	sys.caller.Close()
	if stopErr := sys.stop(); err == nil {
		err = stopErr
	}
	return err
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func runActions(ctx context.Context, sys *system, actions []action) error {
	start := time.Now()
	for _, a := range actions {
		if err := sleep(ctx, a.at-time.Since(start)); err != nil {
			return err
		}
		if err := a.do(ctx, sys); err != nil {
			return err
		}
	}
	return nil
}

// observe sums up the counts, shard ownership and runs of the fake targets. Only
// ownership that began after start counts.
func observe(ctx context.Context, sys *system, start time.Time) (map[string]float64, error) {
	extra := map[string]float64{}
	for _, t := range sys.cluster.Targets {
		counts, err := t.Counts(ctx)
		if err != nil {
			return nil, err
		}
		extra["runs"] += float64(counts.Runs)
		extra["shed"] += float64(counts.Shed)
		extra["refused"] += float64(counts.Refused)
		extra["over slots"] += float64(counts.OverSlots)
		extra["over ramp"] += float64(counts.OverColdCapacity)
		extra["most connected"] = max(extra["most connected"], float64(counts.MaxConnections))
		tenures, err := t.GrantPeriods(ctx)
		if err != nil {
			return nil, err
		}
		for _, tenure := range tenures {
			if tenure.Start.After(start) {
				extra["tenures begun"]++
			}
		}
		runs, err := t.Runs(ctx)
		if err != nil {
			return nil, err
		}
		for _, r := range runs {
			last := "last run " + t.DataCentre
			extra[last] = max(extra[last], r.Start.Sub(start).Seconds())
		}
	}
	return extra, nil
}

func noActions(cluster.Deployment, Config) []action { return nil }
