// Package telemetry writes the log of one daemon and keeps its metrics. limit.go
// decides which log lines are suppressed, task_log.go is the task that owns the
// writer of the log, and metrics.go holds the metrics.
package telemetry

import (
	"cmp"
	"slices"
	"time"
)

const (
	linesInPeriod = 10 // lines of one kind that are written in a period
	limitPeriod   = time.Second
	maxKinds      = 1024 // kinds counted separately in a period; all further ones are counted together
)

// kind identifies lines that are rate-limited together.
type kind struct{ level, msg, code string }

// suppressed is the number of lines of a kind that were suppressed in a period.
type suppressed struct {
	kind  kind
	count int
}

// limiter permits the first linesInPeriod lines of each kind in a period.
type limiter struct {
	periodStart time.Time
	seen        map[kind]int
}

func newLimiter() *limiter { return &limiter{seen: map[kind]int{}} }

// allow counts a line of kind k and reports whether it may be written.
func (l *limiter) allow(k kind) bool {
	if _, ok := l.seen[k]; !ok && len(l.seen) >= maxKinds {
		k = kind{}
	}
	l.seen[k]++
	return l.seen[k] <= linesInPeriod
}

// endPeriod starts a new period if the current one has ended, and returns the
// numbers of lines that were suppressed in it.
func (l *limiter) endPeriod(now time.Time) []suppressed {
	if now.Sub(l.periodStart) < limitPeriod {
		return nil
	}
	var counts []suppressed
	for k, n := range l.seen {
		if n > linesInPeriod {
			counts = append(counts, suppressed{k, n - linesInPeriod})
		}
	}
	slices.SortFunc(counts, func(a, b suppressed) int {
		return cmp.Or(cmp.Compare(a.kind.msg, b.kind.msg), cmp.Compare(a.kind.code, b.kind.code), cmp.Compare(a.kind.level, b.kind.level))
	})
	clear(l.seen)
	l.periodStart = now
	return counts
}
