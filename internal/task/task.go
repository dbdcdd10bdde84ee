// Package task is the one place where goroutines meet: bounded mailboxes,
// questions with a reply channel, and published immutable snapshots. Every
// other package builds its task layer from these, so that state has a single
// owner and needs no lock.
//
// A task is one goroutine with a Serve(ctx) error method, supervised by
// suture. It alone reads and writes its state; others send it messages.
package task

import (
	"context"
	"sync/atomic"

	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Mailbox is a bounded queue of messages to one task. Copies share the queue.
type Mailbox[M any] struct {
	name string
	c    chan M
}

// NewMailbox returns a mailbox that holds up to capacity messages. The name
// stands in errors.
func NewMailbox[M any](name string, capacity int) Mailbox[M] {
	return Mailbox[M]{name: name, c: make(chan M, capacity)}
}

// C is the receiving end. Only the owning task reads it.
func (m Mailbox[M]) C() <-chan M { return m.c }

// Len is the number of messages that wait.
func (m Mailbox[M]) Len() int { return len(m.c) }

// Post enqueues msg without waiting. A full mailbox is an answer: Overloaded,
// not run.
func (m Mailbox[M]) Post(msg M) error {
	select {
	case m.c <- msg:
		return nil
	default:
		return result.New(result.Overloaded, "mailbox %s is full", m.name)
	}
}

// Send enqueues msg and waits for room until ctx ends. It is for messages that
// must not be lost, such as the release of a slot.
func (m Mailbox[M]) Send(ctx context.Context, msg M) error {
	select {
	case m.c <- msg:
		return nil
	case <-ctx.Done():
		return result.Wrap(result.Overloaded, ctx.Err(), "mailbox %s stayed full", m.name)
	}
}

// Reply is the channel on which a task answers one question. It has room for
// the one answer, so that the answering task never waits.
type Reply[R any] chan R

// NewReply returns a reply channel for one answer.
func NewReply[R any]() Reply[R] { return make(Reply[R], 1) }

// Answer delivers r. A second answer to the same question is dropped.
func (r Reply[R]) Answer(v R) {
	select {
	case r <- v:
	default:
	}
}

// Ask posts the message that build makes around a new reply channel, and waits
// for the answer or the end of ctx. After an error from a full mailbox the task
// has not seen the question; after an error from ctx it may have.
func Ask[M, R any](ctx context.Context, m Mailbox[M], build func(Reply[R]) M) (R, error) {
	var zero R
	reply := NewReply[R]()
	if err := m.Post(build(reply)); err != nil {
		return zero, err
	}
	select {
	case r := <-reply:
		return r, nil
	case <-ctx.Done():
		return zero, context.Cause(ctx)
	}
}

// Snapshot publishes immutable values of one owner task to any reader. A
// published value is never written again.
type Snapshot[T any] struct{ p *atomic.Pointer[T] }

// NewSnapshot returns a snapshot that holds initial.
func NewSnapshot[T any](initial *T) Snapshot[T] {
	s := Snapshot[T]{p: new(atomic.Pointer[T])}
	s.p.Store(initial)
	return s
}

// Load returns the newest published value.
func (s Snapshot[T]) Load() *T { return s.p.Load() }

// Publish replaces the value. Only the owner task calls it.
func (s Snapshot[T]) Publish(v *T) { s.p.Store(v) }
