package quota

import "time"

// Bucket is a token bucket. Its zero value is empty and never fills.
//
// Invariant: over any interval t, at most rate*t + burst tokens are taken, since
// the bucket fills only with elapsed time and never above burst.
type Bucket struct {
	rate     float64 // tokens per second
	burst    float64 // capacity in tokens
	tokens   float64
	filledAt time.Time // time of the last refill
}

// NewBucket returns an empty bucket that starts to fill at now.
func NewBucket(rate, burst float64, now time.Time) Bucket {
	return Bucket{rate: rate, burst: burst, filledAt: now}
}

// SetRate changes the rate and burst from now on. Tokens above the new burst are
// discarded.
func (b *Bucket) SetRate(rate, burst float64, now time.Time) {
	b.fill(now)
	b.rate, b.burst = rate, burst
	b.tokens = min(b.tokens, burst)
}

// Take removes up to n tokens and returns the number removed.
func (b *Bucket) Take(n int, now time.Time) int {
	b.fill(now)
	got := min(n, int(b.tokens))
	b.tokens -= float64(got)
	return got
}

// NextToken returns the time until the bucket holds a whole token; never is true
// if it will not. The bucket must have been filled up to the current time.
func (b *Bucket) NextToken() (wait time.Duration, never bool) {
	if b.tokens >= 1 {
		return 0, false
	}
	if b.rate <= 0 || b.burst < 1 {
		return 0, true
	}
	seconds := min((1-b.tokens)/b.rate, maxNextToken.Seconds())
	return time.Duration(seconds * float64(time.Second)), false
}

// maxNextToken bounds the result of NextToken. Rates that are the difference of
// two sums can be so small that the wait would overflow a time.Duration.
const maxNextToken = time.Hour

func (b *Bucket) fill(now time.Time) {
	if d := now.Sub(b.filledAt); d > 0 {
		b.tokens = min(b.burst, b.tokens+d.Seconds()*b.rate)
		b.filledAt = now
	}
}
