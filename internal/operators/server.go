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

// Registry orders changes of the configuration.
type Registry interface {
	Propose(ctx context.Context, c config.Command) (*config.State, error)
	Current() *config.State
}

// RegistryStatus is what a daemon knows of the registry's members.
type RegistryStatus struct {
	Leader core.VM // empty: none known
	Term   uint64
	Voters []core.VM
	Commit uint64 // index of the newest committed entry known
}

// Voters changes and shows the members of the registry.
type Voters interface {
	AddVoter(ctx context.Context, vm config.VM) error
	RemoveVoter(ctx context.Context, vm core.VM) error
	Status(ctx context.Context) (RegistryStatus, error)
}

// Cell shows this daemon's cell.
type Cell interface {
	Table() *cell.Table
	Coordinator() core.VM // empty: none known
}

// Tables shows the cells of other daemons.
type Tables interface {
	TableOf(ctx context.Context, c core.Cell) (*cell.Table, error)
}

// Assigner gives a shard to a target. It returns once a majority of the shard's
// home cell holds the assignment.
type Assigner interface {
	Assign(ctx context.Context, s core.Service, shard core.Shard, to core.TargetID) error
}

// HotKey is one key of a service that gets many requests.
type HotKey struct {
	Key    string
	Rate   float64 // requests a second
	Target core.TargetID
	Pinned bool
}

// HotKeys lists hot keys and gives them targets of their own.
type HotKeys interface {
	List(ctx context.Context, s core.Service) ([]HotKey, error)
	Pin(ctx context.Context, s core.Service, key string, to core.TargetID) error
	Unpin(ctx context.Context, s core.Service, key string) error
}

// Recorder gives out this daemon's events.
type Recorder interface {
	Events(ctx context.Context, q timeline.Query) ([]timeline.Event, error)
}

// Peers gives out the events of other daemons.
type Peers interface {
	Fetch(ctx context.Context, from config.VM, q timeline.Query) ([]timeline.Event, error)
}

// Parts are what the server speaks to. A nil part makes the calls that need it
// answer "unsupported".
type Parts struct {
	Registry Registry
	Voters   Voters
	Cell     Cell
	Tables   Tables
	Assigner Assigner
	HotKeys  HotKeys
	Recorder Recorder
	Peers    Peers
	View     func() health.View // what this daemon sees now
}

// Server answers operators.
type Server struct{ parts Parts }

var _ operatorspb.Operators = (*Server)(nil)

// NewServer returns the operators' server of one daemon.
func NewServer(p Parts) *Server { return &Server{parts: p} }

func unsupported(call string) error {
	return toTwirp(result.New(result.Unsupported, "this daemon has no part that answers %s", call))
}

func (s *Server) version() uint64 { return uint64(s.parts.Registry.Current().Version) }

// propose asks the registry for a change of the configuration.
func (s *Server) propose(ctx context.Context, c *operatorspb.Change, change config.Change) (*operatorspb.ChangeAnswer, error) {
	id := c.GetRequestId()
	if id == "" {
		id = rand.Text()
	}
	state, err := s.parts.Registry.Propose(ctx, config.Command{
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

// act runs an idempotent change outside the configuration, if the version that
// the operator saw is in force.
func (s *Server) act(c *operatorspb.Change, do func() error) (*operatorspb.ChangeAnswer, error) {
	if want := c.GetExpectedVersion(); want != 0 && want != s.version() {
		return nil, toTwirp(result.New(result.VersionConflict,
			"version %d is in force, the change expects %d", s.version(), want))
	}
	if err := do(); err != nil {
		return nil, toTwirp(err)
	}
	return &operatorspb.ChangeAnswer{Version: s.version()}, nil
}

// tableOf returns the table of a cell; empty: of this daemon's.
func (s *Server) tableOf(ctx context.Context, c core.Cell) (*cell.Table, error) {
	here := s.parts.Cell.Table()
	if c == "" || c == here.Cell {
		return here, nil
	}
	if _, ok := s.parts.Registry.Current().Cells[c]; !ok {
		return nil, result.New(result.NotFound, "cell %q", c)
	}
	if s.parts.Tables == nil {
		return nil, result.New(result.Unsupported, "this daemon cannot ask other cells")
	}
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return s.parts.Tables.TableOf(ctx, c)
}
