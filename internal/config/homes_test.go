package config

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const homeShards = 48

// installation is a state with three data centres of one cell each.
type installation struct {
	t       *testing.T
	state   *State
	request int
}

func newInstallation(t *testing.T) *installation {
	in := &installation{t: t, state: NewState()}
	for _, name := range []string{"a", "b", "c"} {
		in.set(name, DataCentreActive)
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

func (in *installation) set(dc string, status DataCentreStatus) {
	in.apply(PutDataCentre{DataCentre: DataCentre{Name: core.DataCentre(dc), Status: status}})
}

func (in *installation) load() map[core.Cell]int {
	load := map[core.Cell]int{}
	for s := range core.Shard(homeShards) {
		c, _ := in.state.Home("s", s)
		load[c]++
	}
	return load
}

// agree lets every cell give up what it is asked for, once. It returns the
// homes that moved.
func (in *installation) agree() int {
	moved := 0
	for s, m := range in.state.Homes["s"].Moving {
		from, _ := in.state.Home("s", s)
		in.apply(AgreeHomeMove{Cell: from, Service: "s", Shards: []core.Shard{s}, Since: m.Since})
		moved++
	}
	return moved
}

// TestDataCentreOutAndBackTwice holds that a data centre's homes move with its
// agreement only, that they come back in bounded steps, and both twice in a row.
func TestDataCentreOutAndBackTwice(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t)
	is.Equal(in.load(), map[core.Cell]int{"a": 16, "b": 16, "c": 16})
	for range 2 {
		in.set("b", DataCentreDraining)
		is.Equal(in.load()["b"], 16) // nothing moves before the cell agreed
		is.Equal(in.agree(), 16)     // its own homes and no others
		in.set("b", DataCentreOutOfService)
		is.Equal(in.load(), map[core.Cell]int{"a": 24, "c": 24})
		in.set("b", DataCentreActive)
		steps := 0
		for len(in.state.Homes["s"].Moving) > 0 {
			is.True(len(in.state.Homes["s"].Moving) <= homeShards/homeSteps) // no stampede
			in.agree()
			steps++
		}
		is.True(steps > 1)
		is.Equal(in.load(), map[core.Cell]int{"a": 16, "b": 16, "c": 16})
	}
}

// TestLateAgreementMovesNothing holds that an agreement to a request that was
// withdrawn does not count for the next one: the cell may own the shard again.
func TestLateAgreementMovesNothing(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t)
	in.set("b", DataCentreDraining)
	var late []AgreeHomeMove
	for s, m := range in.state.Homes["s"].Moving {
		late = append(late, AgreeHomeMove{Cell: "b", Service: "s", Shards: []core.Shard{s}, Since: m.Since})
	}
	is.Equal(len(late), 16)
	in.set("b", DataCentreActive)
	is.Equal(len(in.state.Homes["s"].Moving), 0)
	in.set("b", DataCentreDraining)
	for _, a := range late {
		in.apply(a)
	}
	is.Equal(in.load()["b"], 16)
}

// TestDeadDataCentreNeedsNoAgreement holds that an operator's statement moves
// the homes at once, those on their way included.
func TestDeadDataCentreNeedsNoAgreement(t *testing.T) {
	is := is.New(t)
	in := newInstallation(t)
	in.set("b", DataCentreDraining)
	in.set("b", DataCentreDead)
	is.Equal(in.load(), map[core.Cell]int{"a": 24, "c": 24})
	is.Equal(len(in.state.Homes["s"].Moving), 0)
}

// TestMembersChangeOneAtATime holds that a second change of a cell's members
// waits until the first is confirmed.
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
