package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const homeShards = 48

// installation holds a configuration with three data centres of one cell each,
// and one keyed service.
type installation struct {
	t       *testing.T
	state   *State
	request int
}

func newInstallation(t *testing.T) *installation {
	in := &installation{t: t, state: NewState()}
	for _, name := range []string{"a", "b", "c"} {
		in.setStatus(name, DataCentreActive)
		in.apply(PutCell{Cell: Cell{Name: core.Cell(name), DataCentre: core.DataCentre(name), Members: []core.VM{core.VM(name)}}})
	}
	in.apply(PutService{Service: Service{Name: "s", Keyed: true, Shards: homeShards}})
	return in
}

func (in *installation) apply(c Change) {
	in.t.Helper()
	in.request++
	next, err := in.state.Apply(Command{RequestID: fmt.Sprint(in.request), Change: c})
	if err != nil {
		in.t.Fatal(err)
	}
	in.state = next
}

func (in *installation) setStatus(dc string, status DataCentreStatus) {
	in.apply(PutDataCentre{DataCentre: DataCentre{Name: core.DataCentre(dc), Status: status}})
}

// homeCounts returns the number of homes of each cell.
func (in *installation) homeCounts() map[core.Cell]int {
	counts := map[core.Cell]int{}
	for s := range core.Shard(homeShards) {
		c, _ := in.state.Home("s", s)
		counts[c]++
	}
	return counts
}

// agree lets every cell agree to all requested moves. It returns the number of
// homes that moved.
func (in *installation) agreeToMoves() int {
	moved := 0
	for s, m := range in.state.Homes["s"].Moving {
		from, _ := in.state.Home("s", s)
		in.apply(AgreeHomeMove{Cell: from, Service: "s", Shards: []core.Shard{s}, Since: m.Since})
		moved++
	}
	return moved
}

// TestDataCentreOutAndBackTwice drains a data centre and returns it to service,
// twice in a row. Its homes must not move before its cell agrees, no other homes
// may move, and the homes must return in steps of limited size.
func TestDataCentreOutAndBackTwice(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t)
	is.Equal(in.homeCounts(), map[core.Cell]int{"a": 16, "b": 16, "c": 16})
	for range 2 {
		in.setStatus("b", DataCentreDraining)
		is.Equal(in.homeCounts()["b"], 16) // nothing moves before the cell agrees
		is.Equal(in.agreeToMoves(), 16)    // only the homes of the drained cell move
		in.setStatus("b", DataCentreOutOfService)
		is.Equal(in.homeCounts(), map[core.Cell]int{"a": 24, "c": 24})
		in.setStatus("b", DataCentreActive)
		steps := 0
		for len(in.state.Homes["s"].Moving) > 0 {
			is.True(len(in.state.Homes["s"].Moving) <= homeShards/rebalanceSteps) // limited, since the targets are still cold
			in.agreeToMoves()
			steps++
		}
		is.True(steps > 1)
		is.Equal(in.homeCounts(), map[core.Cell]int{"a": 16, "b": 16, "c": 16})
	}
}

// TestObsoleteAgreementMovesNothing checks that an agreement to a move that was
// cancelled does not count for a later request to move the same shard: the cell
// may own the shard again by then.
func TestObsoleteAgreementMovesNothing(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t)
	in.setStatus("b", DataCentreDraining)
	var obsolete []AgreeHomeMove
	for s, m := range in.state.Homes["s"].Moving {
		obsolete = append(obsolete, AgreeHomeMove{Cell: "b", Service: "s", Shards: []core.Shard{s}, Since: m.Since})
	}
	is.Equal(len(obsolete), 16)
	in.setStatus("b", DataCentreActive)
	is.Equal(len(in.state.Homes["s"].Moving), 0)
	in.setStatus("b", DataCentreDraining)
	for _, a := range obsolete {
		in.apply(a)
	}
	is.Equal(in.homeCounts()["b"], 16)
}

// TestDeadDataCentreNeedsNoAgreement checks that all homes move immediately when
// an operator declares a data centre dead, also those with a pending request to
// move.
func TestDeadDataCentreNeedsNoAgreement(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t)
	in.setStatus("b", DataCentreDraining)
	in.setStatus("b", DataCentreDead)
	is.Equal(in.homeCounts(), map[core.Cell]int{"a": 24, "c": 24})
	is.Equal(len(in.state.Homes["s"].Moving), 0)
}

// TestMembersChangeOneAtATime checks that a second change of a cell's members is
// refused until the first one is confirmed.
func TestMembersChangeOneAtATime(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t)
	put := func(vms ...core.VM) PutCell {
		return PutCell{Cell: Cell{Name: "a", DataCentre: "a", Members: vms}}
	}
	in.apply(put("a", "d"))
	is.Equal(in.state.Cells["a"].Previous, []core.VM{"a"})
	_, err := in.state.Apply(Command{RequestID: "second", Change: put("d", "e")})
	is.True(err != nil)
	in.apply(ConfirmCell{Cell: "a", Epoch: in.state.Cells["a"].Epoch})
	in.apply(put("d", "e"))
	is.Equal(in.state.Cells["a"].Previous, []core.VM{"a", "d"})
}
