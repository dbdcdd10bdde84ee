// Package outlier finds the targets of a group that answer far more slowly, or
// fail far more often, than the others, and ejects them for a while. Fewer than
// half of the group are ejected at a time. The package has no I/O and no
// goroutines.
package outlier

import (
	"slices"
	"time"
)

const (
	medianStep    = 0.1  // fraction by which one sample moves the estimated median
	failureWeight = 0.15 // weight of the newest outcome in the failure rate
	slowFactor    = 3    // multiple of the group's median above which a target is slow
	slowFloor     = 2 * time.Millisecond
	failureLimit  = 0.5 // failure rate above which a target is ejected
	minSamples    = 16
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
)

// Stats are the latency and failure statistics of one target. The zero value has
// no samples.
type Stats struct {
	median         float64 // estimated median latency in nanoseconds
	failures       float64 // moving average of failed requests, 0 to 1
	samples        int
	ejectionsInRow int // ejections in a row, at most 8
	ejectedUntil   time.Time
}

// Served counts an answer. The estimated median follows a tenfold change within
// about 25 samples, and a few outliers hardly move it.
func (s *Stats) Served(latency time.Duration) {
	s.samples++
	s.failures -= failureWeight * s.failures
	sample := float64(latency)
	switch {
	case s.median == 0:
		s.median = max(sample, 1)
	case sample > s.median:
		s.median = min(s.median*(1+medianStep), sample)
	case sample < s.median:
		s.median = max(s.median*(1-medianStep), sample, 1)
	}
}

// Failed counts a request without a complete answer.
func (s *Stats) Failed() {
	s.samples++
	s.failures += failureWeight * (1 - s.failures)
}

// Median returns the estimated median time to the first byte of an answer, 0 if
// unknown.
func (s *Stats) Median() time.Duration { return time.Duration(s.median) }

// Ejected reports whether the target is ejected at the time now.
func (s *Stats) Ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// EjectedUntil returns the end of the newest ejection.
func (s *Stats) EjectedUntil() time.Time { return s.ejectedUntil }

// Group evaluates the targets of one service. It reuses its buffer between calls.
type Group struct{ medians []float64 }

// Evaluate ejects outliers, the worst first, and appends the index of each newly
// ejected target to ejected. Fewer than half of the targets are ejected at the
// same time.
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
		excess := max(s.median/limit, s.failures/failureLimit)
		if excess > 1 && excess > score {
			index, score = i, excess
		}
	}
	return index
}

// eject ejects the target, each time in a row for twice as long, and clears its
// statistics, so that it is evaluated from new samples when it returns.
func (s *Stats) eject(now time.Time) {
	if now.Sub(s.ejectedUntil) > maxEjection {
		s.ejectionsInRow = 0
	}
	d := min(firstEjection<<s.ejectionsInRow, maxEjection)
	s.ejectionsInRow = min(s.ejectionsInRow+1, 8)
	s.ejectedUntil = now.Add(d)
	s.median, s.failures, s.samples = 0, 0, 0
}
