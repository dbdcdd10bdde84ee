// Package telemetry makes the logs and the metrics of one daemon. Decisions:
// limit.go, which lines repeat too often. Task: task_log.go, which owns the
// writer of the log. Metrics: metrics.go, on a registry of its own.
package telemetry

import (
	"cmp"
	"slices"
	"time"
)

const (
	linesInPeriod = 10 // lines of one kind that are written in a period
	limitPeriod   = time.Second
	maxKinds      = 1024 // kinds told apart in a period; later ones share one
)

// kind is what makes lines alike.
type kind struct{ level, msg, code string }

// repeated says how many lines of a kind were left out in a period.
type repeated struct {
	kind  kind
	count int
}

// limiter lets the first lines of each kind in a period through.
type limiter struct {
	began time.Time
	seen  map[kind]int
}

func newLimiter() *limiter { return &limiter{seen: map[kind]int{}} }

// allow reports whether a line of kind k is written.
func (l *limiter) allow(k kind) bool {
	if _, ok := l.seen[k]; !ok && len(l.seen) >= maxKinds {
		k = kind{}
	}
	l.seen[k]++
	return l.seen[k] <= linesInPeriod
}

// turn begins a new period once the last one has ended, and returns what was
// left out in it.
func (l *limiter) turn(now time.Time) []repeated {
	if now.Sub(l.began) < limitPeriod {
		return nil
	}
	var left []repeated
	for k, n := range l.seen {
		if n > linesInPeriod {
			left = append(left, repeated{k, n - linesInPeriod})
		}
	}
	slices.SortFunc(left, func(a, b repeated) int {
		return cmp.Or(cmp.Compare(a.kind.msg, b.kind.msg), cmp.Compare(a.kind.code, b.kind.code), cmp.Compare(a.kind.level, b.kind.level))
	})
	clear(l.seen)
	l.began = now
	return left
}
