// Package registry holds the accepted configuration and orders its changes.
// Task: task.go, one goroutine that owns the state and publishes it.
package registry

import (
	"context"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const mailboxSize = 256

type proposal struct {
	command config.Command
	reply   task.Reply[answer]
}

type answer struct {
	state *config.State
	err   error
}

// Task owns the accepted configuration.
type Task struct {
	mailbox task.Mailbox[proposal]
	state   task.Snapshot[config.State]
	changed func(*config.State)
}

// NewTask returns a task with the given first state. It calls changed, from its
// own goroutine, with each new state; changed must not wait.
func NewTask(initial *config.State, changed func(*config.State)) *Task {
	return &Task{
		mailbox: task.NewMailbox[proposal]("registry", mailboxSize),
		state:   task.NewSnapshot(initial),
		changed: changed,
	}
}

// State publishes the state in force.
func (t *Task) State() task.Snapshot[config.State] { return t.state }

// Propose asks for a change and returns the state in force after it.
func (t *Task) Propose(ctx context.Context, c config.Command) (*config.State, error) {
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[answer]) proposal { return proposal{c, r} })
	if err != nil {
		return nil, err
	}
	return a.state, a.err
}

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	t.changed(t.state.Load())
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-t.mailbox.C():
			next, err := t.state.Load().Apply(p.command)
			if err == nil {
				t.state.Publish(next)
				t.changed(next)
			}
			p.reply.Answer(answer{next, err})
		}
	}
}

// Current returns the state in force.
func (t *Task) Current() *config.State { return t.state.Load() }
