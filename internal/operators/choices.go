package operators

import (
	"context"
	"fmt"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/hotkeys"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/routing"
)

// OwnCell takes operators' choices for shards of this daemon's cell.
type OwnCell interface {
	Table() *cell.Table
	Assign(ctx context.Context, p cell.Pin) error
}

// Members carries a call to a member of any cell.
type Members interface {
	Call(ctx context.Context, to config.VM, from core.VM, c cell.Call) (cell.Answer, error)
}

// HotList finds the hottest keys at this daemon.
type HotList interface {
	List(ctx context.Context, s core.Service) ([]hotkeys.Key, error)
}

// Choices brings operators' choices of owners to the home cell of their shard,
// whose coordinator answers once a majority of the cell holds the choice.
type Choices struct {
	Self     core.VM
	Registry Registry
	Here     OwnCell
	Members  Members
	Hot      HotList
}

// Assign implements Assigner.
func (c Choices) Assign(ctx context.Context, s core.Service, shard core.Shard, to core.TargetID) error {
	return c.choose(ctx, cell.Pin{Service: s, Shard: shard, Target: to})
}

// Pin implements HotKeys.
func (c Choices) Pin(ctx context.Context, s core.Service, key string, to core.TargetID) error {
	return c.choose(ctx, c.keyPin(s, key, to))
}

// Unpin implements HotKeys.
func (c Choices) Unpin(ctx context.Context, s core.Service, key string) error {
	return c.choose(ctx, c.keyPin(s, key, ""))
}

func (c Choices) keyPin(s core.Service, key string, to core.TargetID) cell.Pin {
	return cell.Pin{
		Service: s, Shard: routing.Shard(key, c.Registry.Current().Services[s].Shards),
		Key: true, Hash: routing.Hash(key), Target: to,
	}
}

func (c Choices) choose(ctx context.Context, p cell.Pin) error {
	state := c.Registry.Current()
	home, ok := state.Home(p.Service, p.Shard)
	if !ok {
		return result.New(result.ShardUnassigned, "shard %d of %s has no home", p.Shard, p.Service)
	}
	table := c.Here.Table()
	if home != table.Cell {
		return c.elsewhere(ctx, state, home, p)
	}
	if t, there := table.Targets[p.Target]; p.Target != "" && (!there || t.Target.Service != p.Service) {
		return result.New(result.NotFound, "target %s of service %s in cell %s", p.Target, p.Service, home)
	}
	return c.Here.Assign(ctx, p)
}

// elsewhere asks the members of another cell until one is its coordinator.
func (c Choices) elsewhere(ctx context.Context, state *config.State, home core.Cell, p cell.Pin) error {
	var last error = result.New(result.CellUnreachable, "cell %s has no members", home)
	for _, vm := range state.Cells[home].Members {
		answer, err := c.Members.Call(ctx, state.VMs[vm], c.Self, cell.Assign{Pin: p})
		if err != nil {
			last = result.Wrap(result.CommitUnknown, err, "VM %s of cell %s", vm, home)
			continue
		}
		assigned, ok := answer.(cell.AssignAnswer)
		if !ok {
			return fmt.Errorf("VM %s answered %T", vm, answer)
		}
		if result.CodeOf(assigned.Err) != result.NoLeader {
			return assigned.Err
		}
		last = assigned.Err
	}
	return last
}

// List implements HotKeys. The rates are those of the requests that entered at
// this daemon.
func (c Choices) List(ctx context.Context, s core.Service) ([]HotKey, error) {
	found, err := c.Hot.List(ctx, s)
	if err != nil {
		return nil, err
	}
	table, shards := c.Here.Table(), c.Registry.Current().Services[s].Shards
	keys := make([]HotKey, 0, len(found))
	for _, k := range found {
		shard, own := table.HotKey(s, routing.Hash(k.Key))
		if !own {
			shard = routing.Shard(k.Key, shards)
		}
		a, _, _ := table.Owner(s, shard)
		keys = append(keys, HotKey{Key: k.Key, Rate: k.Rate, Target: a.Target, Pinned: own && table.Pins[s][shard].Target != ""})
	}
	return keys, nil
}

// TableOf implements Tables: it asks one member of another cell after the other.
func (c Choices) TableOf(ctx context.Context, of core.Cell) (*cell.Table, error) {
	state := c.Registry.Current()
	var last error = result.New(result.CellUnreachable, "cell %s has no members", of)
	for _, vm := range state.Cells[of].Members {
		answer, err := c.Members.Call(ctx, state.VMs[vm], c.Self, cell.Fetch{})
		if err != nil {
			last = result.Wrap(result.CellUnreachable, err, "VM %s of cell %s", vm, of)
			continue
		}
		if fetched, ok := answer.(cell.FetchAnswer); ok && fetched.Table != nil {
			if table, whole := cell.NewTable(of).Apply(fetched.Table); whole {
				return table, nil
			}
		}
		last = result.New(result.CellUnreachable, "VM %s of cell %s holds no table", vm, of)
	}
	return nil, last
}
