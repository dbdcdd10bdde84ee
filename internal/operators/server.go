package operators

import (
	"context"
	"crypto/rand"
	"time"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/health"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

// Registry commits configuration changes in a total order and returns the
// configuration in force at this daemon.
type Registry interface {
	Propose(ctx context.Context, c config.Command) (*config.State, error)
	Current() *config.State
}

// RegistryStatus is this daemon's view of the registry's Raft group.
type RegistryStatus struct {
	Leader core.VM // empty if unknown
	Term   uint64
	Voters []core.VM
	Commit uint64 // highest log index that this daemon knows to be committed
}

// Voters changes and reports the membership of the registry.
type Voters interface {
	AddVoter(ctx context.Context, vm config.VM) error
	RemoveVoter(ctx context.Context, vm core.VM) error
	Status(ctx context.Context) (RegistryStatus, error)
}

// Cell returns the state of this daemon's cell.
type Cell interface {
	Table() *cell.Table
	Coordinator() core.VM // empty if unknown
}

// Tables fetches the tables of other cells.
type Tables interface {
	TableOf(ctx context.Context, c core.Cell) (*cell.Table, error)
}

// Assigner assigns a shard to a target. Assign returns once a majority of the
// shard's home cell has stored the assignment.
type Assigner interface {
	Assign(ctx context.Context, s core.Service, shard core.Shard, to core.TargetID) error
}

// HotKey is a key with a high request rate.
type HotKey struct {
	Key    string
	Rate   float64 // requests per second
	Target core.TargetID
	Pinned bool
}

// HotKeys lists hot keys and pins single keys to targets.
type HotKeys interface {
	List(ctx context.Context, s core.Service) ([]HotKey, error)
	Pin(ctx context.Context, s core.Service, key string, to core.TargetID) error
	Unpin(ctx context.Context, s core.Service, key string) error
}

// Recorder returns the events that this daemon recorded.
type Recorder interface {
	Events(ctx context.Context, q timeline.Query) ([]timeline.Event, error)
}

// Peers fetches the events that other daemons recorded.
type Peers interface {
	Fetch(ctx context.Context, from config.VM, q timeline.Query) ([]timeline.Event, error)
}

// Components are the components that a Server calls. Voters, Tables, Assigner,
// HotKeys, Recorder and Peers may be nil: calls that depend on such a component
// fail with result.Unsupported or leave out its share of the answer.
type Components struct {
	Registry Registry
	Voters   Voters
	Cell     Cell
	Tables   Tables
	Assigner Assigner
	HotKeys  HotKeys
	Recorder Recorder
	Peers    Peers
	View     func() health.View // current state of this daemon
}

// Server implements the operators' API of one daemon.
type Server struct{ components Components }

var _ operatorspb.Operators = (*Server)(nil)

// NewServer returns a Server that calls the components c.
func NewServer(c Components) *Server { return &Server{components: c} }

func unsupported(call string) error {
	return toTwirp(result.New(result.Unsupported, "this daemon does not support %s", call))
}

func (s *Server) version() uint64 { return uint64(s.components.Registry.Current().Version) }

// propose submits a configuration change to the registry. If the client sent no
// request ID, it generates one; the client cannot safely retry such a change.
func (s *Server) propose(ctx context.Context, c *operatorspb.Change, change config.Change) (*operatorspb.ChangeAnswer, error) {
	id := c.GetRequestId()
	if id == "" {
		id = rand.Text()
	}
	state, err := s.components.Registry.Propose(ctx, config.Command{
		RequestID: id,
		Expected:  core.Version(c.GetExpectedVersion()),
		Change:    change,
		At:        time.Now(),
	})
	if err != nil {
		return nil, toTwirp(err)
	}
	return &operatorspb.ChangeAnswer{Version: uint64(state.Version)}, nil
}

// runIfVersion runs an idempotent change that is not part of the configuration.
// It fails with VersionConflict if the operator expects another version.
func (s *Server) runIfVersion(c *operatorspb.Change, change func() error) (*operatorspb.ChangeAnswer, error) {
	if want := c.GetExpectedVersion(); want != 0 && want != s.version() {
		return nil, toTwirp(result.New(result.VersionConflict,
			"version %d is in force, the change expects %d", s.version(), want))
	}
	if err := change(); err != nil {
		return nil, toTwirp(err)
	}
	return &operatorspb.ChangeAnswer{Version: s.version()}, nil
}

// tableOf returns the table of a cell. An empty name means this daemon's cell.
func (s *Server) tableOf(ctx context.Context, c core.Cell) (*cell.Table, error) {
	local := s.components.Cell.Table()
	if c == "" || c == local.Cell {
		return local, nil
	}
	if _, ok := s.components.Registry.Current().Cells[c]; !ok {
		return nil, result.New(result.NotFound, "no cell is named %q", c)
	}
	if s.components.Tables == nil {
		return nil, result.New(result.Unsupported, "this daemon cannot query other cells")
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return s.components.Tables.TableOf(ctx, c)
}
