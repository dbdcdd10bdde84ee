package fleet

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
)

const (
	// largestDividedFraction is the fraction of a rate and of its burst reserve that
	// is divided into shares where shares hold enough tokens. Entry VMs draw from the
	// rest.
	largestDividedFraction = 0.8
	// minTokensPerShare is the mean number of tokens of the burst reserve for each
	// entry VM below which a rate isn't divided at all: most shares would hold no
	// whole token.
	minTokensPerShare = 1.5
	// backupFraction is the part of the undivided rate that is counted by the backup
	// of a workspace's counter.
	backupFraction = 0.15
	// counterHeadStart is the time for which a new counter's bucket has filled, so that
	// the first requests find tokens, and headStartTokens the number that it holds at
	// least.
	counterHeadStart = 500 * time.Millisecond
	headStartTokens  = 2
)

// headStart returns the time for which a new bucket with a rate has filled.
func headStart(rate float64) time.Duration {
	seconds := min(headStartTokens/rate, maxHeadStart.Seconds())
	return max(time.Duration(seconds*float64(time.Second)), counterHeadStart)
}

// maxHeadStart bounds the head start of tiny rates.
const maxHeadStart = time.Minute

// DividedFraction returns the fraction of a workspace's rate and burst reserve that
// the leader divides into shares. Counters supply the rest on demand. It depends only
// on the configuration, so that the leader and all counters agree on it. Load
// pattern: small workspaces whose callers use hundreds of entry VMs, each of which
// gets one request in ten seconds.
func DividedFraction(t config.Tenancy, q Quota, s *config.State) float64 {
	if q.burstReserve(t) < minTokensPerShare*float64(s.EntryVMs) || s.EntryVMs == 0 {
		return 0
	}
	return largestDividedFraction
}

// burstReserve returns the number of requests of a workspace that all entry VMs
// together may admit at once. It is as high as the limit on any window permits: an
// entry VM receives a small part of the requests, so its demand varies much more
// than the total.
func (q Quota) burstReserve(t config.Tenancy) float64 {
	inWindow := t.Rate*q.Window.Seconds() + t.Burst
	return max(reserveFraction*(inWindow*(1+q.Overage)+q.Slack-t.Rate*q.Window.Seconds()), t.Burst/2)
}

// reserveFraction is the part of the limit that is used. The rest allows for
// requests that take different times to arrive.
const reserveFraction = 0.85

// Counter supplies, on a control VM, tokens of the workspaces that it counts. Each
// workspace is counted by one control VM, and a small part of its rate by another, so
// that the loss of a control VM, also of the leader, touches few workspaces, and no VM
// answers for all requests. It is not safe for concurrent use.
//
// Invariant: in any interval t, at most its part of rate*t + reserve tokens are
// supplied.
type Counter struct {
	quota   Quota
	buckets map[countedPart]*countedBucket
}

// countedPart is a part of a workspace's rate.
type countedPart struct {
	workspace core.Workspace
	backup    bool
}

// countedBucket holds the tokens of one part.
type countedBucket struct {
	quota.Bucket
	drawnAt time.Time
}

// NewCounter returns a counter that has supplied nothing yet.
func NewCounter(q Quota) *Counter {
	return &Counter{quota: q, buckets: map[countedPart]*countedBucket{}}
}

// Supply returns tokens for wants. If backup is true they are taken from the part of
// the rate for which this VM is the backup.
func (c *Counter) Supply(wants []quota.Want, backup bool, s *config.State, now time.Time) []quota.Supply {
	supplies := make([]quota.Supply, 0, len(wants))
	for _, w := range wants {
		supplies = append(supplies, c.supply(w, backup, s, now))
	}
	return supplies
}

func (c *Counter) supply(w quota.Want, backup bool, s *config.State, now time.Time) quota.Supply {
	supply := quota.Supply{Workspace: w.Workspace, RetryAfter: minDrawRetry}
	t, ok := s.Catalog.Tenants[w.Workspace]
	if !ok || t.Dropped || t.Rate <= 0 {
		return supply
	}
	part := 1 - DividedFraction(t, c.quota, s)
	if backup {
		part *= backupFraction
	} else {
		part *= 1 - backupFraction
	}
	rate, burst := part*t.Rate, part*c.quota.burstReserve(t)
	b := c.buckets[countedPart{w.Workspace, backup}]
	if b == nil || now.Sub(b.drawnAt) >= c.quota.Window {
		// Another VM may have counted the workspace until now.
		b = &countedBucket{Bucket: quota.NewBucket(rate, burst, now.Add(-headStart(rate)))}
		c.buckets[countedPart{w.Workspace, backup}] = b
	}
	b.drawnAt = now
	b.SetRate(rate, burst, now)
	supply.Tokens = b.Take(w.Tokens, now)
	if wait, never := b.NextToken(); !never {
		supply.RetryAfter = min(max(wait, minDrawRetry), maxDrawRetry)
	}
	return supply
}

// minDrawRetry is the minimum time before an entry VM whose draw wasn't fully
// satisfied draws again. Without it, callers above the rate would cause a draw for
// each of their requests.
const minDrawRetry = 250 * time.Millisecond

// maxDrawRetry bounds that time.
const maxDrawRetry = time.Second
