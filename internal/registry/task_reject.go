package registry

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// unavailable returns the reason for which a replica that has failed rejects messages.
// It is not for proposals that may have reached the log.
func unavailable(cause error) *result.Error {
	e := result.Wrap(result.StorageFailed, cause, "the registry replica on this VM can't serve")
	e.Ran = result.NotRun
	return e
}

// rejectOutstanding answers the pending and the queued requests when the replica
// stops for the given reason.
func (r *replica) rejectOutstanding(mailbox task.Mailbox[message], reason *result.Error) {
	for index := range r.pending {
		r.answerUnknown(index)
	}
	for id, q := range r.reads {
		r.finishRead(id, q, reason)
	}
	for _, w := range r.versionWaiters {
		reject(w.request, reason)
	}
	for mailbox.Len() > 0 {
		reject(<-mailbox.C(), reason)
	}
}

// reject answers a message that the replica has not handled.
func reject(m message, reason *result.Error) {
	switch m := m.(type) {
	case inbound:
		if m.reply != nil {
			m.reply.Answer(nil)
		}
	case proposal:
		m.reply.Answer(answer{err: reason})
	case memberProposal:
		m.reply.Answer(answer{err: reason})
	case readRequest:
		m.reply.Answer(answer{err: reason})
	case statusRequest:
		m.reply.Answer(statusAnswer{err: reason})
	case versionWaitRequest:
		m.reply.Answer(answer{err: result.Wrap(result.CommitUnknown, reason, "wait for version %d", m.version)})
	}
}

// rejectFor rejects all messages for a while, or until ctx ends.
func rejectFor(ctx context.Context, mailbox task.Mailbox[message], while time.Duration, reason *result.Error) {
	timer := time.NewTimer(while)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			return
		case m := <-mailbox.C():
			reject(m, reason)
		}
	}
}
