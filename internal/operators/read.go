package operators

import (
	"cmp"
	"context"
	"maps"
	"slices"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/health"
)

// GetConfiguration returns the configuration in force at this daemon.
func (s *Server) GetConfiguration(context.Context, *operatorspb.GetConfigurationRequest) (*operatorspb.Configuration, error) {
	state := s.components.Registry.Current()
	c := &operatorspb.Configuration{
		Version: uint64(state.Version), DataCentres: dataCentresToWire(state), CallerKeys: callerKeysToWire(state, ""),
	}
	for _, cell := range sorted(state.Cells) {
		c.Cells = append(c.Cells, cellToWire(state, cell))
	}
	for _, w := range sorted(state.Workspaces) {
		c.Workspaces = append(c.Workspaces, &operatorspb.Workspace{Name: string(w.Name), Rate: w.Rate, Burst: w.Burst})
	}
	for _, svc := range sorted(state.Services) {
		c.Services = append(c.Services, serviceToWire(svc))
	}
	return c, nil
}

// ListCallerKeys returns the caller keys of a workspace, or of all workspaces if
// the request names none.
func (s *Server) ListCallerKeys(_ context.Context, r *operatorspb.ListCallerKeysRequest) (*operatorspb.CallerKeys, error) {
	state := s.components.Registry.Current()
	return &operatorspb.CallerKeys{Version: uint64(state.Version), CallerKeys: callerKeysToWire(state, r.GetWorkspace())}, nil
}

// sorted returns the values of m in ascending order of their keys.
func sorted[K cmp.Ordered, V any](m map[K]V) []V {
	values := make([]V, 0, len(m))
	for _, k := range slices.Sorted(maps.Keys(m)) {
		values = append(values, m[k])
	}
	return values
}

func dataCentresToWire(state *config.State) []*operatorspb.DataCentre {
	var all []*operatorspb.DataCentre
	for _, dc := range sorted(state.DataCentres) {
		all = append(all, &operatorspb.DataCentre{
			Name: string(dc.Name), Region: string(dc.Region), Status: statusNames[dc.Status],
		})
	}
	return all
}

func callerKeysToWire(state *config.State, workspace string) []*operatorspb.CallerKey {
	var keys []*operatorspb.CallerKey
	for _, k := range state.CallerKeys {
		if workspace == "" || workspace == string(k.Workspace) {
			keys = append(keys, &operatorspb.CallerKey{Id: k.ID, Workspace: string(k.Workspace)})
		}
	}
	slices.SortFunc(keys, func(a, b *operatorspb.CallerKey) int { return cmp.Compare(a.Id, b.Id) })
	return keys
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

// GetStatus returns the configuration version in force at this daemon, the
// registry's leader, the cell's coordinator and the current problems.
func (s *Server) GetStatus(ctx context.Context, _ *operatorspb.GetStatusRequest) (*operatorspb.Status, error) {
	view := s.components.View()
	status := &operatorspb.Status{
		Vm: string(view.Self), Version: uint64(view.State.Version), DataCentre: string(view.DataCentre),
		Cell: string(view.Table.Cell), Coordinator: string(view.Coordinator), LeaseLive: view.LeaseLive,
		DataCentres: dataCentresToWire(view.State), Targets: targetsToWire(view.Table, ""),
	}
	_, status.Ready = health.Ready(view)
	if s.components.Voters != nil {
		registry, err := s.components.Voters.Status(ctx)
		if err != nil {
			return nil, toTwirp(err)
		}
		status.Registry = registryToWire(registry)
	}
	for _, p := range health.Problems(view) {
		status.Problems = append(status.Problems, &operatorspb.Problem{What: p.What, Doing: p.Doing, Code: uint32(p.Code)})
	}
	return status, nil
}

func registryToWire(r RegistryStatus) *operatorspb.RegistryStatus {
	w := &operatorspb.RegistryStatus{Leader: string(r.Leader), Term: r.Term, CommitIndex: r.Commit}
	for _, v := range r.Voters {
		w.Voters = append(w.Voters, string(v))
	}
	return w
}
