package quota

import "time"

// Bucket is a token bucket. Its zero value is empty and never fills.
//
// Invariant: over any interval t, the tokens that leave it are at most
// rate*t + burst, whatever the calls' order, since it fills by elapsed time
// only and never above burst.
type Bucket struct {
	rate   float64 // tokens a second
	burst  float64 // most tokens it holds
	tokens float64
	at     time.Time // up to when it was filled
}

// NewBucket returns an empty bucket that fills from now on.
func NewBucket(rate, burst float64, now time.Time) Bucket {
	return Bucket{rate: rate, burst: burst, at: now}
}

// SetRate changes the rate and burst from now on. Tokens above the new burst
// are lost; none are gained.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// Take removes up to n tokens and returns how many.
func (b *Bucket) Take(n int, now time.Time) int {
	b.fill(now)
	got := min(n, int(b.tokens))
	b.tokens -= float64(got)
	return got
}

// NextToken is the time until the bucket holds a whole token; never is true
// when it does not fill.
func (b *Bucket) NextToken() (wait time.Duration, never bool) {
	if b.tokens >= 1 {
		return 0, false
	}
	if b.rate <= 0 || b.burst < 1 {
		return 0, true
	}
	return time.Duration((1 - b.tokens) / b.rate * float64(time.Second)), false
}

func (b *Bucket) fill(now time.Time) {
	if d := now.Sub(b.at); d > 0 {
		b.tokens = min(b.burst, b.tokens+d.Seconds()*b.rate)
		b.at = now
	}
}
