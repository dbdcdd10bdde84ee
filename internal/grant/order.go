// Package grant grants targets the shards that the cell's table assigns to them.
// A grant is a short lease that the dispatcher renews. The package also proves
// to the coordinator when a target no longer owns a shard. Decisions: order.go
// (messages to and from targets), target.go (one target), controller.go (all
// targets of this dispatcher), view.go (the check before a request is sent).
// Task: task.go, which owns the Controller.
package grant

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// ShardFence is one shard and the fence of its assignment.
type ShardFence struct {
	Shard core.Shard
	Fence core.Fence
}

// Order is one message to a target about the shards of its service.
type Order struct {
	Target core.Target
	Seq    uint64     // matches replies to the orders of one target
	Probe  bool       // queries the grants that the target holds, and changes nothing
	Holder core.Fence // fence of the placement that made the sender the target's dispatcher
	TTL    time.Duration
	// Since is the reading of the target's own clock in its last reply. TTL
	// counts from it, so that an order which waited in a frozen target's receive
	// buffer extends nothing. Zero: the target reported no clock.
	Since time.Duration
	// Incarnation is the one that reported Since; another incarnation ignores
	// the order.
	Incarnation core.Incarnation
	Reset       bool // drop all grants before Add is applied
	Add         []ShardFence
	Remove      []ShardFence
}

// Reply is a target's reply to an Order.
type Reply struct {
	Failed      bool // no valid reply arrived in time
	Stale       bool // refused: the target has seen Fence, which is newer
	Fence       core.Fence
	Incarnation core.Incarnation
	Clock       time.Duration // reading of the target's own clock; zero: none
	Held        []HeldShard   // reply to a probe
	HeldCount   int           // number of shards held after an order that is no probe
}

// HeldShard is a grant that a target reports in the reply to a probe.
type HeldShard struct {
	Service core.Service
	Shard   core.Shard
	Fence   core.Fence
}

// Timing holds the durations of grants.
type Timing struct {
	TTL           time.Duration
	RenewInterval time.Duration // interval between two orders to one target
	RetryDelay    time.Duration // delay after an order without a reply
	OrderTimeout  time.Duration // timeout of one order
	ClockMargin   time.Duration // allowance for clock drift during one TTL
}

// DefaultTiming returns the timing for grants that last ttl. With the cell's
// default TTL the grants of an unreachable target expire within a second.
func DefaultTiming(ttl time.Duration) Timing {
	return Timing{
		TTL:           ttl,
		RenewInterval: 250 * time.Millisecond,
		RetryDelay:    50 * time.Millisecond,
		OrderTimeout:  150 * time.Millisecond,
		ClockMargin:   15 * time.Millisecond,
	}
}
