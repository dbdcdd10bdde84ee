package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	maxTokenWait       = 250 * time.Millisecond // longest wait of a request whose workspace exceeds its rate
	maxUnreachableWait = 2 * time.Second        // longest wait of a request while no source answers
	maxWaitingRequests = 1024                   // per workspace and daemon
)

// Ticket identifies a request that waits for a token.
type Ticket uint64

// Verdict is the decision on one request.
type Verdict struct {
	Ticket Ticket
	Err    *result.Error // nil: admitted
}

// Admission holds one daemon's tokens and the requests that wait for one.
type Admission struct {
	accounts map[core.Workspace]*admissionAccount
	active   map[core.Workspace]*admissionAccount // accounts that may need a draw or have waiting requests
	state    *config.State
	division Division
}

type admissionAccount struct {
	account
	waiting       []waiter
	shortageUntil time.Time // requests that began before this were short of tokens according to a source
}

type waiter struct {
	ticket Ticket
	since  time.Time
}

// NewAdmission returns an Admission without tokens or workspaces.
func NewAdmission(d Division) *Admission {
	return &Admission{
		accounts: map[core.Workspace]*admissionAccount{},
		active:   map[core.Workspace]*admissionAccount{},
		state:    config.NewState(),
		division: d,
	}
}

// SetState applies the current configuration: the workspaces and how many tokens
// this daemon may draw ahead of demand for each.
func (a *Admission) SetState(s *config.State) {
	a.state = s
	for w, acc := range a.accounts {
		if _, ok := s.Workspaces[w]; !ok && len(acc.waiting) == 0 {
			delete(a.accounts, w)
			delete(a.active, w)
			continue
		}
		acc.setPrefetchLimit(a.division.DaemonPrefetchLimit(s, w))
	}
}

// Admit takes a token for a request. If there is none, the request waits, done
// is false, and a later call of Receive or Expire returns its verdict.
func (a *Admission) Admit(t Ticket, w core.Workspace, now time.Time) (v Verdict, done bool) {
	if _, ok := a.state.Workspaces[w]; !ok {
		return Verdict{t, result.New(result.RateExceeded, "workspace %s has no configured rate", w)}, true
	}
	acc := a.accounts[w]
	if acc == nil {
		acc = &admissionAccount{account: *newAccount(Share{PrefetchLimit: a.division.DaemonPrefetchLimit(a.state, w)}, now)}
		a.accounts[w] = acc
	}
	acc.demand.add(1, now)
	a.active[w] = acc
	if len(acc.waiting) == 0 && acc.take(1, now) == 1 {
		return Verdict{Ticket: t}, true
	}
	if len(acc.waiting) >= maxWaitingRequests {
		return Verdict{t, acc.refusal(w, acc.waiting[0].since, now)}, true
	}
	acc.waiting = append(acc.waiting, waiter{t, now})
	return Verdict{}, false
}

// Wants returns the tokens to draw from the cell's source now.
func (a *Admission) Wants(now time.Time) []Want {
	var wants []Want
	for name, acc := range a.active {
		acc.unmet = len(acc.waiting)
		if n := acc.tokensToDraw(now); n > 0 {
			wants = append(wants, Want{Workspace: name, Tokens: n})
		}
		if acc.unmet == 0 && !now.Before(acc.retryAt) {
			delete(a.active, name)
		}
	}
	slices.SortFunc(wants, func(a, b Want) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return wants
}

// Receive adds the tokens of a draw and admits requests that waited for them.
func (a *Admission) Receive(supplies []Supply, now time.Time) []Verdict {
	var verdicts []Verdict
	for _, got := range supplies {
		acc := a.accounts[got.Workspace]
		if acc == nil {
			continue
		}
		acc.receive(got, now)
		if got.RetryAfter > 0 {
			acc.shortageUntil = now.Add(got.RetryAfter)
		}
		verdicts = acc.admitWaiting(verdicts, now)
		acc.setPrefetchLimit(acc.prefetchLimit)
	}
	return verdicts
}

// DrawFailed delays the next draw after the cell's source did not answer.
func (a *Admission) DrawFailed(now time.Time) {
	for _, acc := range a.accounts {
		acc.retryAt = now.Add(minDrawInterval)
	}
}

// Expire refuses the requests that have waited too long.
func (a *Admission) Expire(now time.Time) []Verdict {
	var verdicts []Verdict
	for name, acc := range a.active {
		n := 0
		for n < len(acc.waiting) && acc.waitedTooLong(acc.waiting[n], now) {
			verdicts = append(verdicts, Verdict{acc.waiting[n].ticket, acc.refusal(name, acc.waiting[n].since, now)})
			n++
		}
		acc.waiting = acc.waiting[n:]
	}
	return verdicts
}

// Waiting reports whether any request is waiting.
func (a *Admission) Waiting() bool {
	for _, acc := range a.active {
		if len(acc.waiting) > 0 {
			return true
		}
	}
	return false
}

func (a *admissionAccount) admitWaiting(verdicts []Verdict, now time.Time) []Verdict {
	n := a.take(len(a.waiting), now)
	for _, w := range a.waiting[:n] {
		verdicts = append(verdicts, Verdict{Ticket: w.ticket})
	}
	a.waiting = a.waiting[n:]
	return verdicts
}

// waitedTooLong reports whether w must be refused. The shorter limit applies
// only if a source has reported a shortage that lasted until after w began to
// wait, since only that shows that the workspace exceeds its rate.
func (a *admissionAccount) waitedTooLong(w waiter, now time.Time) bool {
	waited := now.Sub(w.since)
	return waited >= maxUnreachableWait || waited >= maxTokenWait && a.shortageUntil.After(w.since)
}

// refusal returns the error for a request that has waited from since to now.
func (a *admissionAccount) refusal(w core.Workspace, since, now time.Time) *result.Error {
	if !a.shortageUntil.After(since) {
		return result.New(result.CellUnreachable, "token source of workspace %s did not answer", w)
	}
	e := result.New(result.RateExceeded, "workspace %s exceeds its rate", w)
	e.RetryAfter = max(minDrawInterval, a.retryAt.Sub(now))
	return e
}
