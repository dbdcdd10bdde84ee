package spread

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize   = 1024
	publishPeriod = 5 * time.Millisecond // collects reports into one new view
)

type message interface{ isMessage() }

type observed struct {
	source source
	load   Load
}

type tableChanged struct{ table *cell.Table }

func (observed) isMessage()     {}
func (tableChanged) isMessage() {}

// Task owns the load reports of other daemons.
type Task struct {
	mailbox     task.Mailbox[message]
	view        task.Snapshot[View]
	unpublished map[source]report
}

// NewTask returns a task without dispatchers.
func NewTask() *Task {
	return &Task{
		mailbox:     task.NewMailbox[message]("spread", mailboxSize),
		view:        task.NewSnapshot(NewView()),
		unpublished: map[source]report{},
	}
}

// View returns the latest view.
func (t *Task) View() *View { return t.view.Load() }

// Observe records the load that vm reported. The report is dropped when the
// mailbox is full, since the next one follows soon.
func (t *Task) Observe(vm core.VM, service core.Service, load Load) {
	_ = t.mailbox.Post(observed{source{vm, service}, load})
}

// TableChanged replaces the cell's table.
func (t *Task) TableChanged(table *cell.Table) {
	_ = t.mailbox.Send(context.Background(), tableChanged{table})
}

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			switch m := m.(type) {
			case observed:
				if len(t.unpublished) == 0 {
					timer.Reset(publishPeriod)
				}
				t.unpublished[m.source] = report{load: m.load, at: time.Now()}
			case tableChanged:
				t.view.Publish(t.view.Load().WithTable(m.table))
			}
		case now := <-timer.C:
			t.view.Publish(t.view.Load().withReports(t.unpublished, now))
			clear(t.unpublished)
		}
	}
}
