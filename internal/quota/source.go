package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Want asks a source for tokens of one workspace.
type Want struct {
	Workspace core.Workspace
	Tokens    int
}

// Supply answers a want. RetryAfter says when asking for the rest makes sense.
type Supply struct {
	Workspace  core.Workspace
	Tokens     int
	RetryAfter time.Duration
}

const (
	prefetchHorizon = 200 * time.Millisecond // demand that a holder keeps in stock
	drawRetry       = 50 * time.Millisecond  // least time between two draws for an empty workspace
	unknownRetry    = time.Second            // before asking again for an unknown workspace
	longestAdvice   = time.Minute            // of a RetryAfter
)

// Source hands out the tokens of one level of the tree: from its own buckets,
// and from a stock drawn from the level above.
//
// A Source belongs to one term of authority (a coordinator's ballot, a leader's
// term) and begins empty. Terms never overlap in time, so the fills of
// successive sources add up to at most the rate.
type Source struct {
	hasParent bool
	accounts  map[core.Workspace]*account
	drawn     map[core.Workspace]*account // drawn from since the last draw from above
}

// account is one workspace's tokens at one level.
type account struct {
	bucket  Bucket
	stock   int       // drawn from above and not used
	limit   int       // of stock
	unmet   int       // wanted and not supplied since the last draw
	demand  meter     // tokens that are asked for
	use     meter     // tokens that are handed out
	retryAt time.Time // no draw before
}

func newAccount(s Share, now time.Time) *account {
	return &account{
		bucket: NewBucket(s.Rate, s.Burst, now), limit: s.Stock,
		demand: meter{halfLife: fastHalfLife}, use: meter{halfLife: slowHalfLife, at: now},
	}
}

// NewSource returns a source without shares. With hasParent it draws what its
// buckets lack from the level above.
func NewSource(hasParent bool) *Source {
	return &Source{
		hasParent: hasParent,
		accounts:  map[core.Workspace]*account{},
		drawn:     map[core.Workspace]*account{},
	}
}

// SetShares replaces the shares. A new share begins with an empty bucket.
func (s *Source) SetShares(shares map[core.Workspace]Share, now time.Time) {
	for w := range s.accounts {
		if _, ok := shares[w]; !ok {
			delete(s.accounts, w)
			delete(s.drawn, w)
		}
	}
	for w, share := range shares {
		a := s.accounts[w]
		if a == nil {
			s.accounts[w] = newAccount(share, now)
			continue
		}
		a.setLimit(share.Stock)
		a.bucket.SetRate(share.Rate, share.Burst, now)
	}
}

// Supply answers wants from below with what is there now; it never waits.
func (s *Source) Supply(wants []Want, now time.Time) []Supply {
	out := make([]Supply, 0, len(wants))
	for _, w := range wants {
		a := s.accounts[w.Workspace]
		if a == nil {
			out = append(out, Supply{Workspace: w.Workspace, RetryAfter: unknownRetry})
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
	a.use.add(got, now)
	a.unmet += missing
	s.drawn[w.Workspace] = a
	supply := Supply{Workspace: w.Workspace, Tokens: got}
	if missing > 0 {
		supply.RetryAfter = min(max(drawRetry, s.wait(a, now)), longestAdvice)
	}
	return supply
}

// wait is the time until a may have a token: from its own bucket, or from the
// level above.
func (s *Source) wait(a *account, now time.Time) time.Duration {
	wait, never := a.bucket.NextToken()
	if s.hasParent && (never || wait > a.retryAt.Sub(now)) {
		return a.retryAt.Sub(now)
	}
	return wait
}

// Wants returns what to draw from the level above now. What is missing counts
// once: whoever is not supplied by this draw asks again.
func (s *Source) Wants(now time.Time) []Want {
	if !s.hasParent {
		return nil
	}
	var wants []Want
	for name, a := range s.drawn {
		if n := a.want(now); n > 0 {
			wants = append(wants, Want{Workspace: name, Tokens: n})
		}
		a.unmet = 0
		if !now.Before(a.retryAt) {
			delete(s.drawn, name)
		}
	}
	slices.SortFunc(wants, func(a, b Want) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return wants
}

// Lacks reports whether Wants would return any.
func (s *Source) Lacks(now time.Time) bool {
	if !s.hasParent {
		return false
	}
	for _, a := range s.drawn {
		if a.want(now) > 0 {
			return true
		}
	}
	return false
}

// Receive adds what a draw brought. Once the askers that wait have been supplied,
// Trim must follow.
func (s *Source) Receive(supplies []Supply, now time.Time) {
	for _, got := range supplies {
		if a := s.accounts[got.Workspace]; a != nil {
			a.receive(got, now)
		}
	}
}

// Trim ends a draw: it drops the tokens above each limit of stock, so that a
// workspace never saves up more than its burst over all levels.
func (s *Source) Trim() {
	for _, a := range s.accounts {
		a.unmet = 0
		a.stock = min(a.stock, a.limit)
	}
}

// DrawFailed notes that the level above could not be asked. Whoever still lacks
// tokens asks again.
func (s *Source) DrawFailed(now time.Time) {
	for _, a := range s.accounts {
		a.unmet = 0
		a.retryAt = now.Add(drawRetry)
	}
}

// take removes up to n tokens: from the bucket first, since a full one
// overflows, then from the stock.
func (a *account) take(n int, now time.Time) int {
	got := a.bucket.Take(n, now)
	fromStock := min(n-got, a.stock)
	a.stock -= fromStock
	return got + fromStock
}

// want is the number of tokens to draw from above: what was missing, and, up to
// the limit, the demand of the horizon beyond the own rate once half of it is
// used up.
func (a *account) want(now time.Time) int {
	if now.Before(a.retryAt) {
		return 0
	}
	beyond := max(0, a.demand.rate(now)-a.bucket.rate)
	target := min(a.limit, int(beyond*prefetchHorizon.Seconds()))
	if a.unmet == 0 && a.stock > target/2 {
		return 0
	}
	return max(0, a.unmet+target-a.stock)
}

func (a *account) receive(got Supply, now time.Time) {
	a.stock += got.Tokens
	a.unmet = 0
	a.retryAt = now.Add(got.RetryAfter)
}

// setLimit changes the limit of the stock; tokens above it are lost.
func (a *account) setLimit(limit int) {
	a.limit = limit
	a.stock = min(a.stock, limit)
}
