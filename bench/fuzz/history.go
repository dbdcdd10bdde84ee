package fuzz

import (
	"fmt"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/faketarget"
	"github.com/comfreynotch/comfreynotch/bench/load"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Call is one request of a caller and what it learned.
type Call struct {
	ID         string // unique
	Body       string // the same for a repeated call
	Workspace  string
	Secret     string
	VM         string
	Service    string
	Key        string
	Post       bool
	Idempotent string // idempotency key, the same for a repeated call; empty: none
	Sent       time.Time
	Ended      time.Time
	Outcome    load.Outcome
	Code       string // result code
	Answer     faketarget.Answer
	Padding    int // bytes of padding asked for
}

// Window is the time in which something was in force, from when it was
// acknowledged to when its end was asked for.
type Window struct {
	Name     string
	From, To time.Time
}

// Accepted is an acknowledged change.
type Accepted struct {
	Workspace string // that it put
	Version   uint64
	At        time.Time
}

// Seen is one look at a VM's configuration.
type Seen struct {
	VM         string
	Run        int // counts the starts of the VM
	Version    uint64
	Workspaces []string
}

// History is everything that a run saw.
type History struct {
	Plan      Plan
	Calls     []Call
	Runs      []faketarget.Run
	Tenures   []faketarget.GrantPeriod
	Counts    map[core.TargetID]faketarget.Counts
	Homes     map[core.TargetID]string // data centre of each target
	Left      []Window                 // targets that left
	Out       []Window                 // data centres that were out
	Withdrawn []Window                 // secrets that were withdrawn
	Cut       []Window                 // VMs that no message could reach
	Accepted  []Accepted
	Races     []int // winners of each race of two changes
	Resends   []int // distinct versions answered to each resent change
	Seen      []Seen
	Final     []Seen // of each VM after the last fault was healed
}

// Summary counts what the history holds, in one line.
func Summary(h *History) string {
	var outcomes [load.WrongAnswer + 1]int
	for _, c := range h.Calls {
		outcomes[c.Outcome]++
	}
	return fmt.Sprintf("%d calls: %d served, %d over rate, %d not run, %d may have run, %d ran and failed; %d runs, %d tenures, %d accepted changes",
		len(h.Calls), outcomes[load.Served], outcomes[load.OverRate], outcomes[load.NotRun], outcomes[load.MayHaveRun],
		outcomes[load.RanFailed], len(h.Runs), len(h.Tenures), len(h.Accepted))
}
