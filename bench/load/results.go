package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Outcome is the result of one request as its caller can tell it from the answer.
type Outcome uint8

// The outcomes of a request.
const (
	Served      Outcome = iota
	OverRate            // refused because of the workspace's rate, not run
	NotRun              // refused or failed, and certainly not run
	MayHaveRun          // failed, and may have run
	RanFailed           // run, with an error as its answer
	WrongAnswer         // answered with the answer to another request
)

// Sample is one finished request.
type Sample struct {
	Workspace string
	Kind      string
	Key       string
	Outcome   Outcome
	At        time.Duration // planned time of sending, from the start of the run
	Latency   time.Duration // from the planned time of sending to the end
	Target    string
}

// Row summarises the requests of one workspace and kind.
type Row struct {
	Workspace string
	Kind      string
	Sent      int
	Outcomes  [WrongAnswer + 1]int
	Latency   *hdrhistogram.Histogram // microseconds, served requests only
}

const (
	lowestMicros  = 1          // shortest latency that can be distinguished
	highestMicros = 60_000_000 // longest latency that is recorded
	digits        = 3          // significant decimal digits of latencies
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// Results are the requests of one run and their summaries.
type Results struct {
	Rows      []*Row
	Samples   []Sample
	PerTarget map[string]int // by target: served requests
	Wrongful  map[string]int // by workspace: requests refused although within rate and burst
	Excess    map[string]int // by workspace: requests admitted above rate and burst
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

// countRateErrors counts the wrongful refusals and excess admissions of each
// workspace by comparison with a single token bucket that receives every request
// at its planned time.
func (r *Results) countRateErrors(streams []Stream) {
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
		expected := allowed(s.Rate, s.Burst, arrivals)
		r.Wrongful[name] = max(0, expected-admitted)
		r.Excess[name] = max(0, admitted-expected)
	}
}

// Merge adds the results of another run of the same streams.
func (r *Results) Merge(other *Results) {
	for _, from := range other.Rows {
		to := r.row(from.Workspace, from.Kind)
		to.Sent += from.Sent
		to.Latency.Merge(from.Latency)
		for i, n := range from.Outcomes {
			to.Outcomes[i] += n
		}
	}
	r.Samples = append(r.Samples, other.Samples...)
	for _, m := range []struct{ to, from map[string]int }{
		{r.PerTarget, other.PerTarget}, {r.Wrongful, other.Wrongful}, {r.Excess, other.Excess},
	} {
		for k, n := range m.from {
			m.to[k] += n
		}
	}
}

// Total summarises the rows that match, or all rows if match is nil.
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

// ByWorkspace summarises each workspace, sorted by name.
func (r *Results) ByWorkspace() []*Row {
	return r.group(func(row *Row) string { return row.Workspace }, func(total *Row, name string) { total.Workspace = name })
}

// ByKind summarises each kind of request, sorted by name.
func (r *Results) ByKind() []*Row {
	return r.group(func(row *Row) string { return row.Kind }, func(total *Row, name string) { total.Kind = name })
}

func (r *Results) group(nameOf func(*Row) string, setName func(*Row, string)) []*Row {
	var names []string
	for _, row := range r.Rows {
		if !slices.Contains(names, nameOf(row)) {
			names = append(names, nameOf(row))
		}
	}
	slices.SortFunc(names, cmp.Compare[string])
	var groups []*Row
	for _, name := range names {
		total := r.Total(func(row *Row) bool { return nameOf(row) == name })
		setName(total, name)
		groups = append(groups, total)
	}
	return groups
}

// Quantile returns the latency that q percent of the served requests did not
// exceed.
func (r *Row) Quantile(q float64) time.Duration {
	return time.Duration(r.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// ServedShare returns the share of the requests that were served, 0 to 1.
func (r *Row) ServedShare() float64 {
	if r.Sent == 0 {
		return 0
	}
	return float64(r.Outcomes[Served]) / float64(r.Sent)
}

// Between summarises the requests whose planned time is in [from, to).
func (r *Results) Between(from, to time.Duration) *Results {
	part := newResults()
	for _, s := range r.Samples {
		if s.At >= from && s.At < to {
			part.add(s)
		}
	}
	return part
}

// LongestOutage returns the longest time from the first to the last of successive
// requests of a kind to one key that were all refused or failed.
func (r *Results) LongestOutage(kind string) time.Duration {
	type outage struct {
		from   time.Duration
		failed bool
	}
	samples := slices.Clone(r.Samples)
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.At, b.At) })
	outages := map[string]outage{}
	var longest time.Duration
	for _, s := range samples {
		if s.Kind != kind {
			continue
		}
		o := outages[s.Key]
		switch {
		case s.Outcome == Served:
			delete(outages, s.Key)
		case !o.failed:
			outages[s.Key] = outage{from: s.At, failed: true}
		default:
			longest = max(longest, s.At-o.from)
		}
	}
	return longest
}
