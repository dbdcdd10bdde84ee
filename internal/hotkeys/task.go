package hotkeys

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize = 1024
	maxListed   = 50 // most keys that List returns
)

// SampleEvery is the sampling interval: callers count one of so many requests.
const SampleEvery = 8

type message interface{ isMessage() }

type counted struct {
	service core.Service
	key     string
}

type list struct {
	service core.Service
	reply   task.Reply[[]Key]
}

func (counted) isMessage() {}
func (list) isMessage()    {}

// Task owns one sketch for each service.
type Task struct {
	mailbox  task.Mailbox[message]
	sketches map[core.Service]*Sketch
}

// NewTask returns a task that is not running yet.
func NewTask() *Task {
	return &Task{mailbox: task.NewMailbox[message]("hotkeys", mailboxSize), sketches: map[core.Service]*Sketch{}}
}

// Count counts a request that represents SampleEvery requests. If the mailbox is
// full, the request is dropped, which lowers the counts of all keys alike.
func (t *Task) Count(s core.Service, key string) { _ = t.mailbox.Post(counted{s, key}) }

// List returns the keys of a service that get the most requests at this daemon.
func (t *Task) List(ctx context.Context, s core.Service) ([]Key, error) {
	return task.Ask(ctx, t.mailbox, func(r task.Reply[[]Key]) message { return list{s, r} })
}

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			t.handle(m, time.Now())
		}
	}
}

func (t *Task) handle(m message, now time.Time) {
	switch m := m.(type) {
	case counted:
		if t.sketches[m.service] == nil {
			t.sketches[m.service] = NewSketch(now)
		}
		t.sketches[m.service].Add(m.key, SampleEvery, now)
	case list:
		var keys []Key
		if s := t.sketches[m.service]; s != nil {
			keys = s.Top(maxListed, now)
		}
		m.reply.Answer(keys)
	}
}
