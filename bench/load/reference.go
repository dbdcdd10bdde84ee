package load

import "time"

// allowed returns how many of the arrivals a single token bucket with this rate
// and burst admits. The arrivals are times from the start of the run, in order.
func allowed(rate, burst float64, arrivals []time.Duration) int {
	tokens, last, count := burst, time.Duration(0), 0
	for _, at := range arrivals {
		tokens = min(burst, tokens+(at-last).Seconds()*rate)
		last = at
		if tokens >= 1 {
			tokens--
			count++
		}
	}
	return count
}
