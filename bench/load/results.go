package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is what a caller learned of one request.
type Outcome uint8

// The outcomes of a request.
const (
	Served      Outcome = iota
	OverRate            // refused for the workspace's rate, not run
	NotRun              // refused or failed, proved not to have run
	MayHaveRun          // failed, may have run
	RanFailed           // ran, and its answer is an error
	WrongAnswer         // an answer that is not to this request
)

// Sample is one finished request.
type Sample struct {
	Workspace string
	Kind      string
	Key       string
	Outcome   Outcome
	At        time.Duration // intended time, from the start of the run
	Latency   time.Duration // from the intended time
	Target    string
}

// Row sums up the requests of one workspace and kind.
type Row struct {
	Workspace string
	Kind      string
	Sent      int
	Outcomes  [WrongAnswer + 1]int
	Latency   *hdrhistogram.Histogram // microseconds, served requests only
}

const (
	lowestMicros  = 1
	highestMicros = 60_000_000
	digits        = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// Results are the sums of one run.
type Results struct {
	Rows      []*Row
	Samples   []Sample
	PerTarget map[string]int // served requests
	Wrongful  map[string]int // refusals inside a workspace's rate
	Excess    map[string]int // admitted above a workspace's rate and burst
}

func newResults() *Results {
	return &Results{PerTarget: map[string]int{}, Wrongful: map[string]int{}, Excess: map[string]int{}}
}

func (r *Results) add(s Sample) {
	r.Samples = append(r.Samples, s)
	row := r.row(s.Workspace, s.Kind)
	row.Sent++
	row.Outcomes[s.Outcome]++
	if s.Outcome == Served {
		_ = row.Latency.RecordValue(max(s.Latency.Microseconds(), lowestMicros))
		r.PerTarget[s.Target]++
	}
}

func (r *Results) row(workspace, kind string) *Row {
	for _, row := range r.Rows {
		if row.Workspace == workspace && row.Kind == kind {
			return row
		}
	}
	row := &Row{Workspace: workspace, Kind: kind, Latency: newHistogram()}
	r.Rows = append(r.Rows, row)
	return row
}

// judgeRates counts wrongful refusals and excess admissions of each workspace
// against one bucket that sees every intended time.
func (r *Results) judgeRates(streams []Stream) {
	limits := map[string]Stream{}
	for _, s := range streams {
		limits[s.Workspace] = s
	}
	for name, s := range limits {
		var arrivals []time.Duration
		refused := 0
		for _, sample := range r.Samples {
			if sample.Workspace == name {
				arrivals = append(arrivals, sample.At)
				if sample.Outcome == OverRate {
					refused++
				}
			}
		}
		slices.Sort(arrivals)
		admitted := len(arrivals) - refused
		fair := allowed(s.Rate, s.Burst, arrivals)
		r.Wrongful[name] = max(0, fair-admitted)
		r.Excess[name] = max(0, admitted-fair)
	}
}

// Merge adds the sums of another run of the same streams.
func (r *Results) Merge(o *Results) {
	for _, from := range o.Rows {
		to := r.row(from.Workspace, from.Kind)
		to.Sent += from.Sent
		to.Latency.Merge(from.Latency)
		for i, n := range from.Outcomes {
			to.Outcomes[i] += n
		}
	}
	r.Samples = append(r.Samples, o.Samples...)
	for _, m := range []struct{ to, from map[string]int }{
		{r.PerTarget, o.PerTarget}, {r.Wrongful, o.Wrongful}, {r.Excess, o.Excess},
	} {
		for k, n := range m.from {
			m.to[k] += n
		}
	}
}

// Total sums up the rows that match; nil matches all.
func (r *Results) Total(match func(*Row) bool) *Row {
	total := &Row{Workspace: "all", Kind: "all", Latency: newHistogram()}
	for _, row := range r.Rows {
		if match != nil && !match(row) {
			continue
		}
		total.Sent += row.Sent
		total.Latency.Merge(row.Latency)
		for i, n := range row.Outcomes {
			total.Outcomes[i] += n
		}
	}
	return total
}

// ByWorkspace sums up each workspace, in the order of names.
func (r *Results) ByWorkspace() []*Row {
	return r.group(func(row *Row) string { return row.Workspace }, func(total *Row, name string) { total.Workspace = name })
}

// ByKind sums up each request kind, in the order of names.
func (r *Results) ByKind() []*Row {
	return r.group(func(row *Row) string { return row.Kind }, func(total *Row, name string) { total.Kind = name })
}

func (r *Results) group(of func(*Row) string, set func(*Row, string)) []*Row {
	var names []string
	for _, row := range r.Rows {
		if !slices.Contains(names, of(row)) {
			names = append(names, of(row))
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	var groups []*Row
	for _, name := range names {
		total := r.Total(func(row *Row) bool { return of(row) == name })
		set(total, name)
		groups = append(groups, total)
	}
	return groups
}

// Quantile returns the latency below which q percent of the served requests are.
func (r *Row) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// ServedShare is the part of the sent requests that were served, 0 to 1.
func (r *Row) ServedShare() float64 {
	if r.Sent == 0 {
		return 0
	}
	return float64(r.Outcomes[Served]) / float64(r.Sent)
}

// Between sums up the requests whose intended time lies in [from, to).
func (r *Results) Between(from, to time.Duration) *Results {
	part := newResults()
	for _, s := range r.Samples {
		if s.At >= from && s.At < to {
			part.add(s)
		}
	}
	return part
}

// LongestOutage returns the longest time for which the requests to one key of
// a kind were refused or failed without one served between them.
func (r *Results) LongestOutage(kind string) time.Duration {
	type outage struct {
		from   time.Duration
		failed bool
	}
	samples := slices.Clone(r.Samples)
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.At, b.At) })
	open := map[string]outage{}
	var longest time.Duration
	for _, s := range samples {
		if s.Kind != kind {
			continue
		}
		o := open[s.Key]
		switch {
		case s.Outcome == Served:
			delete(open, s.Key)
		case !o.failed:
			open[s.Key] = outage{from: s.At, failed: true}
		default:
			longest = max(longest, s.At-o.from)
		}
	}
	return longest
}
