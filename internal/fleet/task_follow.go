package fleet

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	answerTimeout   = 700 * time.Millisecond      // after the hold, until the answer must begin
	askTimeout      = MaxPollWait + answerTimeout // until the leader counts as lost
	transferTimeout = 30 * time.Second            // for one whole poll; an answer that stalls ends it much earlier
	failurePause    = 100 * time.Millisecond      // after a poll that failed
)

// Client sends requests to the control VM at an inner address.
type Client interface {
	// Poll ends with an error if the answer doesn't begin within q.Hold plus
	// q.AnswerTimeout, or stalls.
	Poll(ctx context.Context, address string, q PollRequest) (Update, error)
	Draw(ctx context.Context, address string, wants []quota.Want, backup bool) ([]quota.Supply, error)
}

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Self    core.VM
	Seeds   func() []string // inner addresses of control VMs, from the settings
	Client  Client
	Report  func() Report // called before each poll; must not block
	Deliver func(ctx context.Context, n Update)
	Record  func(event string, fields ...any)
}

// Follower is the task that keeps an entry VM's view of the fleet up to date by
// polling the leader.
type Follower struct {
	FollowerOptions
	counters task.Snapshot[[]string] // inner addresses of the control VMs that count workspaces, sorted
}

// NewFollower returns a task that is not running yet.
func NewFollower(o FollowerOptions) *Follower {
	return &Follower{o, task.NewSnapshot(new([]string))}
}

// CounterOf returns the inner address of the control VM that counts a workspace, and
// of its backup, which is empty if there is only one control VM. Both are empty until
// a leader has answered. All entry VMs choose alike (rendezvous hashing).
func (f *Follower) CounterOf(w core.Workspace) (counter, backup string) {
	return counterOf(w, *f.counters.Load())
}

func counterOf(w core.Workspace, addresses []string) (counter, backup string) {
	best, highest := -1, uint64(0)
	for i, address := range addresses {
		if h := xxhash.Sum64String(address + "\x00" + string(w)); best < 0 || h > highest {
			best, highest = i, h
		}
	}
	if best < 0 {
		return "", ""
	}
	if len(addresses) > 1 {
		// Neighbours in the list are mostly of one data centre.
		backup = addresses[(best+(len(addresses)+1)/2)%len(addresses)]
	}
	return addresses[best], backup
}

// minCounters is the number of control VMs beside the leader from which on the leader
// counts no workspaces: it is the busiest of them.
const minCounters = 2

// countersAmong returns the control VMs that count workspaces.
func countersAmong(controlAddresses []string, leader string) []string {
	others := slices.DeleteFunc(slices.Clone(controlAddresses), func(address string) bool { return address == leader })
	if len(others) < minCounters {
		return controlAddresses
	}
	return others
}

// Draw requests tokens of workspaces from their counter at an inner address, or from
// their backup. It isn't retried: the tokens of a lost answer count as spent.
func (f *Follower) Draw(ctx context.Context, address string, wants []quota.Want, backup bool) ([]quota.Supply, error) {
	supplies, err := f.Client.Draw(ctx, address, wants, backup)
	if err != nil {
		f.Record("could not draw tokens", "address", address, "backup", backup, "workspaces", len(wants), "why", err.Error())
	}
	return supplies, err
}

// AddressOf returns the inner address of a control VM. Its name is the address and,
// after a #, an optional suffix that distinguishes VMs that used the same address
// one after the other.
func AddressOf(vm core.VM) string {
	address, _, _ := strings.Cut(string(vm), "#")
	return address
}

// followRun is the state of one run of a Follower.
type followRun struct {
	*Follower
	term, sequence   uint64
	leader           string   // inner address; empty: unknown
	controlAddresses []string // inner addresses of control VMs, from the leader's last update
	nextIndex        int
	lost             bool
}

// Serve polls until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	run := followRun{Follower: f}
	for ctx.Err() == nil {
		if run.poll(ctx) {
			continue
		}
		pause := time.NewTimer(failurePause)
		select {
		case <-ctx.Done():
		case <-pause.C:
		}
		pause.Stop()
	}
	return ctx.Err()
}

// poll sends one long poll and reports whether the next may follow without a pause.
func (f *followRun) poll(ctx context.Context) bool {
	address, hold := f.leader, MaxPollWait
	if address == "" {
		hold = 0 // a VM that doesn't answer costs no more than the time for an answer
		addresses := append(append([]string(nil), f.controlAddresses...), f.Seeds()...)
		if len(addresses) == 0 {
			return false
		}
		f.nextIndex++
		address = addresses[f.nextIndex%len(addresses)]
	}
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	q := PollRequest{Report: f.Report(), Term: f.term, Sequence: f.sequence, Hold: hold, AnswerTimeout: answerTimeout}
	requestedAt := clock.Now()
	update, err := f.Client.Poll(ctx, address, q)
	switch {
	case err != nil:
		f.markLost(address, err.Error())
		return false
	case update.Leader != "":
		next := AddressOf(update.Leader)
		sameVM := next == address // it leads, but doesn't hold the leader lease yet
		f.leader = next
		return !sameVM
	case update.Term == 0:
		f.markLost(address, "the polled VM knows no leader")
		return false
	}
	if f.lost || f.term != update.Term {
		f.lost = false
		f.Record("leader answers", "address", address, "term", update.Term)
	}
	f.leader = address
	f.term, f.sequence = update.Term, update.Sequence
	f.useControlVMs(update.ControlVMs, address)
	update.RequestedAt = requestedAt
	f.Deliver(ctx, update)
	return true
}

// useControlVMs keeps the addresses of the control VMs in an update. An update of a
// leader that doesn't know them yet has none.
func (f *followRun) useControlVMs(vms []core.VM, leader string) {
	if len(vms) == 0 {
		return
	}
	var addresses []string
	for _, vm := range vms {
		addresses = append(addresses, AddressOf(vm))
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	f.controlAddresses = addresses
	if counters := countersAmong(addresses, leader); !slices.Equal(counters, *f.counters.Load()) {
		f.counters.Publish(&counters)
	}
}

// markLost records that the leader can't be reached, so that the next poll tries
// another control VM.
func (f *followRun) markLost(address, reason string) {
	if !f.lost {
		f.lost = true
		f.Record("leader lost", "address", address, "why", reason)
	}
	f.leader = ""
}
