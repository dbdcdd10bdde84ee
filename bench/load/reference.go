package load

import "time"

// allowed returns how many of the arrivals a token bucket with this rate and
// burst admits, when it counts every arrival in one place at its intended time.
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
