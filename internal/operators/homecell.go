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

// LocalCell assigns shards of this daemon's cell.
type LocalCell interface {
	Table() *cell.Table
	Assign(ctx context.Context, p cell.Pin) error
}

// CellTransport sends calls to members of any cell.
type CellTransport interface {
	Call(ctx context.Context, to config.VM, from core.VM, c cell.Call) (cell.Answer, error)
}

// HotKeySource returns the keys with the highest request rates at this daemon.
type HotKeySource interface {
	List(ctx context.Context, s core.Service) ([]hotkeys.Key, error)
}

// HomeCellClient sends operators' assignments and pins to the home cell of the shard.
// The cell's coordinator answers once a majority of the cell has stored them.
type HomeCellClient struct {
	Self      core.VM
	Registry  Registry
	Local     LocalCell
	Transport CellTransport
	HotKeys   HotKeySource
}

// Assign implements Assigner.Assign.
func (c HomeCellClient) Assign(ctx context.Context, s core.Service, shard core.Shard, to core.TargetID) error {
	return c.storePin(ctx, cell.Pin{Service: s, Shard: shard, Target: to})
}

// Pin implements HotKeys.Pin.
func (c HomeCellClient) Pin(ctx context.Context, s core.Service, key string, to core.TargetID) error {
	return c.storePin(ctx, c.pinOf(s, key, to))
}

// Unpin implements HotKeys.Unpin.
func (c HomeCellClient) Unpin(ctx context.Context, s core.Service, key string) error {
	return c.storePin(ctx, c.pinOf(s, key, ""))
}

func (c HomeCellClient) pinOf(s core.Service, key string, to core.TargetID) cell.Pin {
	return cell.Pin{
		Service: s, Shard: routing.Shard(key, c.Registry.Current().Services[s].Shards),
		Key: true, Hash: routing.Hash(key), Target: to,
	}
}

// storePin stores a pin in the home cell of its shard. A pin without a target
// undoes an earlier one. In this daemon's own cell it first checks that the
// target exists and serves the service.
func (c HomeCellClient) storePin(ctx context.Context, p cell.Pin) error {
	state := c.Registry.Current()
	home, ok := state.Home(p.Service, p.Shard)
	if !ok {
		return result.New(result.ShardUnassigned, "shard %d of service %s has no home cell", p.Shard, p.Service)
	}
	table := c.Local.Table()
	if home != table.Cell {
		return c.storePinRemotely(ctx, state, home, p)
	}
	if t, found := table.Targets[p.Target]; p.Target != "" && (!found || t.Target.Service != p.Service) {
		return result.New(result.NotFound, "target %s of service %s is not in cell %s", p.Target, p.Service, home)
	}
	return c.Local.Assign(ctx, p)
}

// storePinRemotely sends a pin to the members of another cell, one after the
// other, until the cell's coordinator has answered.
func (c HomeCellClient) storePinRemotely(ctx context.Context, state *config.State, home core.Cell, p cell.Pin) error {
	var lastErr error = result.New(result.CellUnreachable, "cell %s has no members", home)
	for _, vm := range state.Cells[home].Members {
		answer, err := c.Transport.Call(ctx, state.VMs[vm], c.Self, cell.Assign{Pin: p})
		if err != nil {
			lastErr = result.Wrap(result.CommitUnknown, err, "VM %s of cell %s", vm, home)
			continue
		}
		assigned, ok := answer.(cell.AssignAnswer)
		if !ok {
			return fmt.Errorf("VM %s: unexpected answer of type %T to Assign", vm, answer)
		}
		if result.CodeOf(assigned.Err) != result.NoLeader {
			return assigned.Err
		}
		lastErr = assigned.Err
	}
	return lastErr
}

// List implements HotKeys.List. The rates count only requests that this daemon
// received from callers.
func (c HomeCellClient) List(ctx context.Context, s core.Service) ([]HotKey, error) {
	found, err := c.HotKeys.List(ctx, s)
	if err != nil {
		return nil, err
	}
	table, shards := c.Local.Table(), c.Registry.Current().Services[s].Shards
	keys := make([]HotKey, 0, len(found))
	for _, k := range found {
		shard, hasOwnShard := table.HotKey(s, routing.Hash(k.Key))
		if !hasOwnShard {
			shard = routing.Shard(k.Key, shards)
		}
		assignment, _, _ := table.Owner(s, shard)
		keys = append(keys, HotKey{Key: k.Key, Rate: k.Rate, Target: assignment.Target, Pinned: hasOwnShard && table.Pins[s][shard].Target != ""})
	}
	return keys, nil
}

// TableOf implements Tables. It queries the cell's members one after the other
// and returns the first complete table.
func (c HomeCellClient) TableOf(ctx context.Context, of core.Cell) (*cell.Table, error) {
	state := c.Registry.Current()
	var lastErr error = result.New(result.CellUnreachable, "cell %s has no members", of)
	for _, vm := range state.Cells[of].Members {
		answer, err := c.Transport.Call(ctx, state.VMs[vm], c.Self, cell.Fetch{})
		if err != nil {
			lastErr = result.Wrap(result.CellUnreachable, err, "VM %s of cell %s", vm, of)
			continue
		}
		if fetched, ok := answer.(cell.FetchAnswer); ok && fetched.Table != nil {
			if table, complete := cell.NewTable(of).Apply(fetched.Table); complete {
				return table, nil
			}
		}
		lastErr = result.New(result.CellUnreachable, "VM %s of cell %s returned no complete table", vm, of)
	}
	return nil, lastErr
}
