package leadership

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	pollPeriod  = 90 * time.Millisecond
	pollTimeout = 500 * time.Millisecond
)

// Registry is the interface through which the task queries the registry.
type Registry interface {
	// Leadership returns the view of the nearest member of the registry.
	Leadership(ctx context.Context) (Status, error)
	// Confirm returns once a majority has confirmed the leader. All messages of
	// the confirmation are sent after the call begins.
	Confirm(ctx context.Context) error
}

// Task tracks the registry's leader for one daemon.
type Task struct {
	registry Registry
	tracker  leaseTracker
	lease    task.Snapshot[Lease]
}

// NewTask returns the task of daemon self.
func NewTask(self core.VM, r Registry) *Task {
	return &Task{registry: r, tracker: leaseTracker{self: self}, lease: task.NewSnapshot(&Lease{})}
}

// Lease returns the newest view of the leader. A lease in it expires without
// a further update.
func (t *Task) Lease() Lease { return *t.lease.Load() }

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

// poll queries the registry once. Leader and term must be the same before and
// after the confirmation; otherwise another leader may have been confirmed.
func (t *Task) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	before, err := t.registry.Leadership(ctx)
	if err != nil {
		return
	}
	t.observe(before)
	if before.Leader != t.tracker.self {
		return
	}
	requestedAt := clock.Now()
	if t.registry.Confirm(ctx) != nil {
		return
	}
	after, err := t.registry.Leadership(ctx)
	if err != nil {
		return
	}
	t.observe(after)
	if after == before {
		t.tracker.confirm(before.Term, requestedAt)
		t.publish()
	}
}

func (t *Task) observe(s Status) {
	t.tracker.observe(s, clock.Now())
	t.publish()
}

func (t *Task) publish() {
	if lease := t.tracker.lease; lease != t.Lease() {
		t.lease.Publish(&lease)
	}
}
