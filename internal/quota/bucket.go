// Package quota keeps each workspace within its rate and burst, counted over
// all VMs together. Decisions: bucket.go. Task: task.go, which owns the buckets.
package quota

import "time"

// Bucket is a token bucket. Its zero value is empty and never fills.
type Bucket struct {
	rate   float64 // tokens a second
	burst  float64 // most tokens it holds
	tokens float64
	at     time.Time // when tokens was right
}

// SetRate changes the rate and burst from now on. Tokens above the new burst
// are lost; none are gained.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// Take removes one token. Without one it returns how long one takes to come.
func (b *Bucket) Take(now time.Time) (wait time.Duration, ok bool) {
	b.fill(now)
	if b.tokens >= 1 {
		b.tokens--
		return 0, true
	}
	if b.rate <= 0 {
		return time.Minute, false
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
}

func (b *Bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.burst, b.tokens+d.Seconds()*b.rate)
		b.at = now
	}
}
