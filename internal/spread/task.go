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
	publishPeriod = 5 * time.Millisecond // between two views with new reports
)

type message interface{ isMessage() }

type observed struct {
	source source
	load   Load
}

type tableChanged struct{ table *cell.Table }

func (observed) isMessage()     {}
func (tableChanged) isMessage() {}

// Task owns the reports of other daemons.
type Task struct {
	mailbox task.Mailbox[message]
	view    task.Snapshot[View]
	newer   map[source]report // not yet published
}

// NewTask returns a task that knows no dispatcher.
func NewTask() *Task {
	return &Task{
		mailbox: task.NewMailbox[message]("spread", mailboxSize),
		view:    task.NewSnapshot(NewView()),
		newer:   map[source]report{},
	}
}

// View is the newest view.
func (t *Task) View() *View { return t.view.Load() }

// Observe tells the load that vm reported. A report is lost when the mailbox is
// full; the next one follows soon.
func (t *Task) Observe(vm core.VM, service core.Service, load Load) {
	_ = t.mailbox.Post(observed{source{vm, service}, load})
}

// TableChanged delivers a new table of the cell.
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
				if len(t.newer) == 0 {
					timer.Reset(publishPeriod)
				}
				t.newer[m.source] = report{load: m.load, at: time.Now()}
			case tableChanged:
				t.view.Publish(t.view.Load().WithTable(m.table))
			}
		case now := <-timer.C:
			t.view.Publish(t.view.Load().withReports(t.newer, now))
			clear(t.newer)
		}
	}
}
