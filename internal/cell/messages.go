package cell

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/lease"
)

// Call is a request from one member to another; the reply is an Answer.
type Call interface{ isCall() }

// Answer is the reply to a Call.
type Answer interface{ isAnswer() }

// Prepare asks for a member's promise in an election of the coordinator.
type Prepare struct{ lease.Prepare }

// Promise answers Prepare.
type Promise struct{ lease.Promise }

// Heartbeat renews the coordinator's lease and grants the member its own, and
// carries changes of the table.
type Heartbeat struct {
	lease.Propose
	Echo         Echo
	InForce      core.Fence // newest version that a majority holds
	Delta        *Delta     // nil: the member holds the newest version
	AckedVersion uint64     // version of the member's targets that the coordinator has
}

// Echo grants a member lease, counted from when the member sent the status Seq.
type Echo struct {
	Session uint64     // run of the member that sent the status; a restarted member ignores the grant
	Seq     uint64     // 0: no lease
	Fence   core.Fence // oldest version under which the lease is valid
}

// Status is a member's report to its coordinator.
type Status struct {
	Session      uint64
	Seq          uint64     // number of the status in this run, from 1
	TableFence   core.Fence // version of the table that the member holds
	TargetUpdate TargetUpdate
	Facts        Facts
}

// HeartbeatAnswer answers Heartbeat.
type HeartbeatAnswer struct {
	lease.Accept
	Status Status
}

// Report delivers a status to the coordinator before its next heartbeat.
type Report struct{ Status Status }

// ReportAnswer answers Report.
type ReportAnswer struct{ AckedVersion uint64 }

// Fetch asks for the table that a member holds.
type Fetch struct{}

// Assign asks the coordinator to enter a pin.
type Assign struct{ Pin Pin }

// AssignAnswer answers Assign once a majority of the cell holds the pin, or with
// an error.
type AssignAnswer struct{ Err error }

// FetchAnswer answers Fetch with a snapshot.
type FetchAnswer struct{ Table *Delta }

// TargetUpdate holds the changes of the targets that announce themselves to a
// member, after version Since, which the coordinator has, up to Version. Since 0
// means that Targets is complete.
type TargetUpdate struct {
	Since   uint64
	Version uint64
	Targets []core.Target
	Removed []core.TargetID
}

// Facts are a dispatcher's proofs about the shards and targets that the table
// assigns to it: what it has released, and which grants have ended. It reports
// each proof until the table reflects it.
type Facts struct {
	ReleasedShards  []ReleasedShard  // no request runs on the shard, and the target's grant has ended
	ReleasedTargets []ReleasedTarget // no request runs on the target, and none is sent to it any more
	EndedTargets    []EndedTarget    // targets whose grants ended without a release
	HeldShards      []HeldShard      // grants that targets still hold although the table does not assign them
	FenceSeen       core.Fence       // newest fence in whose favour a target has refused an older one
}

// EndedTarget names a placement of a target whose grants have expired. The
// dispatcher never again renews a grant whose fence is EndedFence or older.
type EndedTarget struct {
	Target     core.TargetID
	Fence      core.Fence // of the placement
	EndedFence core.Fence // fence of the newest assignment that has ended
	Answering  bool       // the target answers again
}

// HeldShard is a grant that a target reports to hold.
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

// Send is a call to be sent to one member.
type Send struct {
	To   core.VM
	Call Call
}

// Timing holds the durations of the protocol. All members must use the same
// values.
type Timing struct {
	Election    lease.Timing
	MemberTTL   time.Duration // of a member's lease
	GrantTTL    time.Duration // of a target's ownership grants
	Margin      time.Duration // allowance for clocks of different rates over the length of one lease
	AnnounceTTL time.Duration // a target stays known after the member that it announced itself to became unreachable
}

// DefaultTiming returns the durations with which each key is served again within
// a second of the loss of a VM or target; the design note on cells adds up the
// parts.
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
