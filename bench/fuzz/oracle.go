package fuzz

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/faketarget"
	"github.com/comfreynotch/comfreynotch/bench/load"
)

// gracePeriod is how long a change may take to reach every VM. The promises say
// "within seconds".
const gracePeriod = 5 * time.Second

// Oracle checks one promise of the system against the history of a run.
type Oracle struct {
	Promise string
	Check   func(h *History) error
}

// Oracles returns one check for each promise.
func Oracles() []Oracle {
	return []Oracle{
		{"a key has at most one owning server at any time", oneOwner},
		{"an acknowledged assignment survives any tolerated loss", acknowledgedSurvives},
		{"a target gets no more work than its slots", withinSlots},
		{"a data centre that is out gets no new work", outGetsNoRequests},
		{"a request runs only for its key's workspace, unseen by targets", rightWorkspace},
		{"a withdrawn key stops working", withdrawnStops},
		{"no workspace gets more than its rate and burst", withinRate},
		{"a caller gets the whole answer to its own request", ownWholeAnswer},
		{"a refusal that says not run is true", notRunIsTrue},
		{"a request that may not be repeated runs at most once", atMostOnce},
		{"a leaving target gets no new work", drainingGetsNoRequests},
		{"a planned stop cuts no request", plannedStopFailsNoRequest},
		{"an accepted configuration is in force everywhere and never reverts", configurationHolds},
		{"of two changes with one expected version one wins", oneRaceWinner},
	}
}

// Check returns the promises that the history breaks.
func Check(h *History) []error {
	var broken []error
	for _, o := range Oracles() {
		if err := o.Check(h); err != nil {
			broken = append(broken, fmt.Errorf("%s: %w", o.Promise, err))
		}
	}
	return broken
}

func oneOwner(h *History) error {
	type shard struct {
		service string
		number  uint32
	}
	byShard := map[shard][]faketarget.GrantPeriod{}
	for _, t := range h.Tenures {
		k := shard{string(t.Service), uint32(t.Shard)}
		byShard[k] = append(byShard[k], t)
	}
	for k, tenures := range byShard {
		slices.SortFunc(tenures, func(a, b faketarget.GrantPeriod) int { return a.Start.Compare(b.Start) })
		for i, a := range tenures {
			for _, b := range tenures[i+1:] {
				if a.Target != b.Target && b.Start.Before(a.End) {
					return fmt.Errorf("shard %d of %s: %s holds it until %v after %s got it (fences %s and %s)",
						k.number, k.service, a.Target, a.End.Sub(b.Start), b.Target, a.Fence, b.Fence)
				}
			}
		}
	}
	return nil
}

func acknowledgedSurvives(h *History) error {
	for _, final := range h.Final {
		for _, a := range h.Accepted {
			if a.Workspace != "" && !slices.Contains(final.Workspaces, a.Workspace) {
				return fmt.Errorf("%s does not know workspace %s of version %d", final.VM, a.Workspace, a.Version)
			}
		}
	}
	return nil
}

func withinSlots(h *History) error {
	for id, c := range h.Counts {
		if c.OverSlots > 0 {
			return fmt.Errorf("%s was sent %d requests above its slots", id, c.OverSlots)
		}
	}
	return nil
}

// checkNoRunsIn returns an error if a run began inside one of the windows, after
// the grace period. A window applies to the runs for which name returns its name.
func checkNoRunsIn(h *History, windows []Window, name func(faketarget.Run) string) error {
	for _, w := range windows {
		for _, r := range h.Runs {
			if name(r) == w.Name && r.Start.After(w.From.Add(gracePeriod)) && r.Start.Before(w.To) {
				return fmt.Errorf("%s began %s %v after %s", r.Target, r.Body, r.Start.Sub(w.From), w.Name)
			}
		}
	}
	return nil
}

func outGetsNoRequests(h *History) error {
	return checkNoRunsIn(h, h.Out, func(r faketarget.Run) string { return h.Homes[r.Target] })
}

func drainingGetsNoRequests(h *History) error {
	return checkNoRunsIn(h, h.Drained, func(r faketarget.Run) string { return string(r.Target) })
}

func rightWorkspace(h *History) error {
	calls := callsByID(h)
	for _, r := range h.Runs {
		c, ok := calls[r.CallID]
		switch {
		case r.ReceivedCallerKey:
			return fmt.Errorf("%s saw the caller key of %s", r.Target, r.Body)
		case ok && string(r.Workspace) != c.Workspace:
			return fmt.Errorf("%s ran %s of %s for %s", r.Target, r.Body, c.Workspace, r.Workspace)
		case ok && r.Key != "" && r.Key != c.Key:
			return fmt.Errorf("%s ran %s with key %s instead of %s", r.Target, r.Body, r.Key, c.Key)
		}
	}
	return nil
}

func withdrawnStops(h *History) error {
	for _, w := range h.Withdrawn {
		for _, c := range h.Calls {
			if c.Secret == w.Name && c.Outcome == load.Served && c.Sent.After(w.From.Add(gracePeriod)) && !vmIsolated(h, c) {
				return fmt.Errorf("%s was served %v after the key was withdrawn", c.ID, c.Sent.Sub(w.From))
			}
		}
	}
	return nil
}

