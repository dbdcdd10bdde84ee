package leadership

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	pollPeriod = 90 * time.Millisecond
	askTimeout = 500 * time.Millisecond
)

// Registry is asked by the task.
type Registry interface {
	// Leadership returns what the nearest member of the registry knows.
	Leadership(ctx context.Context) (Status, error)
	// Confirm returns once a majority has confirmed the leader, in a round of
	// messages that left after the call.
	Confirm(ctx context.Context) error
}

// Task follows the registry's leadership for one daemon.
type Task struct {
	registry Registry
	keeper   keeper
	tenure   task.Snapshot[Tenure]
}

// NewTask returns the task of daemon self.
func NewTask(self core.VM, r Registry) *Task {
	return &Task{registry: r, keeper: keeper{self: self}, tenure: task.NewSnapshot(&Tenure{})}
}

// Tenure is the newest knowledge. An own tenure ends by itself.
func (t *Task) Tenure() Tenure { return *t.tenure.Load() }

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	ticker := time.NewTicker(pollPeriod)
	defer ticker.Stop()
	for {
		t.poll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// poll asks once. The leader's answers before and after the confirmation must
// agree, so that it was this daemon that was confirmed.
func (t *Task) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	before, err := t.registry.Leadership(ctx)
	if err != nil {
		return
	}
	t.see(before)
	if before.Leader != t.keeper.self {
		return
	}
	askedAt := clock.Now()
	if t.registry.Confirm(ctx) != nil {
		return
	}
	after, err := t.registry.Leadership(ctx)
	if err != nil {
		return
	}
	t.see(after)
	if after == before {
		t.keeper.confirmed(before.Term, askedAt)
		t.publish()
	}
}

func (t *Task) see(s Status) {
	t.keeper.seen(s, clock.Now())
	t.publish()
}

func (t *Task) publish() {
	if tenure := t.keeper.tenure; tenure != t.Tenure() {
		t.tenure.Publish(&tenure)
	}
}
