// Package operators is the operators' edge: it turns the calls of
// api/operators.proto into commands of the configuration and back.
package operators

import (
	"context"
	"crypto/rand"
	"errors"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Registry orders changes of the configuration.
type Registry interface {
	Propose(ctx context.Context, c config.Command) (*config.State, error)
	Current() *config.State
}

// Tables shows this daemon's cell.
type Tables interface{ Table() *cell.Table }

// Server answers operators.
type Server struct {
	self     core.VM
	registry Registry
	tables   Tables
}

var _ operatorspb.Operators = (*Server)(nil)

// NewServer returns the operators' server of daemon self.
func NewServer(self core.VM, r Registry, t Tables) *Server {
	return &Server{self: self, registry: r, tables: t}
}

func (s *Server) propose(ctx context.Context, c *operatorspb.Change, change config.Change) (*operatorspb.ChangeAnswer, error) {
	id := c.GetRequestId()
	if id == "" {
		id = rand.Text()
	}
	state, err := s.registry.Propose(ctx, config.Command{
		RequestID: id,
		Expected:  core.Version(c.GetExpectedVersion()),
		Change:    change,
	})
	if err != nil {
		return nil, toTwirp(err)
	}
	return &operatorspb.ChangeAnswer{Version: uint64(state.Version)}, nil
}

// MetaCode names the field of a twirp error that carries the result code.
const MetaCode = "result_code"

func toTwirp(err error) error {
	e := result.From(err)
	code := map[result.Code]twirp.ErrorCode{
		result.VersionConflict: twirp.Aborted,
		result.InvalidChange:   twirp.InvalidArgument,
		result.NotFound:        twirp.NotFound,
		result.Unauthenticated: twirp.Unauthenticated,
		result.NoLeader:        twirp.Unavailable,
		result.Overloaded:      twirp.ResourceExhausted,
	}[e.Code]
	if code == twirp.NoError {
		code = twirp.Internal
	}
	return twirp.NewError(code, e.Error()).WithMeta(MetaCode, strconv.Itoa(int(e.Code)))
}

// FromTwirp returns the typed error that toTwirp encoded.
func FromTwirp(err error) error {
	var te twirp.Error
	if !errors.As(err, &te) {
		return err
	}
	n, convErr := strconv.ParseUint(te.Meta(MetaCode), 10, 16)
	if convErr != nil {
		return err
	}
	return result.New(result.Code(n), "%s", te.Msg())
}

var statusNames = map[config.DataCentreStatus]string{
	config.DataCentreIn:      "in",
	config.DataCentreLeaving: "leaving",
	config.DataCentreOut:     "out",
	config.DataCentreDead:    "dead",
}

func parseStatus(name string) (config.DataCentreStatus, error) {
	for status, n := range statusNames {
		if n == name {
			return status, nil
		}
	}
	return 0, result.New(result.InvalidChange, "data centre status %q: want in, leaving, out or dead", name)
}

// PutDataCentre adds a data centre or changes its status.
func (s *Server) PutDataCentre(ctx context.Context, r *operatorspb.PutDataCentreRequest) (*operatorspb.ChangeAnswer, error) {
	status, err := parseStatus(r.GetDataCentre().GetStatus())
	if err != nil {
		return nil, toTwirp(err)
	}
	return s.propose(ctx, r.GetChange(), config.PutDataCentre{DataCentre: config.DataCentre{
		Name:   core.DataCentre(r.GetDataCentre().GetName()),
		Region: core.Region(r.GetDataCentre().GetRegion()),
		Status: status,
	}})
}

// PutCell adds a cell or replaces its members.
func (s *Server) PutCell(ctx context.Context, r *operatorspb.PutCellRequest) (*operatorspb.ChangeAnswer, error) {
	c := config.PutCell{Cell: config.Cell{
		Name:       core.Cell(r.GetCell().GetName()),
		DataCentre: core.DataCentre(r.GetCell().GetDataCentre()),
	}}
	for _, vm := range r.GetCell().GetMembers() {
		name := core.VM(vm.GetName())
		c.Cell.Members = append(c.Cell.Members, name)
		c.VMs = append(c.VMs, config.VM{Name: name, InnerAddress: vm.GetInnerAddress()})
	}
	return s.propose(ctx, r.GetChange(), c)
}

// PutWorkspace adds a workspace or replaces its limits.
func (s *Server) PutWorkspace(ctx context.Context, r *operatorspb.PutWorkspaceRequest) (*operatorspb.ChangeAnswer, error) {
	w := r.GetWorkspace()
	return s.propose(ctx, r.GetChange(), config.PutWorkspace{Workspace: config.Workspace{
		Name: core.Workspace(w.GetName()), Rate: w.GetRate(), Burst: w.GetBurst(),
	}})
}

// DeleteWorkspace removes a workspace and its caller keys.
func (s *Server) DeleteWorkspace(ctx context.Context, r *operatorspb.DeleteWorkspaceRequest) (*operatorspb.ChangeAnswer, error) {
	return s.propose(ctx, r.GetChange(), config.DeleteWorkspace{Name: core.Workspace(r.GetName())})
}

// CreateCallerKey grants a new caller key and shows its secret this once.
func (s *Server) CreateCallerKey(ctx context.Context, r *operatorspb.CreateCallerKeyRequest) (*operatorspb.CreateCallerKeyAnswer, error) {
	secret := rand.Text()
	answer, err := s.propose(ctx, r.GetChange(), config.PutCallerKey{Key: config.CallerKey{
		ID: r.GetId(), Workspace: core.Workspace(r.GetWorkspace()), Hash: config.HashSecret(secret),
	}})
	if err != nil {
		return nil, err
	}
	return &operatorspb.CreateCallerKeyAnswer{Version: answer.GetVersion(), Secret: secret}, nil
}

// WithdrawCallerKey withdraws a caller key.
func (s *Server) WithdrawCallerKey(ctx context.Context, r *operatorspb.WithdrawCallerKeyRequest) (*operatorspb.ChangeAnswer, error) {
	return s.propose(ctx, r.GetChange(), config.DeleteCallerKey{ID: r.GetId()})
}

// PutService adds a service or replaces its properties.
func (s *Server) PutService(ctx context.Context, r *operatorspb.PutServiceRequest) (*operatorspb.ChangeAnswer, error) {
	v := r.GetService()
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

// DeleteService removes a service.
func (s *Server) DeleteService(ctx context.Context, r *operatorspb.DeleteServiceRequest) (*operatorspb.ChangeAnswer, error) {
	return s.propose(ctx, r.GetChange(), config.DeleteService{Name: core.Service(r.GetName())})
}
