package dispatch

import (
	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/grant"
)

// drain requests the drain of one assignment or one target.
type drain struct {
	drain grant.Drain
	done  func()
}

func (drain) isMessage() {}

// Drain stops new requests for an assignment, or for a target that the table marks
// for release, and calls done once none waits or runs. done must not block.
func (t *Task) Drain(d grant.Drain, done func()) error {
	return t.control.Post(drain{d, done})
}

// setHotKeys records which shards hold a single key.
func (t *Task) setHotKeys(table *cell.Table) {
	t.hotKeys = map[shardKey]uint64{}
	for service, keys := range table.HotKeys {
		for hash, shard := range keys {
			t.hotKeys[shardKey{service, shard}] = hash
		}
	}
}

func (t *Task) startDrain(m drain) {
	if id := m.drain.Target.Target; id != "" {
		t.drains.drainTarget(id, m.done)
		return
	}
	s := m.drain.Shard
	k := shardKey{s.Service, s.Shard}
	if hash, own := t.hotKeys[k]; own {
		t.drains.drainKey(k, hash, s.Fence, m.done)
		return
	}
	t.drains.drainShard(k, s.Fence, m.done)
}
