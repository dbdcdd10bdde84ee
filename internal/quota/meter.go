package quota

import (
	"math"
	"time"
)

const (
	fastHalfLife = 500 * time.Millisecond // for stocks, which follow demand at once
	slowHalfLife = 20 * time.Second       // for floors, whose changes cost a loan's term
)

// meter estimates the rate of events by an exponentially decaying count: after
// each half-life an event counts half.
type meter struct {
	halfLife time.Duration
	count    float64
	at       time.Time
}

func (m *meter) add(n int, now time.Time) {
	m.decay(now)
	m.count += float64(n)
}

// rate returns events a second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.count * math.Ln2 / m.halfLife.Seconds()
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.count *= math.Exp2(-d.Seconds() / m.halfLife.Seconds())
		m.at = now
	}
}
