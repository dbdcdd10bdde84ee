package fuzz

import (
	"fmt"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/faketarget"
	"github.com/comfreynotch/comfreynotch/bench/load"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Call is one request of a caller and its outcome.
type Call struct {
	ID         string // unique
	Body       string // the same for a retry
	Workspace  string
	Secret     string
	VM         string
	Service    string
	Key        string
	Post       bool
	Idempotent string // idempotency key, the same for a retry; empty: none
	Sent       time.Time
	Ended      time.Time
	Outcome    load.Outcome
	Code       string // result code
	Answer     faketarget.Answer
	Padding    int // bytes of padding requested in the answer
}

// Window is the time during which a state was in force. It begins when the
// change was acknowledged and ends when the reverse change was requested.
type Window struct {
	Name     string
	From, To time.Time
}

// Accepted is an acknowledged configuration change.
type Accepted struct {
	Workspace string // created by the change
	Version   uint64
	At        time.Time
}

// ObservedConfiguration is a VM's configuration at one moment.
type ObservedConfiguration struct {
	VM         string
	Run        int // number of starts of the VM so far
	Version    uint64
	Workspaces []string
}

// History is everything observed during a run; the oracles check it.
type History struct {
	Plan           Plan
	Calls          []Call
	Runs           []faketarget.Run
	Tenures        []faketarget.GrantPeriod
	Counts         map[core.TargetID]faketarget.Counts
	Homes          map[core.TargetID]string // data centre of each target
	Drained        []Window                 // drains of targets, named by target
	Out            []Window                 // data centres with status out
	Withdrawn      []Window                 // caller keys that were withdrawn, named by secret
	Isolated       []Window                 // VMs that were crashed or isolated
	Accepted       []Accepted
	RaceWinners    []int // number of accepted changes in each race of two
	ResendVersions []int // number of distinct versions returned for each resent change
	Observed       []ObservedConfiguration
	Final          []ObservedConfiguration // of each VM, after all faults were undone
}

// Summary returns one line with the number of calls by outcome, runs, periods
// of shard ownership and accepted changes.
func Summary(h *History) string {
	var outcomes [load.WrongAnswer + 1]int
	for _, c := range h.Calls {
		outcomes[c.Outcome]++
	}
	return fmt.Sprintf("%d calls: %d served, %d over rate, %d not run, %d may have run, %d ran and failed; %d runs, %d tenures, %d accepted changes",
		len(h.Calls), outcomes[load.Served], outcomes[load.OverRate], outcomes[load.NotRun], outcomes[load.MayHaveRun],
		outcomes[load.RanFailed], len(h.Runs), len(h.Tenures), len(h.Accepted))
}
