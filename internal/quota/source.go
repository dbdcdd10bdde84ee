package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Want is a request for tokens of one workspace.
type Want struct {
	Workspace core.Workspace
	Tokens    int
}

// Supply is the answer to a Want. If it holds fewer tokens than were wanted,
// RetryAfter is the time until more may be available.
type Supply struct {
	Workspace  core.Workspace
	Tokens     int
	RetryAfter time.Duration
}

const (
	prefetchHorizon       = 200 * time.Millisecond // how much demand is covered by tokens drawn ahead
	minDrawInterval       = 50 * time.Millisecond  // between two draws for a workspace without tokens
	unknownWorkspaceRetry = time.Second            // RetryAfter for an unknown workspace
	maxRetryAfter         = time.Minute            // upper limit of RetryAfter
)

// Source hands out the tokens of one level of the tree: from its own buckets,
// and from tokens drawn from the level above.
//
// A Source belongs to one term of a coordinator or leader and starts empty.
// Terms never overlap in time, so that the buckets of successive sources
// together fill at most at the configured rate.
type Source struct {
	hasParent bool
	accounts  map[core.Workspace]*account
	active    map[core.Workspace]*account // accounts that may have to draw from the level above
}

// account holds one workspace's tokens at one level.
type account struct {
	bucket        Bucket
	prefetched    int       // tokens drawn from the level above and not used
	prefetchLimit int       // maximum of prefetched
	unmet         int       // tokens wanted and not supplied since the last draw
	demand        meter     // tokens requested
	usage         meter     // tokens handed out
	retryAt       time.Time // no draw before this time
}

func newAccount(s Share, now time.Time) *account {
	return &account{
		bucket: NewBucket(s.Rate, s.Burst, now), prefetchLimit: s.PrefetchLimit,
		demand: meter{halfLife: fastHalfLife}, usage: meter{halfLife: slowHalfLife, decayedAt: now},
	}
}

// NewSource returns a source without shares. If hasParent is set, it draws the
// tokens that its buckets lack from the level above.
func NewSource(hasParent bool) *Source {
	return &Source{
		hasParent: hasParent,
		accounts:  map[core.Workspace]*account{},
		active:    map[core.Workspace]*account{},
	}
}

// SetShares replaces the shares. The bucket of a new workspace starts empty.
func (s *Source) SetShares(shares map[core.Workspace]Share, now time.Time) {
	for w := range s.accounts {
		if _, ok := shares[w]; !ok {
			delete(s.accounts, w)
			delete(s.active, w)
		}
	}
	for w, share := range shares {
		a := s.accounts[w]
		if a == nil {
			s.accounts[w] = newAccount(share, now)
			continue
		}
		a.setPrefetchLimit(share.PrefetchLimit)
		a.bucket.SetRate(share.Rate, share.Burst, now)
	}
}

// Supply answers the wants of the level below from the tokens available now.
func (s *Source) Supply(wants []Want, now time.Time) []Supply {
	out := make([]Supply, 0, len(wants))
	for _, w := range wants {
		a := s.accounts[w.Workspace]
		if a == nil {
			out = append(out, Supply{Workspace: w.Workspace, RetryAfter: unknownWorkspaceRetry})
			continue
		}
		out = append(out, s.supply(a, w, now))
	}
	return out
}

func (s *Source) supply(a *account, w Want, now time.Time) Supply {
	got := a.take(w.Tokens, now)
	missing := w.Tokens - got
	a.demand.add(w.Tokens, now)
	a.usage.add(got, now)
	a.unmet += missing
	s.active[w.Workspace] = a
	supply := Supply{Workspace: w.Workspace, Tokens: got}
	if missing > 0 {
		supply.RetryAfter = min(max(minDrawInterval, s.nextTokenWait(a, now)), maxRetryAfter)
	}
	return supply
}

// nextTokenWait returns the time until a may have a token, from its own bucket
// or from the level above.
func (s *Source) nextTokenWait(a *account, now time.Time) time.Duration {
	wait, never := a.bucket.NextToken()
	if s.hasParent && (never || wait > a.retryAt.Sub(now)) {
		return a.retryAt.Sub(now)
	}
	return wait
}

// Wants returns the tokens to draw from the level above now. It resets the unmet
// wants: a source of the level below, or a waiting request, that this draw does
// not supply asks again.
func (s *Source) Wants(now time.Time) []Want {
	if !s.hasParent {
		return nil
	}
	var wants []Want
	for name, a := range s.active {
		if n := a.tokensToDraw(now); n > 0 {
			wants = append(wants, Want{Workspace: name, Tokens: n})
		}
		a.unmet = 0
		if !now.Before(a.retryAt) {
			delete(s.active, name)
		}
	}
	slices.SortFunc(wants, func(a, b Want) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return wants
}

// HasWants reports whether Wants would return any wants.
func (s *Source) HasWants(now time.Time) bool {
	if !s.hasParent {
		return false
	}
	for _, a := range s.active {
		if a.tokensToDraw(now) > 0 {
			return true
		}
	}
	return false
}

// Receive adds the tokens of a draw. The caller then supplies the waiting draws
// of the level below and calls Trim.
func (s *Source) Receive(supplies []Supply, now time.Time) {
	for _, got := range supplies {
		if a := s.accounts[got.Workspace]; a != nil {
			a.receive(got, now)
		}
	}
}

// Trim completes a draw. It discards the tokens above each account's limit, so
// that all levels together never hold more than a workspace's burst.
func (s *Source) Trim() {
	for _, a := range s.accounts {
		a.unmet = 0
		a.prefetched = min(a.prefetched, a.prefetchLimit)
	}
}

// DrawFailed delays the next draw after the level above did not answer. It
// resets the unmet wants: the sources of the level below, or the waiting requests,
// that still lack tokens ask again.
func (s *Source) DrawFailed(now time.Time) {
	for _, a := range s.accounts {
		a.unmet = 0
		a.retryAt = now.Add(minDrawInterval)
	}
}

// take removes up to n tokens: first from the bucket, which would otherwise
// overflow, then from the tokens drawn ahead.
func (a *account) take(n int, now time.Time) int {
	got := a.bucket.Take(n, now)
	fromPrefetched := min(n-got, a.prefetched)
	a.prefetched -= fromPrefetched
	return got + fromPrefetched
}

// tokensToDraw returns the number of tokens to draw from the level above: the
// unmet wants, plus tokens ahead of demand. The latter are the demand above the
// account's own rate over prefetchHorizon, up to the limit, and are drawn again
// when at most half of them are left.
func (a *account) tokensToDraw(now time.Time) int {
	if now.Before(a.retryAt) {
		return 0
	}
	excessRate := max(0, a.demand.rate(now)-a.bucket.rate)
	prefetchTarget := min(a.prefetchLimit, int(excessRate*prefetchHorizon.Seconds()))
	if a.unmet == 0 && a.prefetched > prefetchTarget/2 {
		return 0
	}
	return max(0, a.unmet+prefetchTarget-a.prefetched)
}

func (a *account) receive(got Supply, now time.Time) {
	a.prefetched += got.Tokens
	a.unmet = 0
	a.retryAt = now.Add(got.RetryAfter)
}

// setPrefetchLimit changes the limit of the tokens drawn ahead and discards
// those above it.
func (a *account) setPrefetchLimit(prefetchLimit int) {
	a.prefetchLimit = prefetchLimit
	a.prefetched = min(a.prefetched, prefetchLimit)
}
