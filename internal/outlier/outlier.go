// Package outlier finds the targets of a group that answer far more slowly, or
// fail far more often, than the rest, and sets them aside for a while. It never
// sets aside half of the group or more. It is a decisions layer only.
package outlier

import (
	"slices"
	"time"
)

const (
	medianStep    = 0.1  // share by which one sample moves the median
	failureWeight = 0.15 // of the newest outcome in the failure rate
	slowFactor    = 3    // times the group's median
	slowFloor     = 2 * time.Millisecond
	failureLimit  = 0.5 // of all requests
	minSamples    = 16
	firstEjection = time.Second
	longest       = 30 * time.Second
)

// Stats is what was seen of one target. Its zero value knows nothing.
type Stats struct {
	median   float64 // nanoseconds
	failures float64 // 0 to 1
	samples  int
	times    int // ejections without a healthy time between
	until    time.Time
}

// Served counts an answer. The median follows a change of ten times within
// about 25 samples and is not moved by a few odd ones.
func (s *Stats) Served(latency time.Duration) {
	s.samples++
	s.failures -= failureWeight * s.failures
	v := float64(latency)
	switch {
	case s.median == 0:
		s.median = max(v, 1)
	case v > s.median:
		s.median = min(s.median*(1+medianStep), v)
	case v < s.median:
		s.median = max(s.median*(1-medianStep), v, 1)
	}
}

// Failed counts a request without a whole answer.
func (s *Stats) Failed() {
	s.samples++
	s.failures += failureWeight * (1 - s.failures)
}

// Median is the usual time to the first byte of an answer; 0 when not known.
func (s *Stats) Median() time.Duration { return time.Duration(s.median) }

// Ejected reports whether the target is set aside at now.
func (s *Stats) Ejected(now time.Time) bool { return now.Before(s.until) }

// Until is when the newest ejection ends.
func (s *Stats) Until() time.Time { return s.until }

// Group evaluates the targets of one service. It keeps its working memory.
type Group struct{ medians []float64 }

// Evaluate sets outliers aside, the worst first, and returns the index of each
// target that it newly ejected. Fewer than half of the targets are ever set
// aside at the same time.
func (g *Group) Evaluate(targets []*Stats, now time.Time, ejected []int) []int {
	allowed := (len(targets) - 1) / 2
	g.medians = g.medians[:0]
	for _, s := range targets {
		if s.Ejected(now) {
			allowed--
		} else if s.samples >= minSamples {
			g.medians = append(g.medians, s.median)
		}
	}
	if len(g.medians) == 0 {
		return ejected
	}
	slices.Sort(g.medians)
	usual := g.medians[(len(g.medians)-1)/2]
	for ; allowed > 0; allowed-- {
		i := worst(targets, usual, now)
		if i < 0 {
			return ejected
		}
		targets[i].eject(now)
		ejected = append(ejected, i)
	}
	return ejected
}

// worst returns the outlier that is farthest from the group, or -1.
func worst(targets []*Stats, usual float64, now time.Time) int {
	index, score := -1, 0.0
	limit := slowFactor*usual + float64(slowFloor)
	for i, s := range targets {
		if s.Ejected(now) || s.samples < minSamples {
			continue
		}
		how := max(s.median/limit, s.failures/failureLimit)
		if how > 1 && how > score {
			index, score = i, how
		}
	}
	return index
}

// eject sets the target aside, each time twice as long, and forgets what was
// seen, so that it is judged anew when it returns.
func (s *Stats) eject(now time.Time) {
	if now.Sub(s.until) > longest {
		s.times = 0
	}
	d := min(firstEjection<<s.times, longest)
	s.times = min(s.times+1, 8)
	s.until = now.Add(d)
	s.median, s.failures, s.samples = 0, 0, 0
}