// vmIsolated reports whether the call's VM was crashed or isolated when the call
// was sent, or less than the grace period before, so that it may have missed a
// configuration change.
func vmIsolated(h *History, c Call) bool {
	return slices.ContainsFunc(h.Isolated, func(w Window) bool {
		return w.Name == c.VM && c.Sent.After(w.From) && c.Sent.Before(w.To.Add(gracePeriod))
	})
}

const limitedWorkspace = "limited"

// withinRate checks that in every time span, the served calls that were sent
// and ended within it do not exceed the workspace's rate and burst.
func withinRate(h *History) error {
	var served []Call
	for _, c := range h.Calls {
		if c.Workspace == limitedWorkspace && c.Outcome == load.Served {
			served = append(served, c)
		}
	}
	slices.SortFunc(served, func(a, b Call) int { return a.Ended.Compare(b.Ended) })
	for _, from := range served {
		count := 0
		for _, c := range served {
			if c.Sent.Before(from.Sent) {
				continue
			}
			count++
			span := c.Ended.Sub(from.Sent).Seconds()
			if most := h.Plan.LimitedBurst + span*h.Plan.LimitedRate; float64(count) > most+1 {
				return fmt.Errorf("%d served in %.2f s, rate and burst allow %.1f", count, span, most)
			}
		}
	}
	return nil
}

func ownWholeAnswer(h *History) error {
	for _, c := range h.Calls {
		switch {
		case c.Outcome == load.WrongAnswer:
			return fmt.Errorf("%s got the answer to %q of %q", c.ID, c.Answer.Body, c.Answer.Workspace)
		case c.Outcome == load.Served && len(c.Answer.Padding) != c.Padding:
			return fmt.Errorf("%s got %d bytes of %d", c.Body, len(c.Answer.Padding), c.Padding)
		}
	}
	return nil
}

func notRunIsTrue(h *History) error {
	runs := runsByCall(h)
	for _, c := range h.Calls {
		if (c.Outcome == load.NotRun || c.Outcome == load.OverRate) && len(runs[c.ID]) > 0 {
			return fmt.Errorf("%s through %s was refused as not run with code %s, and ran at %s", c.ID, c.VM, c.Code, runs[c.ID][0].Target)
		}
	}
	return nil
}

func atMostOnce(h *History) error {
	calls := callsByID(h)
	times := map[string][]faketarget.Run{}
	for _, r := range h.Runs {
		c, ok := calls[r.CallID]
		if !ok || !c.Post {
			continue
		}
		id := cmp.Or(c.Idempotent, c.ID)
		times[id] = append(times[id], r)
	}
	for _, id := range slices.Sorted(maps.Keys(times)) {
		if runs := times[id]; len(runs) > 1 {
			return fmt.Errorf("%s ran %d times: %s at %s, %s at %s", id, len(runs), runs[0].CallID, runs[0].Target, runs[1].CallID, runs[1].Target)
		}
	}
	return nil
}

// plannedStopFailsNoRequest checks that in plans of planned steps only, every
// request that began to run was served.
func plannedStopFailsNoRequest(h *History) error {
	if !h.Plan.Planned {
		return nil
	}
	runs := runsByCall(h)
	for _, c := range h.Calls {
		if c.Outcome != load.Served && len(runs[c.ID]) > 0 {
			return fmt.Errorf("%s through %s began to run and ended with code %q", c.ID, c.VM, c.Code)
		}
	}
	return nil
}

func configurationHolds(h *History) error {
	newest := map[string]uint64{}
	for _, s := range h.Observed {
		id := fmt.Sprintf("%s run %d", s.VM, s.Run)
		if s.Version < newest[id] {
			return fmt.Errorf("%s went back from version %d to %d", id, newest[id], s.Version)
		}
		newest[id] = s.Version
	}
	for _, a := range h.Accepted {
		for _, f := range h.Final {
			if f.Version < a.Version {
				return fmt.Errorf("%s ended at version %d, version %d was accepted", f.VM, f.Version, a.Version)
			}
		}
	}
	return nil
}

func oneRaceWinner(h *History) error {
	for _, winners := range h.RaceWinners {
		if winners > 1 {
			return fmt.Errorf("%d changes won with one expected version", winners)
		}
	}
	for _, versions := range h.ResendVersions {
		if versions > 1 {
			return fmt.Errorf("resends of one change got %d versions", versions)
		}
	}
	return nil
}

func callsByID(h *History) map[string]Call {
	calls := make(map[string]Call, len(h.Calls))
	for _, c := range h.Calls {
		calls[c.ID] = c
	}
	return calls
}

func runsByCall(h *History) map[string][]faketarget.Run {
	runs := make(map[string][]faketarget.Run, len(h.Runs))
	for _, r := range h.Runs {
		runs[r.CallID] = append(runs[r.CallID], r)
	}
	return runs
}
