package operators

import (
	"cmp"
	"context"
	"slices"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/routing"
)

// ListTargets returns the targets of a cell.
func (s *Server) ListTargets(ctx context.Context, r *operatorspb.ListTargetsRequest) (*operatorspb.Targets, error) {
	table, err := s.tableOf(ctx, core.Cell(r.GetCell()))
	if err != nil {
		return nil, toTwirp(err)
	}
	return &operatorspb.Targets{
		Version: s.version(), Cell: string(table.Cell), Targets: targetsToWire(table, core.Service(r.GetService())),
	}, nil
}

// targetsToWire encodes the targets of a service, or all targets of the table if
// service is empty.
func targetsToWire(table *cell.Table, service core.Service) []*operatorspb.TargetStatus {
	owned := map[core.TargetID]uint32{}
	for _, shards := range table.Shards {
		for _, a := range shards {
			owned[a.Target]++
		}
	}
	var targets []*operatorspb.TargetStatus
	for _, e := range sorted(table.Targets) {
		if service != "" && e.Target.Service != service {
			continue
		}
		targets = append(targets, &operatorspb.TargetStatus{
			Id: string(e.Target.ID), Service: string(e.Target.Service), Address: e.Target.Address,
			Dispatcher: string(e.Dispatcher), Shards: owned[e.Target.ID], Leaving: e.Target.Draining,
			Incarnation: uint64(e.Target.Incarnation), Slots: int32(e.Target.Slots), Connections: int32(e.Target.Connections),
		})
	}
	return targets
}

// DrainTarget stops new requests to a target, or undoes an earlier drain.
func (s *Server) DrainTarget(ctx context.Context, r *operatorspb.DrainTargetRequest) (*operatorspb.ChangeAnswer, error) {
	return s.propose(ctx, r.GetChange(), config.DrainTarget{Target: core.TargetID(r.GetTarget()), Undo: r.GetUndo()})
}

// ListHotKeys returns the hot keys of a service in descending order of their
// request rates.
func (s *Server) ListHotKeys(ctx context.Context, r *operatorspb.ListHotKeysRequest) (*operatorspb.HotKeys, error) {
	if s.components.HotKeys == nil {
		return nil, unsupported("ListHotKeys")
	}
	svc, err := s.keyedService(r.GetService())
	if err != nil {
		return nil, toTwirp(err)
	}
	keys, err := s.components.HotKeys.List(ctx, svc.Name)
	if err != nil {
		return nil, toTwirp(err)
	}
	answer := &operatorspb.HotKeys{Version: s.version()}
	slices.SortStableFunc(keys, func(a, b HotKey) int { return cmp.Compare(b.Rate, a.Rate) })
	for _, k := range keys {
		answer.Keys = append(answer.Keys, &operatorspb.HotKey{
			Service: r.GetService(), Key: k.Key, Rate: k.Rate, Target: string(k.Target), Pinned: k.Pinned,
		})
	}
	return answer, nil
}

// PinKey assigns a single key to a target, or undoes that.
func (s *Server) PinKey(ctx context.Context, r *operatorspb.PinKeyRequest) (*operatorspb.ChangeAnswer, error) {
	if s.components.HotKeys == nil {
		return nil, unsupported("PinKey")
	}
	svc, err := s.keyedService(r.GetService())
	if err == nil && r.GetKey() == "" {
		err = invalid("key", "a key", `""`)
	}
	if err == nil && r.GetTarget() == "" && !r.GetUndo() {
		err = invalid("target", "a target's name", `""`)
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	return s.runIfVersion(r.GetChange(), func() error {
		if r.GetUndo() {
			return s.components.HotKeys.Unpin(ctx, svc.Name, r.GetKey())
		}
		return s.components.HotKeys.Pin(ctx, svc.Name, r.GetKey(), core.TargetID(r.GetTarget()))
	})
}

// Assign assigns a shard to a target.
func (s *Server) Assign(ctx context.Context, r *operatorspb.AssignRequest) (*operatorspb.ChangeAnswer, error) {
	if s.components.Assigner == nil {
		return nil, unsupported("Assign")
	}
	svc, err := s.keyedService(r.GetService())
	if err != nil {
		return nil, toTwirp(err)
	}
	shard := core.Shard(r.GetShard())
	if r.GetKey() != "" {
		shard = routing.Shard(r.GetKey(), svc.Shards)
	}
	if uint32(shard) >= svc.Shards {
		return nil, toTwirp(checkRange("shard", int64(shard), 0, int64(svc.Shards)-1))
	}
	if r.GetTarget() == "" {
		return nil, toTwirp(invalid("target", "a target's name", `""`))
	}
	return s.runIfVersion(r.GetChange(), func() error {
		return s.components.Assigner.Assign(ctx, svc.Name, shard, core.TargetID(r.GetTarget()))
	})
}

// ListAssignments returns the owners of a service's shards as a cell's table
// lists them. Adjacent shards with the same owner and home cell form one entry.
func (s *Server) ListAssignments(ctx context.Context, r *operatorspb.ListAssignmentsRequest) (*operatorspb.Assignments, error) {
	svc, err := s.keyedService(r.GetService())
	if err != nil {
		return nil, toTwirp(err)
	}
	table, err := s.tableOf(ctx, core.Cell(r.GetCell()))
	if err != nil {
		return nil, toTwirp(err)
	}
	answer := &operatorspb.Assignments{Version: s.version(), Cell: string(table.Cell)}
	var run *operatorspb.Assignment
	var newest core.Fence
	for shard := range core.Shard(svc.Shards) {
		home, _ := s.components.Registry.Current().Home(svc.Name, shard)
		assignment, _, _ := table.Owner(svc.Name, shard)
		if run == nil || run.Target != string(assignment.Target) || run.HomeCell != string(home) {
			run = &operatorspb.Assignment{
				Service: string(svc.Name), FirstShard: uint32(shard), Target: string(assignment.Target), HomeCell: string(home),
			}
			newest = core.Fence{}
			answer.Assignments = append(answer.Assignments, run)
		}
		run.LastShard = uint32(shard)
		if newest.Less(assignment.Fence) {
			newest = assignment.Fence
			run.Fence = newest.String()
		}
	}
	return answer, nil
}

// keyedService returns the service called name, which must be keyed.
func (s *Server) keyedService(name string) (config.Service, error) {
	svc, ok := s.components.Registry.Current().Services[core.Service(name)]
	if !ok {
		return config.Service{}, result.New(result.NotFound, "no service is named %q", name)
	}
	if !svc.Keyed {
		return config.Service{}, result.New(result.InvalidChange, "field service: want a keyed service, but %s has no keys", name)
	}
	return svc, nil
}
