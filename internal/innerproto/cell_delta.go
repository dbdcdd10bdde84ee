package innerproto

import (
	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
)

func deltaToWire(d *cell.Delta) *innerpb.CellDelta {
	if d == nil {
		return nil
	}
	w := &innerpb.CellDelta{
		Cell: string(d.Cell), Base: fenceToWire(d.Base), Fence: fenceToWire(d.Fence),
		Coordinator: string(d.Coordinator), Config: uint64(d.Config), Unsettled: d.Recovering, Gone: idsToWire(d.RemovedTargets),
	}
	for _, e := range d.Targets {
		w.Targets = append(w.Targets, &innerpb.CellTargetEntry{
			Target: targetToWire(e.Target), Dispatcher: string(e.Dispatcher), Fence: fenceToWire(e.Fence), Releasing: e.Releasing,
		})
	}
	services := &serviceChanges{byName: map[core.Service]*innerpb.CellServiceChange{}, runs: map[cell.Assignment]*innerpb.CellShardRun{}}
	services.add(d)
	w.Services = services.list
	return w
}

// serviceChanges groups a delta's changes by service, and within a service the
// shards that have the same assignment.
type serviceChanges struct {
	list        []*innerpb.CellServiceChange
	byName      map[core.Service]*innerpb.CellServiceChange
	runs        map[cell.Assignment]*innerpb.CellShardRun // of the service runsService
	runsService core.Service
}

func (s *serviceChanges) forService(name core.Service) *innerpb.CellServiceChange {
	c := s.byName[name]
	if c == nil {
		c = &innerpb.CellServiceChange{Service: string(name)}
		s.byName[name] = c
		s.list = append(s.list, c)
	}
	return c
}

func (s *serviceChanges) add(d *cell.Delta) {
	for _, z := range d.ShardCounts {
		c := s.forService(z.Service)
		c.Resized, c.Count = true, uint32(z.Count)
	}
	for _, name := range d.RemovedServices {
		s.forService(name).Dropped = true
	}
	for _, change := range d.Shards {
		s.addShard(change)
	}
	for _, h := range d.HotKeys {
		c := s.forService(h.Service)
		c.HotKeys = append(c.HotKeys, &innerpb.CellHotKey{Hash: h.Hash, Shard: uint32(h.Shard), Removed: h.Removed})
	}
	for _, p := range d.Pins {
		c := s.forService(p.Service)
		c.Pins = append(c.Pins, &innerpb.CellPin{Shard: uint32(p.Shard), Target: string(p.Owner.Target), Automatic: p.Owner.Automatic})
	}
}

func (s *serviceChanges) addShard(change cell.ShardChange) {
	if change.Service != s.runsService {
		s.runsService = change.Service
		clear(s.runs)
	}
	run := s.runs[change.Assignment]
	if run == nil {
		a := change.Assignment
		run = &innerpb.CellShardRun{Target: string(a.Target), Fence: fenceToWire(a.Fence), Releasing: a.Releasing}
		s.runs[a] = run
		c := s.forService(change.Service)
		c.Shards = append(c.Shards, run)
	}
	run.Shards = append(run.Shards, uint32(change.Shard))
}

func deltaFromWire(w *innerpb.CellDelta) *cell.Delta {
	if w == nil {
		return nil
	}
	d := &cell.Delta{
		Cell: core.Cell(w.Cell), Base: fenceFromWire(w.Base), Fence: fenceFromWire(w.Fence), Coordinator: core.VM(w.Coordinator), Config: core.Version(w.Config), Recovering: w.Unsettled,
	}
	for _, e := range w.Targets {
		d.Targets = append(d.Targets, cell.TargetEntry{
			Target: targetFromWire(e.Target), Dispatcher: core.VM(e.Dispatcher), Fence: fenceFromWire(e.Fence), Releasing: e.Releasing,
		})
	}
	for _, id := range w.Gone {
		d.RemovedTargets = append(d.RemovedTargets, core.TargetID(id))
	}
	for _, c := range w.Services {
		serviceFromWire(d, c)
	}
	return d
}

func serviceFromWire(d *cell.Delta, c *innerpb.CellServiceChange) {
	name := core.Service(c.Service)
	if c.Dropped {
		d.RemovedServices = append(d.RemovedServices, name)
	}
	if c.Resized {
		d.ShardCounts = append(d.ShardCounts, cell.ShardCount{Service: name, Count: int(c.Count)})
	}
	for _, run := range c.Shards {
		a := cell.Assignment{Target: core.TargetID(run.Target), Fence: fenceFromWire(run.Fence), Releasing: run.Releasing}
		for _, s := range run.Shards {
			d.Shards = append(d.Shards, cell.ShardChange{Service: name, Shard: core.Shard(s), Assignment: a})
		}
	}
	for _, h := range c.HotKeys {
		d.HotKeys = append(d.HotKeys, cell.HotKeyChange{Service: name, Hash: h.Hash, Shard: core.Shard(h.Shard), Removed: h.Removed})
	}
	for _, p := range c.Pins {
		d.Pins = append(d.Pins, cell.PinChange{Service: name, Shard: core.Shard(p.Shard), Owner: cell.PinnedOwner{Target: core.TargetID(p.Target), Automatic: p.Automatic}})
	}
}
