package operators

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// GetConfiguration returns the configuration in force at this daemon.
func (s *Server) GetConfiguration(context.Context, *operatorspb.GetConfigurationRequest) (*operatorspb.Configuration, error) {
	state := s.registry.Current()
	c := &operatorspb.Configuration{Version: uint64(state.Version)}
	for _, dc := range sorted(state.DataCentres) {
		c.DataCentres = append(c.DataCentres, &operatorspb.DataCentre{
			Name: string(dc.Name), Region: string(dc.Region), Status: statusNames[dc.Status],
		})
	}
	for _, cell := range sorted(state.Cells) {
		c.Cells = append(c.Cells, cellToWire(state, cell))
	}
	for _, w := range sorted(state.Workspaces) {
		c.Workspaces = append(c.Workspaces, &operatorspb.Workspace{Name: string(w.Name), Rate: w.Rate, Burst: w.Burst})
	}
	for _, k := range state.CallerKeys {
		c.CallerKeys = append(c.CallerKeys, &operatorspb.CallerKey{Id: k.ID, Workspace: string(k.Workspace)})
	}
	slices.SortFunc(c.CallerKeys, func(a, b *operatorspb.CallerKey) int { return cmp.Compare(a.Id, b.Id) })
	for _, svc := range sorted(state.Services) {
		c.Services = append(c.Services, serviceToWire(svc))
	}
	return c, nil
}

// sorted returns the values of m in the order of their names.
func sorted[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

func cellToWire(state *config.State, c config.Cell) *operatorspb.Cell {
	w := &operatorspb.Cell{Name: string(c.Name), DataCentre: string(c.DataCentre), Epoch: uint64(c.Epoch)}
	for _, m := range c.Members {
		w.Members = append(w.Members, &operatorspb.VM{Name: string(m), InnerAddress: state.VMs[m].InnerAddress})
	}
	return w
}

func serviceToWire(s config.Service) *operatorspb.Service {
	return &operatorspb.Service{
		Name: string(s.Name), Keyed: s.Keyed, KeyHeader: s.KeyHeader, Shards: s.Shards,
		ChecksFence: s.ChecksFence, RepeatableGet: s.RepeatableGET, DeadlineMs: s.Deadline.Milliseconds(),
		MaxBodyBytes: s.MaxBodyBytes, MaxHeldBytes: s.MaxHeldBytes, QueuePerSlot: int32(s.QueuePerSlot),
		IdempotencyTtlMs: s.IdempotencyTTL.Milliseconds(), DispatchGroup: int32(s.DispatchGroup),
		ConnectionsLimit: int32(s.ConnectionsLimit),
	}
}

// GetStatus returns what this daemon sees of its cell.
func (s *Server) GetStatus(context.Context, *operatorspb.GetStatusRequest) (*operatorspb.Status, error) {
	table := s.tables.Table()
	owned := map[core.TargetID]uint32{}
	for _, shards := range table.Shards {
		for _, a := range shards {
			owned[a.Target]++
		}
	}
	status := &operatorspb.Status{Vm: string(s.self), Version: uint64(s.registry.Current().Version)}
	for _, e := range sorted(table.Targets) {
		status.Targets = append(status.Targets, &operatorspb.TargetStatus{
			Id: string(e.Target.ID), Service: string(e.Target.Service), Address: e.Target.Address,
			Dispatcher: string(e.Dispatcher), Shards: owned[e.Target.ID],
		})
	}
	return status, nil
}
