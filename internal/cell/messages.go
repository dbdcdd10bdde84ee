package cell

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/lease"
)

// Call is a message from one member to another that asks for an Answer.
type Call interface{ isCall() }

// Answer is the reply to a Call.
type Answer interface{ isAnswer() }

// Prepare opens an election.
type Prepare struct{ lease.Prepare }

// Promise answers Prepare.
type Promise struct{ lease.Promise }

// Heartbeat extends the coordinator's lease and the member's, and carries the
// table.
type Heartbeat struct {
	lease.Propose
	Echo     Echo
	InForce  core.Fence // newest version that a majority holds
	Delta    *Delta     // nil: the member holds the newest version
	NewsSeen uint64     // version of the member's news that the coordinator has
}

// Echo grants a member lease, counted from when the member sent the answer Seq.
type Echo struct {
	Session uint64     // of the member's run; a restarted member ignores it
	Seq     uint64     // 0: no lease
	Fence   core.Fence // oldest version under which the lease holds
}

// Status is what a member tells its coordinator.
type Status struct {
	Session uint64
	Seq     uint64     // counts the statuses of one run
	Have    core.Fence // version of the table that it holds
	News    News
	Facts   Facts
}

// HeartbeatAnswer answers Heartbeat.
type HeartbeatAnswer struct {
	lease.Accept
	Status Status
}

// Report brings a status ahead of the next heartbeat.
type Report struct{ Status Status }

// ReportAnswer answers Report.
type ReportAnswer struct{ NewsSeen uint64 }

// Fetch asks for the table that a member holds.
type Fetch struct{}

// Assign asks the coordinator for an operator's choice.
type Assign struct{ Pin Pin }

// AssignAnswer answers Assign once a majority of the cell holds the choice.
type AssignAnswer struct{ Err error }

// FetchAnswer answers Fetch with a snapshot.
type FetchAnswer struct{ Table *Delta }

// News is a member's view of announced targets, as the changes since a version
// that the coordinator has.
type News struct {
	Since   uint64
	Version uint64
	Targets []core.Target
	Gone    []core.TargetID
}

// Facts are what a dispatcher has proved about what the table gave it. Each
// stands until the table shows its consequence.
type Facts struct {
	Shards    []ReleasedShard  // no work runs, and the target's grant has ended
	Targets   []ReleasedTarget // no work runs, and nothing more is sent to it
	Down      []EndedTarget    // targets that lost grants without a release
	Held      []HeldShard      // grants that targets still hold and the table does not give them
	FenceSeen core.Fence       // newest fence that a target has refused an older one for
}

// EndedTarget names one placement of a target whose grants ran out. The
// dispatcher never renews a grant up to Ended again.
type EndedTarget struct {
	Target core.TargetID
	Fence  core.Fence // of the placement
	Ended  core.Fence // newest assignment that has ended
	Up     bool       // it answers again
}

// HeldShard is a grant that a target says it holds.
type HeldShard struct {
	Service core.Service
	Shard   core.Shard
	Target  core.TargetID
	Fence   core.Fence
}

// ReleasedShard names one assignment.
type ReleasedShard struct {
	Service core.Service
	Shard   core.Shard
	Fence   core.Fence // of the assignment
}

// ReleasedTarget names one placement of a target.
type ReleasedTarget struct {
	Target core.TargetID
	Fence  core.Fence // of the placement
}

// Send is a call to one member.
type Send struct {
	To   core.VM
	Call Call
}

// Timing holds the durations of the protocol. All members use the same.
type Timing struct {
	Election    lease.Timing
	MemberTTL   time.Duration // of a member's lease
	GrantTTL    time.Duration // of a target's grants
	Margin      time.Duration // for clocks of unequal rate, over one lease
	AnnounceTTL time.Duration // a target stays known after the loss of the member that heard it
}

// DefaultTiming serves each key again within a second of a loss; the design
// note on cells adds up the parts.
func DefaultTiming() Timing {
	return Timing{
		Election: lease.Timing{
			TTL:           400 * time.Millisecond,
			RenewInterval: 150 * time.Millisecond,
			RoundTimeout:  40 * time.Millisecond,
			ClockMargin:   15 * time.Millisecond,
		},
		MemberTTL:   750 * time.Millisecond,
		GrantTTL:    700 * time.Millisecond,
		Margin:      15 * time.Millisecond,
		AnnounceTTL: 3 * time.Second,
	}
}

func (Prepare) isCall()           {}
func (Heartbeat) isCall()         {}
func (Report) isCall()            {}
func (Fetch) isCall()             {}
func (Assign) isCall()            {}
func (AssignAnswer) isAnswer()    {}
func (Promise) isAnswer()         {}
func (HeartbeatAnswer) isAnswer() {}
func (ReportAnswer) isAnswer()    {}
func (FetchAnswer) isAnswer()     {}
