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

// Task owns this daemon's copy of the configuration and answers other daemons'
// requests for it. It publishes a state once the registry or a majority of the
// cell has confirmed it, and never publishes an older state after a newer one.
type Task struct {
	mailbox task.Mailbox[message]
	state   task.Snapshot[config.State]
	proof   task.Snapshot[time.Time]
	codec   Codec
	changed func(*config.State)

	newest          *config.State // published once confirmed
	confirmed       bool
	confirmedAt     time.Time
	history         history
	snapshot        []byte // an encoded state, created on the first request for one
	snapshotVersion core.Version
	waiters         []waiter
}

type message interface{ isMessage() }

type (
	update struct{ Update }
	watch  struct {
		Request
		reply task.Reply[Answer]
	}
)

func (update) isMessage() {}
func (watch) isMessage()  {}

// waiter is a request that waits for a version newer than the one it names.
type waiter struct {
	version core.Version
	since   time.Time
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

// ConfirmedAt returns the latest time at which the state in force was proved to
// be the registry's newest, or zero if it never was.
func (t *Task) ConfirmedAt() time.Time { return *t.proof.Load() }

// Offer passes a newer state or a newer proof to the task. If the mailbox is full,
// the update is lost; a later update or the next poll makes up for it.
func (t *Task) Offer(u Update) { _ = t.mailbox.Post(update{u}) }

// Watch returns what is newer than the version in q. If nothing is, it waits for
// a newer version for up to q.Hold.
func (t *Task) Watch(ctx context.Context, q Request) (Answer, error) {
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[Answer]) message { return watch{q, r} })
	if err != nil {
		return Answer{}, result.Wrap(result.Overloaded, err, "wait for a newer configuration")
	}
	return a, nil
}

// WaitForVersion waits until version or a newer one is in force at this daemon, and
// returns the state in force.
func (t *Task) WaitForVersion(ctx context.Context, version core.Version) (*config.State, error) {
	for t.Current().Version < version {
		a, err := t.Watch(ctx, Request{Version: version - 1, Hold: maxHold})
		if err == nil && a.Version < version {
			err = sleep(ctx, nextSourcePause) // this daemon has no confirmed state yet
		}
		if err != nil {
			return nil, result.Wrap(result.CommitUnknown, err,
				"version %d is accepted but is not in force at this VM yet", version)
		}
	}
	return t.Current(), nil
}

// sleep waits for pause. It returns an error if ctx ends first.
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
				t.applyUpdate(m.Update)
			case watch:
				t.handleWatch(m)
			}
		}
	}
}

func (t *Task) applyUpdate(u Update) {
	if u.State.Version < t.newest.Version {
		return
	}
	newer := u.State.Version > t.newest.Version
	firstConfirmation := u.Confirmed && !t.confirmed
	if newer {
		t.history.add(u.State.Version, u.Commands)
		t.newest = u.State
	}
	t.confirmed = t.confirmed || u.Confirmed
	publish := t.confirmed && (newer || firstConfirmation)
	if publish {
		t.state.Publish(t.newest)
		t.changed(t.newest)
	}
	// The proof is published after the state that it proves, so that a reader which
	// loads the proof first gets this state or a newer one.
	if u.ConfirmedAt.After(t.confirmedAt) {
		t.confirmedAt = u.ConfirmedAt
		t.proof.Publish(&u.ConfirmedAt)
	}
	if publish {
		t.answerWaiters(func(w waiter) bool { return w.version < t.newest.Version })
	}
}

// handleWatch answers q at once, or adds it to the waiters if there is nothing
// newer than its version yet.
func (t *Task) handleWatch(q watch) {
	if q.Version < t.newest.Version || q.Hold <= 0 {
		q.reply.Answer(t.answer(q.Version))
		return
	}
	now := clock.Now()
	t.waiters = append(t.waiters, waiter{q.Version, now, now.Add(min(q.Hold, maxHold)), q.reply})
}

// answerWaiters answers the waiting requests for which due returns true.
func (t *Task) answerWaiters(due func(waiter) bool) {
	remaining := t.waiters[:0]
	for _, w := range t.waiters {
		if due(w) {
			a := t.answer(w.version)
			a.Held = clock.Since(w.since)
			w.reply.Answer(a)
			continue
		}
		remaining = append(remaining, w)
	}
	clear(t.waiters[len(remaining):])
	t.waiters = remaining
}

// answer returns what is newer than version. The answer is empty while this
// daemon has no confirmed state.
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
	if ok && !t.snapshotIsSmaller(version, sizeOf(commands)) {
		a.Commands = commands
		return a
	}
	t.refreshSnapshot()
	if t.snapshotVersion < t.newest.Version {
		// Encoding a state is expensive, so an older snapshot is reused as long as
		// the commands after it are in the history: the other daemon gets those
		// with its next request. An older version carries no proof.
		a.Version, a.Proved, a.Age = t.snapshotVersion, false, 0
	}
	a.Snapshot = t.snapshot
	return a
}

// minSnapshotSaving is the size in bytes of commands up to which they are sent without
// a look at the snapshot, which costs processor time to encode.
const minSnapshotSaving = 64 << 10

// snapshotIsSmaller reports whether a snapshot, with the commands after it, is smaller
// than the commands after version. Load pattern: entry VMs with slow links restart
// after hundreds of changes of the same items.
func (t *Task) snapshotIsSmaller(version core.Version, commandBytes int) bool {
	if commandBytes <= minSnapshotSaving {
		return false
	}
	t.refreshSnapshot()
	return t.snapshot != nil && t.snapshotVersion > version && len(t.snapshot)+t.history.bytesSince(t.snapshotVersion) < commandBytes
}

// refreshSnapshot encodes the newest state unless there is an older snapshot to which
// the commands after it are kept and small.
func (t *Task) refreshSnapshot() {
	_, linked := t.history.since(t.snapshotVersion)
	if linked && t.snapshot != nil && t.history.bytesSince(t.snapshotVersion) <= max(len(t.snapshot), minSnapshotSaving) {
		return
	}
	t.snapshot, _ = t.codec.EncodeState(t.newest) // on an error the answer is empty, and the other daemon tries another source
	t.snapshotVersion = t.newest.Version
}
