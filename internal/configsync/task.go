package configsync

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize = 1024
	sweepPeriod = 250 * time.Millisecond
	maxHold     = 5 * time.Second
)

// Task owns this daemon's copy of the configuration. It publishes a state once
// the registry or a majority of the cell stands behind it, never an older one
// after a newer one, and answers other daemons.
type Task struct {
	mailbox task.Mailbox[message]
	state   task.Snapshot[config.State]
	proof   task.Snapshot[time.Time]
	codec   Codec
	changed func(*config.State)

	newest      *config.State // published once confirmed
	confirmed   bool
	confirmedAt time.Time
	history     history
	snapshot    []byte // a whole state, made when first asked for
	snapshotAt  core.Version
	waiters     []waiter
}

type message interface{ isMessage() }

type (
	update   struct{ Update }
	question struct {
		Question
		reply task.Reply[Answer]
	}
)

func (update) isMessage()   {}
func (question) isMessage() {}

type waiter struct {
	version core.Version
	asked   time.Time
	until   time.Time
	reply   task.Reply[Answer]
}

// NewTask returns a task without any state. It calls changed, from its own
// goroutine, with each state that it publishes; changed must not wait.
func NewTask(codec Codec, changed func(*config.State)) *Task {
	empty := config.NewState()
	return &Task{
		mailbox: task.NewMailbox[message]("configsync", mailboxSize),
		state:   task.NewSnapshot(empty),
		proof:   task.NewSnapshot(&time.Time{}),
		codec:   codec, changed: changed, newest: empty,
	}
}

// State publishes the state in force, version 0 until one is confirmed.
func (t *Task) State() task.Snapshot[config.State] { return t.state }

// Current returns the state in force.
func (t *Task) Current() *config.State { return t.state.Load() }

// ConfirmedAt is when the state in force was the registry's newest; zero: it
// was never proved.
func (t *Task) ConfirmedAt() time.Time { return *t.proof.Load() }

// Offer hands over a newer state or a newer proof. If the mailbox is full it is
// lost: the next one closes the gap, or the poll that made it is repeated.
func (t *Task) Offer(u Update) { _ = t.mailbox.Post(update{u}) }

// Watch answers what is newer than a version, at once or when there is.
func (t *Task) Watch(ctx context.Context, q Question) (Answer, error) {
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[Answer]) message { return question{q, r} })
	if err != nil {
		return Answer{}, result.Wrap(result.Overloaded, err, "configuration")
	}
	return a, nil
}

// Reached waits until a version is in force at this daemon.
func (t *Task) Reached(ctx context.Context, version core.Version) (*config.State, error) {
	for t.Current().Version < version {
		a, err := t.Watch(ctx, Question{Version: version - 1, Hold: maxHold})
		if err == nil && a.Version < version {
			err = sleep(ctx, rereadPause) // nothing is confirmed here yet
		}
		if err != nil {
			return nil, result.Wrap(result.CommitUnknown, err,
				"version %d is accepted but is not in force at this VM yet", version)
		}
	}
	return t.Current(), nil
}

// sleep waits for a pause or the end of ctx, which is an error.
func sleep(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return nil
	}
}

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			t.answerWaiters(func(waiter) bool { return true })
			return ctx.Err()
		case <-ticker.C:
			now := clock.Now()
			t.answerWaiters(func(w waiter) bool { return now.After(w.until) })
		case m := <-t.mailbox.C():
			switch m := m.(type) {
			case update:
				t.take(m.Update)
			case question:
				t.ask(m)
			}
		}
	}
}

func (t *Task) take(u Update) {
	if u.State.Version < t.newest.Version {
		return
	}
	if u.ConfirmedAt.After(t.confirmedAt) {
		t.confirmedAt = u.ConfirmedAt
		t.proof.Publish(&u.ConfirmedAt)
	}
	first := u.Confirmed && !t.confirmed
	t.confirmed = t.confirmed || u.Confirmed
	if u.State.Version > t.newest.Version {
		t.history.add(u.State.Version, u.Commands)
		t.newest = u.State
	} else if !first {
		return
	}
	if !t.confirmed {
		return
	}
	t.state.Publish(t.newest)
	t.changed(t.newest)
	t.answerWaiters(func(w waiter) bool { return w.version < t.newest.Version })
}

func (t *Task) ask(q question) {
	if q.Version < t.newest.Version || q.Hold <= 0 {
		q.reply.Answer(t.answer(q.Version))
		return
	}
	now := clock.Now()
	t.waiters = append(t.waiters, waiter{q.Version, now, now.Add(min(q.Hold, maxHold)), q.reply})
}

func (t *Task) answerWaiters(due func(waiter) bool) {
	kept := t.waiters[:0]
	for _, w := range t.waiters {
		if due(w) {
			a := t.answer(w.version)
			a.Held = clock.Since(w.asked)
			w.reply.Answer(a)
			continue
		}
		kept = append(kept, w)
	}
	clear(t.waiters[len(kept):])
	t.waiters = kept
}

// answer says what is newer than a version. A daemon that has no confirmed
// state passes none on.
func (t *Task) answer(version core.Version) Answer {
	if !t.confirmed {
		return Answer{}
	}
	a := Answer{Version: t.newest.Version}
	if !t.confirmedAt.IsZero() {
		a.Proved, a.Age = true, clock.Since(t.confirmedAt)
	}
	if version >= t.newest.Version {
		return a
	}
	commands, ok := t.history.since(version)
	if ok {
		a.Commands = commands
		return a
	}
	if _, ok := t.history.since(t.snapshotAt); !ok || t.snapshot == nil {
		t.snapshot, _ = t.codec.EncodeState(t.newest) // an empty answer makes the asker try another
		t.snapshotAt = t.newest.Version
	}
	if t.snapshotAt < t.newest.Version {
		// An older whole state serves many askers, and the commands since then
		// are in the answer to their next question. It proves nothing.
		a.Version, a.Proved, a.Age = t.snapshotAt, false, 0
	}
	a.Snapshot = t.snapshot
	return a
}
