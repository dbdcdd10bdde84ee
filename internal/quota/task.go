package quota

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const mailboxSize = 4096

type message interface{ isMessage() }

type admit struct {
	workspace core.Workspace
	reply     task.Reply[error]
}

type configChanged struct{ state *config.State }

func (admit) isMessage()         {}
func (configChanged) isMessage() {}

// Task owns this daemon's buckets.
type Task struct {
	mailbox task.Mailbox[message]
	buckets map[core.Workspace]*Bucket
}

// NewTask returns a task without buckets.
func NewTask() *Task {
	return &Task{
		mailbox: task.NewMailbox[message]("quota", mailboxSize),
		buckets: map[core.Workspace]*Bucket{},
	}
}

// Admit takes one token of the workspace, or refuses with RateExceeded.
func (t *Task) Admit(ctx context.Context, w core.Workspace) error {
	refusal, err := task.Ask(ctx, t.mailbox, func(r task.Reply[error]) message { return admit{w, r} })
	if err != nil {
		return err
	}
	return refusal
}

// ConfigChanged delivers the state in force.
func (t *Task) ConfigChanged(s *config.State) { _ = t.mailbox.Post(configChanged{s}) }

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
	case admit:
		m.reply.Answer(t.admit(m.workspace, now))
	case configChanged:
		t.update(m.state, now)
	}
}

func (t *Task) admit(w core.Workspace, now time.Time) error {
	b := t.buckets[w]
	if b == nil {
		return result.New(result.RateExceeded, "workspace %s has no rate", w)
	}
	wait, ok := b.Take(now)
	if ok {
		return nil
	}
	e := result.New(result.RateExceeded, "workspace %s is over its rate", w)
	e.RetryAfter = wait
	return e
}

func (t *Task) update(s *config.State, now time.Time) {
	for name, w := range s.Workspaces {
		b := t.buckets[name]
		if b == nil {
			b = &Bucket{at: now}
			t.buckets[name] = b
		}
		b.SetRate(w.Rate, w.Burst, now)
	}
	for name := range t.buckets {
		if _, ok := s.Workspaces[name]; !ok {
			delete(t.buckets, name)
		}
	}
}
