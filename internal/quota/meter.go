package quota

import (
	"math"
	"time"
)

// meterHalfLife is the time after which an event counts half.
const meterHalfLife = 500 * time.Millisecond

// meter estimates the rate of events by an exponentially decaying count.
type meter struct {
	count float64
	at    time.Time
}

func (m *meter) add(n int, now time.Time) {
	m.decay(now)
	m.count += float64(n)
}

// rate returns events a second.
func (m *meter) rate(now time.Time) float64 {
	m.decay(now)
	return m.count * math.Ln2 / meterHalfLife.Seconds()
}

func (m *meter) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		m.count *= math.Exp2(-d.Seconds() / meterHalfLife.Seconds())
		m.at = now
	}
}
