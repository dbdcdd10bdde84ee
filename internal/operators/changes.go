package operators

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// PutDataCentre adds a data centre or replaces its properties.
func (s *Server) PutDataCentre(ctx context.Context, r *operatorspb.PutDataCentreRequest) (*operatorspb.ChangeAnswer, error) {
	status, err := parseStatus("data_centre.status", r.GetDataCentre().GetStatus())
	if err == nil {
		err = checkName("data_centre.name", r.GetDataCentre().GetName())
	}
	if err != nil {
		return nil, toTwirp(err)
	}
	return s.propose(ctx, r.GetChange(), config.PutDataCentre{DataCentre: config.DataCentre{
		Name:   core.DataCentre(r.GetDataCentre().GetName()),
		Region: core.Region(r.GetDataCentre().GetRegion()),
		Status: status,
	}})
}

// SetDataCentreStatus sets the status of a data centre: in, leaving, out or dead.
func (s *Server) SetDataCentreStatus(ctx context.Context, r *operatorspb.SetDataCentreStatusRequest) (*operatorspb.ChangeAnswer, error) {
	status, err := parseStatus("status", r.GetStatus())
	if err != nil {
		return nil, toTwirp(err)
	}
	dc, ok := s.components.Registry.Current().DataCentres[core.DataCentre(r.GetName())]
	if !ok {
		return nil, toTwirp(result.New(result.NotFound, "no data centre is named %q", r.GetName()))
	}
	dc.Status = status
	return s.propose(ctx, r.GetChange(), config.PutDataCentre{DataCentre: dc})
}

// PutCell adds a cell or replaces its members.
func (s *Server) PutCell(ctx context.Context, r *operatorspb.PutCellRequest) (*operatorspb.ChangeAnswer, error) {
	if err := checkCell(r.GetCell()); err != nil {
		return nil, toTwirp(err)
	}
	c := config.PutCell{Cell: config.Cell{
		Name:       core.Cell(r.GetCell().GetName()),
		DataCentre: core.DataCentre(r.GetCell().GetDataCentre()),
	}}
	for _, vm := range r.GetCell().GetMembers() {
		c.Cell.Members = append(c.Cell.Members, core.VM(vm.GetName()))
		c.VMs = append(c.VMs, vmFromWire(vm))
	}
	return s.propose(ctx, r.GetChange(), c)
}

func vmFromWire(vm *operatorspb.VM) config.VM {
	return config.VM{Name: core.VM(vm.GetName()), InnerAddress: vm.GetInnerAddress()}
}

// PutWorkspace adds a workspace or replaces its limits.
func (s *Server) PutWorkspace(ctx context.Context, r *operatorspb.PutWorkspaceRequest) (*operatorspb.ChangeAnswer, error) {
	w := r.GetWorkspace()
	if err := checkWorkspace(w); err != nil {
		return nil, toTwirp(err)
	}
	return s.propose(ctx, r.GetChange(), config.PutWorkspace{Workspace: config.Workspace{
		Name: core.Workspace(w.GetName()), Rate: w.GetRate(), Burst: w.GetBurst(),
	}})
}

// DeleteWorkspace removes a workspace and its caller keys.
func (s *Server) DeleteWorkspace(ctx context.Context, r *operatorspb.DeleteWorkspaceRequest) (*operatorspb.ChangeAnswer, error) {
	return s.propose(ctx, r.GetChange(), config.DeleteWorkspace{Name: core.Workspace(r.GetName())})
}

// CreateCallerKey stores a caller key. The client generates the secret and sends
// only its hash.
func (s *Server) CreateCallerKey(ctx context.Context, r *operatorspb.CreateCallerKeyRequest) (*operatorspb.ChangeAnswer, error) {
	if err := checkCallerKey(r); err != nil {
		return nil, toTwirp(err)
	}
	return s.propose(ctx, r.GetChange(), config.PutCallerKey{Key: config.CallerKey{
		ID: r.GetId(), Workspace: core.Workspace(r.GetWorkspace()), Hash: config.KeyHash(r.GetSecretSha256()),
	}})
}

// WithdrawCallerKey revokes a caller key.
func (s *Server) WithdrawCallerKey(ctx context.Context, r *operatorspb.WithdrawCallerKeyRequest) (*operatorspb.ChangeAnswer, error) {
	return s.propose(ctx, r.GetChange(), config.DeleteCallerKey{ID: r.GetId()})
}

// PutService adds a service or replaces its properties.
func (s *Server) PutService(ctx context.Context, r *operatorspb.PutServiceRequest) (*operatorspb.ChangeAnswer, error) {
	v := r.GetService()
	if err := checkService(v); err != nil {
		return nil, toTwirp(err)
	}
	return s.propose(ctx, r.GetChange(), config.PutService{Service: config.Service{
		Name:             core.Service(v.GetName()),
		Keyed:            v.GetKeyed(),
		KeyHeader:        v.GetKeyHeader(),
		Shards:           v.GetShards(),
		ChecksFence:      v.GetChecksFence(),
		RepeatableGET:    v.GetRepeatableGet(),
		Deadline:         time.Duration(v.GetDeadlineMs()) * time.Millisecond,
		MaxBodyBytes:     v.GetMaxBodyBytes(),
		MaxHeldBytes:     v.GetMaxHeldBytes(),
		QueuePerSlot:     int(v.GetQueuePerSlot()),
		IdempotencyTTL:   time.Duration(v.GetIdempotencyTtlMs()) * time.Millisecond,
		DispatchGroup:    int(v.GetDispatchGroup()),
		ConnectionsLimit: int(v.GetConnectionsLimit()),
	}})
}

// DeleteService removes a service from the configuration.
func (s *Server) DeleteService(ctx context.Context, r *operatorspb.DeleteServiceRequest) (*operatorspb.ChangeAnswer, error) {
	return s.propose(ctx, r.GetChange(), config.DeleteService{Name: core.Service(r.GetName())})
}
