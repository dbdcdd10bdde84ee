package quota

import (
	"math"
	"time"
)

const (
	fastHalfLife = 500 * time.Millisecond // for tokens drawn ahead of demand, which must follow demand quickly
	slowHalfLife = 20 * time.Second       // for kept parts of floors, which can rise only after a loan has ended
)

// meter estimates the rate of events from a count that decays exponentially and
// halves in every halfLife.
type meter struct {
	halfLife  time.Duration
	count     float64
	decayedAt time.Time
}

func (m *meter) add(n int, now time.Time) {
	m.decay(now)
	m.count += float64(n)
}

// rate returns the estimate in events per second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.count * math.Ln2 / m.halfLife.Seconds()
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.decayedAt); d > 0 {
		m.count *= math.Exp2(-d.Seconds() / m.halfLife.Seconds())
		m.decayedAt = now
	}
}
