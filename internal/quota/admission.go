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
	tokenWait       = 250 * time.Millisecond // longest wait of a request while its workspace is over its rate
	unreachableWait = 2 * time.Second        // longest wait while the source does not answer
	maxWaiting      = 1024                   // requests of one workspace that wait at one daemon
)

// Ticket identifies a request that waits for a token.
type Ticket uint64

// Verdict ends the wait of one request.
type Verdict struct {
	Ticket Ticket
	Err    *result.Error // nil: admitted
}

// Admission is one daemon's stock of tokens and the requests that wait for one.
type Admission struct {
	accounts map[core.Workspace]*admissionAccount
	active   map[core.Workspace]*admissionAccount // may want a draw, or have requests that wait
	state    *config.State
	division Division
}

type admissionAccount struct {
	account
	waiting    []waiter
	shownUntil time.Time // an answer lacked tokens for requests that began before
}

type waiter struct {
	ticket Ticket
	since  time.Time
}

// NewAdmission returns an admission without tokens or workspaces.
func NewAdmission(d Division) *Admission {
	return &Admission{
		accounts: map[core.Workspace]*admissionAccount{},
		active:   map[core.Workspace]*admissionAccount{},
		state:    config.NewState(),
		division: d,
	}
}

// SetState tells the workspaces in force and the limits of their stocks.
func (a *Admission) SetState(s *config.State) {
	a.state = s
	for w, acc := range a.accounts {
		if _, ok := s.Workspaces[w]; !ok && len(acc.waiting) == 0 {
			delete(a.accounts, w)
			delete(a.active, w)
			continue
		}
		acc.setLimit(a.division.DaemonStock(s, w))
	}
}

// Admit takes a token for a request, or lets it wait. done is false while it
// waits.
func (a *Admission) Admit(t Ticket, w core.Workspace, now time.Time) (v Verdict, done bool) {
	if _, ok := a.state.Workspaces[w]; !ok {
		return Verdict{t, result.New(result.RateExceeded, "workspace %s has no rate", w)}, true
	}
	acc := a.accounts[w]
	if acc == nil {
		acc = &admissionAccount{account: *newAccount(Share{Stock: a.division.DaemonStock(a.state, w)}, now)}
		a.accounts[w] = acc
	}
	acc.demand.add(1, now)
	a.active[w] = acc
	if len(acc.waiting) == 0 && acc.take(1, now) == 1 {
		return Verdict{Ticket: t}, true
	}
	if len(acc.waiting) >= maxWaiting {
		return Verdict{t, acc.refusal(w, acc.waiting[0].since, now)}, true
	}
	acc.waiting = append(acc.waiting, waiter{t, now})
	return Verdict{}, false
}

// Wants returns what to draw from the cell's source now.
func (a *Admission) Wants(now time.Time) []Want {
	var wants []Want
	for name, acc := range a.active {
		acc.unmet = len(acc.waiting)
		if n := acc.want(now); n > 0 {
			wants = append(wants, Want{Workspace: name, Tokens: n})
		}
		if acc.unmet == 0 && !now.Before(acc.retryAt) {
			delete(a.active, name)
		}
	}
	slices.SortFunc(wants, func(a, b Want) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return wants
}

// Receive adds what a draw brought and admits requests that waited for it.
func (a *Admission) Receive(supplies []Supply, now time.Time) []Verdict {
	var verdicts []Verdict
	for _, got := range supplies {
		acc := a.accounts[got.Workspace]
		if acc == nil {
			continue
		}
		acc.receive(got, now)
		if got.RetryAfter > 0 {
			acc.shownUntil = now.Add(got.RetryAfter)
		}
		verdicts = acc.admitWaiting(verdicts, now)
		acc.setLimit(acc.limit)
	}
	return verdicts
}

// DrawFailed notes that the cell's source could not be asked.
func (a *Admission) DrawFailed(now time.Time) {
	for _, acc := range a.accounts {
		acc.retryAt = now.Add(drawRetry)
	}
}

// Expire refuses the requests that waited too long.
func (a *Admission) Expire(now time.Time) []Verdict {
	var verdicts []Verdict
	for name, acc := range a.active {
		n := 0
		for n < len(acc.waiting) && acc.expired(acc.waiting[n], now) {
			verdicts = append(verdicts, Verdict{acc.waiting[n].ticket, acc.refusal(name, acc.waiting[n].since, now)})
			n++
		}
		acc.waiting = acc.waiting[n:]
	}
	return verdicts
}

// Waiting reports whether any request waits.
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

// expired reports whether w has waited long enough. Only an answer that lacked
// tokens after w began to wait, or whose advice was to ask later than that, shows
// that the workspace is over its rate.
func (a *admissionAccount) expired(w waiter, now time.Time) bool {
	waited := now.Sub(w.since)
	return waited >= unreachableWait || waited >= tokenWait && a.shownUntil.After(w.since)
}

// refusal is the error for a request that came at since.
func (a *admissionAccount) refusal(w core.Workspace, since, now time.Time) *result.Error {
	if !a.shownUntil.After(since) {
		return result.New(result.CellUnreachable, "no source of tokens for workspace %s answered", w)
	}
	e := result.New(result.RateExceeded, "workspace %s is over its rate", w)
	e.RetryAfter = max(drawRetry, a.retryAt.Sub(now))
	return e
}
