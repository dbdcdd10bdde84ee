package registry

import (
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	readRetryTicks          = 5   // ticks between two attempts to get a read confirmed
	readTimeoutTicks        = 50  // ticks until a read fails
	versionWaitTimeoutTicks = 100 // ticks until a wait for a version fails
)

// versionWaiter is a request that waits until a version is published.
type versionWaiter struct {
	request versionWaitRequest
	age     int // ticks
}

// read is a linearizable read. It waits for a read index from the leader and until
// the state machine has applied that index.
type read struct {
	requestedAt time.Time
	age         int // ticks
	index       raft.Index
	ready       bool               // index is known: wait until it is applied
	reply       task.Reply[answer] // nil: read by the task itself, to renew confirmedAt
}

func (r *replica) tick() {
	r.ticks++
	r.core.Tick()
	for id, q := range r.reads {
		q.age++
		switch {
		case q.age >= readTimeoutTicks:
			r.finishRead(id, q, result.New(result.NoLeader, "no majority of the registry confirmed the read"))
		case !q.ready && (q.age%readRetryTicks == 0 || r.confirmedAt.IsZero()):
			_ = r.core.Read(id, q.lazy())
		}
	}
	for _, w := range r.versionWaiters {
		w.age++
	}
	r.answerVersionWaiters()
	if r.refreshReadID == 0 && (r.confirmedAt.IsZero() || r.ticks%refreshTicks == 0) {
		r.refreshReadID = r.startRead(nil)
	}
}

// startRead starts a read and returns its id. If the core rejects it now, tick
// retries it.
func (r *replica) startRead(reply task.Reply[answer]) uint64 {
	r.readID++
	r.reads[r.readID] = &read{requestedAt: clock.Now(), reply: reply}
	_ = r.core.Read(r.readID, r.reads[r.readID].lazy())
	return r.readID
}

// lazy reports whether the read may wait for the next periodic heartbeat, because
// no caller waits for it.
func (q *read) lazy() bool { return q.reply == nil }

func (r *replica) finishRead(id uint64, q *read, err error) {
	delete(r.reads, id)
	if id == r.refreshReadID {
		r.refreshReadID = 0
	}
	if err == nil && q.requestedAt.After(r.confirmedAt) {
		first := r.confirmedAt.IsZero()
		r.confirmedAt = q.requestedAt
		r.publish(nil, first)
	}
	if q.reply != nil {
		q.reply.Answer(answer{version: r.machine.state.Version, err: err})
	}
}

// completeReads records the confirmed read indexes and finishes the reads whose
// index the state machine has applied.
func (r *replica) completeReads(states []raft.ReadState) {
	for _, s := range states {
		if q, ok := r.reads[s.ID]; ok && !q.ready {
			q.ready, q.index = true, s.Index
		}
	}
	for id, q := range r.reads {
		if q.ready && q.index <= r.machine.index {
			r.finishRead(id, q, nil)
		}
	}
}

// answerVersionWaiters answers the waiters whose version is published and those
// whose wait timed out.
func (r *replica) answerVersionWaiters() {
	version := r.state.Load().Version
	r.versionWaiters = slices.DeleteFunc(r.versionWaiters, func(w *versionWaiter) bool {
		switch {
		case w.request.version <= version:
			w.request.reply.Answer(answer{version: version})
		case w.age >= versionWaitTimeoutTicks:
			w.request.reply.Answer(answer{err: result.New(result.CommitUnknown, "timed out waiting for version %d on this VM", w.request.version)})
		default:
			return false
		}
		return true
	})
}
