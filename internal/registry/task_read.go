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
	readTicks     = 5   // until an unanswered read is asked again
	readLifeTicks = 50  // until its asker gets an answer all the same
	waitLifeTicks = 100 // until one who waits for a version gets an answer all the same
)

// reachWaiter waits until a version is published.
type reachWaiter struct {
	question reachQuestion
	age      int // ticks
}

// read waits for a proof that the replica is up to date.
type read struct {
	asked time.Time
	age   int // ticks
	index raft.Index
	ready bool               // index is known
	reply task.Reply[answer] // nil: the task's own
}

func (r *replica) tick() {
	r.ticks++
	r.core.Tick()
	for id, q := range r.reads {
		q.age++
		switch {
		case q.age >= readLifeTicks:
			r.finishRead(id, q, result.New(result.NoLeader, "no majority of the registry confirmed the read"))
		case !q.ready && (q.age%readTicks == 0 || r.confirmedAt.IsZero()):
			_ = r.core.Read(id, q.lazy())
		}
	}
	for _, w := range r.waiters {
		w.age++
	}
	r.answerWaiters()
	if r.refresh == 0 && (r.confirmedAt.IsZero() || r.ticks%refreshTicks == 0) {
		r.refresh = r.ask(nil)
	}
}

// ask asks the core for a read and returns its id. A read that the core can't
// take now is asked again by tick.
func (r *replica) ask(reply task.Reply[answer]) uint64 {
	r.readID++
	r.reads[r.readID] = &read{asked: clock.Now(), reply: reply}
	_ = r.core.Read(r.readID, r.reads[r.readID].lazy())
	return r.readID
}

// lazy reports whether the read may wait for a heartbeat: nobody waits for it.
func (q *read) lazy() bool { return q.reply == nil }

func (r *replica) finishRead(id uint64, q *read, err error) {
	delete(r.reads, id)
	if id == r.refresh {
		r.refresh = 0
	}
	if err == nil && q.asked.After(r.confirmedAt) {
		first := r.confirmedAt.IsZero()
		r.confirmedAt = q.asked
		r.publish(nil, first)
	}
	if q.reply != nil {
		q.reply.Answer(answer{version: r.machine.state.Version, err: err})
	}
}

// confirm finishes the reads whose index the state machine has reached.
func (r *replica) confirm(states []raft.ReadState) {
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

// answerWaiters answers those whose version is published, and those who waited
// for too long.
func (r *replica) answerWaiters() {
	version := r.state.Load().Version
	r.waiters = slices.DeleteFunc(r.waiters, func(w *reachWaiter) bool {
		switch {
		case w.question.version <= version:
			w.question.reply.Answer(answer{version: version})
		case w.age >= waitLifeTicks:
			w.question.reply.Answer(answer{err: result.New(result.CommitUnknown, "version %d did not come", w.question.version)})
		default:
			return false
		}
		return true
	})
}
