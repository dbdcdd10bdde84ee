package membership

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize  = 256
	expiryPeriod = 100 * time.Millisecond
)

// Task owns the set of announced targets.
type Task struct {
	set     *Set
	mailbox task.Mailbox[core.Target]
	changed func(*View)
}

// NewTask returns a task whose targets expire ttl after their newest announcement.
// It calls changed with each new view, on its own goroutine; changed must not block.
func NewTask(ttl time.Duration, changed func(*View)) *Task {
	return &Task{
		set:     NewSet(ttl),
		mailbox: task.NewMailbox[core.Target]("membership", mailboxSize),
		changed: changed,
	}
}

// Announce passes an announcement to the task. It fails if the mailbox is full.
func (t *Task) Announce(target core.Target) error { return t.mailbox.Post(target) }

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	ticker := time.NewTicker(expiryPeriod)
	defer ticker.Stop()
	for {
		var changed bool
		select {
		case <-ctx.Done():
			return ctx.Err()
		case target := <-t.mailbox.C():
			changed = t.set.Announce(target, time.Now())
		case now := <-ticker.C:
			changed = t.set.Expire(now)
		}
		if changed {
			t.changed(t.set.View())
		}
	}
}
