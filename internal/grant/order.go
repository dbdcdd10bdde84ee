// Package grant gives targets the shards that the cell's table assigns to them,
// for a short time that is renewed, and proves when a target owns a shard no
// more. Decisions: order.go (what is sent and answered), tenure.go (one
// target), book.go (all targets of this dispatcher), view.go (what requests
// check). Task: task.go, which owns the Book.
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
	Seq    uint64     // tells the answers to one target's orders apart
	Probe  bool       // asks what it holds, and changes nothing
	Holder core.Fence // of the placement that made the sender its dispatcher
	TTL    time.Duration
	// Since is the target's own clock as its last answer gave it. The time to
	// live counts from there, so that an order that waits in a frozen target's
	// buffer extends nothing. Zero: the target gave no clock.
	Since time.Duration
	// Incarnation is the run that gave Since; another run carries nothing out.
	Incarnation core.Incarnation
	Reset       bool
	Add         []ShardFence
	Remove      []ShardFence
}

// Reply is a target's answer to an Order.
type Reply struct {
	Failed      bool // no answer
	Stale       bool // refused: it has seen Fence, which is newer
	Fence       core.Fence
	Incarnation core.Incarnation
	Clock       time.Duration // its own clock; zero: not given
	Held        []HeldShard   // answer to a probe
	Count       int           // shards that it holds; answer to an order
}

// HeldShard is a grant that a target says it holds.
type HeldShard struct {
	Service core.Service
	Shard   core.Shard
	Fence   core.Fence
}

// Timing holds the durations of grants.
type Timing struct {
	TTL    time.Duration
	Renew  time.Duration // between two orders to one target
	Retry  time.Duration // after an order that had no answer
	Call   time.Duration // that an order may take
	Margin time.Duration // for clocks of unequal rate, over one TTL
}

// DefaultTiming fits the cell's timing: a lost target's grants have ended
// within a second.
func DefaultTiming(ttl time.Duration) Timing {
	return Timing{
		TTL:    ttl,
		Renew:  250 * time.Millisecond,
		Retry:  50 * time.Millisecond,
		Call:   150 * time.Millisecond,
		Margin: 15 * time.Millisecond,
	}
}
