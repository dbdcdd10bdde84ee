package cell

import (
	"maps"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Pin fixes the owner of a shard, or of a single key, which then gets a shard of
// its own.
type Pin struct {
	Service core.Service
	Shard   core.Shard // of the key, when Key is set
	Key     bool
	Hash    uint64        // of the key
	Target  core.TargetID // empty: the pin is removed
	// Automatic marks a pin that was set to balance load. It neither replaces nor
	// removes a pin of an operator.
	Automatic bool
}

// pin enters a pin in t, whose outer maps may be modified. The shard of a single
// key is first assigned to the owner of the shard that the key was in, and moves
// from there like any other shard, so that the key never has two owners.
func (t *Table) pin(pin Pin, in Inputs) {
	svc, ok := in.State.Services[pin.Service]
	if !ok || uint32(pin.Shard) >= svc.Shards {
		return
	}
	shard := pin.Shard
	if pin.Key {
		shard, ok = t.HotKey(pin.Service, pin.Hash)
		if !ok {
			shard = t.addHotKey(svc, pin, in.Fence)
		}
	}
	if old := t.Pins[pin.Service][shard]; pin.Automatic && old.Target != "" && !old.Automatic {
		return
	}
	t.setPin(pin.Service, shard, pin.owner())
}

func (p Pin) owner() PinnedOwner {
	if p.Target == "" {
		return PinnedOwner{}
	}
	return PinnedOwner{Target: p.Target, Automatic: p.Automatic}
}

// HasPin reports whether t contains the pin, or does not if p removes it.
func (t *Table) HasPin(p Pin) bool {
	shard := p.Shard
	if p.Key {
		var ok bool
		if shard, ok = t.HotKey(p.Service, p.Hash); !ok {
			return false
		}
	}
	return t.Pins[p.Service][shard] == p.owner()
}

func (t *Table) addHotKey(svc config.Service, pin Pin, fence core.Fence) core.Shard {
	shard := core.Shard(t.shardCount(svc))
	keys := maps.Clone(t.HotKeys[svc.Name])
	if keys == nil {
		keys = map[uint64]core.Shard{}
	}
	keys[pin.Hash] = shard
	t.HotKeys[svc.Name] = keys
	shards := make([]Assignment, shard+1)
	copy(shards, t.Shards[svc.Name])
	if a, _, ok := t.Owner(svc.Name, pin.Shard); ok {
		shards[shard] = Assignment{Target: a.Target, Fence: fence}
	}
	t.Shards[svc.Name] = shards
	return shard
}

// shardCount returns the number of shards of a service, hot keys included.
func (t *Table) shardCount(svc config.Service) int {
	return int(svc.Shards) + len(t.HotKeys[svc.Name])
}

func (t *Table) setPin(service core.Service, shard core.Shard, owner PinnedOwner) {
	pins := maps.Clone(t.Pins[service])
	if pins == nil {
		pins = map[core.Shard]PinnedOwner{}
	}
	if owner.Target == "" {
		delete(pins, shard)
	} else {
		pins[shard] = owner
	}
	t.Pins[service] = pins
}
