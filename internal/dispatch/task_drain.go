package dispatch

import "github.com/comfreynotch/comfreynotch/internal/grant"

// drain asks for the end of the work on one assignment or one target.
type drain struct {
	drain grant.Drain
	done  func()
}

func (drain) isMessage() {}

// Drain stops new work on an assignment, or on a target that the table asks
// back, and calls done when none waits or runs. done must not wait.
func (t *Task) Drain(d grant.Drain, done func()) error {
	return t.control.Post(drain{d, done})
}

func (t *Task) startDrain(m drain) {
	if id := m.drain.Target.Target; id != "" {
		t.drains.drainTarget(id, m.done)
		return
	}
	s := m.drain.Shard
	t.drains.drainShard(shardKey{s.Service, s.Shard}, s.Fence, m.done)
}
