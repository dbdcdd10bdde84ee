// Package task provides the means by which goroutines communicate: bounded
// mailboxes, requests with a reply channel, and published immutable snapshots.
// Long-lived state is shared between goroutines only by these means, so that it has
// one owner and needs no locks. Other packages use channels directly only
// within one request or connection, and for signals such as the end of a goroutine.
//
// A task is a goroutine that runs a Serve(ctx) error method under a suture
// supervisor. Only the task reads and writes its state; other goroutines send it
// messages.
package task

import (
	"context"
	"sync/atomic"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Mailbox is a bounded queue of messages to a task. Copies share one queue.
type Mailbox[M any] struct {
	name string
	c    chan M
}

// NewMailbox returns a mailbox for up to capacity messages. The name is used in
// errors.
func NewMailbox[M any](name string, capacity int) Mailbox[M] {
	return Mailbox[M]{name: name, c: make(chan M, capacity)}
}

// C returns the channel from which the owning task, and no other, receives.
func (m Mailbox[M]) C() <-chan M { return m.c }

// Len returns the number of queued messages.
func (m Mailbox[M]) Len() int { return len(m.c) }

// Post enqueues msg without blocking. If the mailbox is full it returns
// result.Overloaded and the message is dropped.
func (m Mailbox[M]) Post(msg M) error {
	select {
	case m.c <- msg:
		return nil
	default:
		return result.New(result.Overloaded, "mailbox %s is full", m.name)
	}
}

// Send enqueues msg; while the mailbox is full it blocks until ctx ends. It is
// meant for messages that must not be lost, such as the release of a slot.
func (m Mailbox[M]) Send(ctx context.Context, msg M) error {
	select {
	case m.c <- msg:
		return nil
	case <-ctx.Done():
		return result.Wrap(result.Overloaded, ctx.Err(), "mailbox %s stayed full", m.name)
	}
}

// Reply is the channel for a task's answer to one request. Its buffer holds the
// one answer, so that the answering task never blocks.
type Reply[R any] chan R

// NewReply returns a channel for one answer.
func NewReply[R any]() Reply[R] { return make(Reply[R], 1) }

// Answer sends v. Any further answer on the same channel is dropped.
func (r Reply[R]) Answer(v R) {
	select {
	case r <- v:
	default:
	}
}

// Ask posts the message that build returns for a new reply channel, and waits
// for the answer until ctx ends. An error from a full mailbox means that the task
// has not received the message; after an error from ctx it may have received it.
func Ask[M, R any](ctx context.Context, m Mailbox[M], build func(Reply[R]) M) (R, error) {
	var zero R
	reply := NewReply[R]()
	if err := m.Post(build(reply)); err != nil {
		return zero, err
	}
	select {
	case answer := <-reply:
		return answer, nil
	case <-ctx.Done():
		return zero, context.Cause(ctx)
	}
}

// Snapshot holds the latest immutable value that its owner task published, for
// any number of readers. A published value must not be modified.
type Snapshot[T any] struct{ p *atomic.Pointer[T] }

// NewSnapshot returns a snapshot with an initial value.
func NewSnapshot[T any](initial *T) Snapshot[T] {
	s := Snapshot[T]{p: new(atomic.Pointer[T])}
	s.p.Store(initial)
	return s
}

// Load returns the most recently published value.
func (s Snapshot[T]) Load() *T { return s.p.Load() }

// Publish replaces the value. Only the owner task may call it.
func (s Snapshot[T]) Publish(v *T) { s.p.Store(v) }
