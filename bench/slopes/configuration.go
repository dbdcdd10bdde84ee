package slopes

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strconv"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Configuration measures the size of the configuration state, which every daemon
// holds, and the time of one change, for several numbers of VMs, workspaces and
// shards.
func Configuration(_ context.Context, w io.Writer) error {
	t := newTable(w, "vms", "cells", "workspaces", "caller keys", "shards", "state bytes", "one change")
	for _, size := range []struct{ vms, workspaces, shards int }{
		{72, 100, 16_384}, {720, 100, 16_384}, {7200, 100, 16_384}, {7200, 1000, 16_384}, {7200, 10_000, 16_384}, {7200, 1000, 1_048_576},
	} {
		if err := configurationRow(t, size.vms, size.workspaces, size.shards); err != nil {
			return err
		}
	}
	return t.Flush()
}

func configurationRow(t io.Writer, vms, workspaces, shards int) error {
	const membersEach, keysEach = 15, 4
	cells := max(1, vms/membersEach)
	before := heapBytes()
	state, err := buildState(cells, membersEach, workspaces, keysEach, shards)
	if err != nil {
		return err
	}
	bytes := heapBytes() - before
	n := 0
	took := timed(func() {
		n++
		_, err = state.Apply(config.Command{RequestID: "again-" + strconv.Itoa(n), Change: config.PutWorkspace{
			Workspace: config.Workspace{Name: "w-0", Rate: float64(n), Burst: 1},
		}})
	})
	row(t, vms, cells, workspaces, workspaces*keysEach, shards, bytes, took)
	runtime.KeepAlive(state)
	return err
}

func buildState(cells, membersEach, workspaces, keysEach, shards int) (*config.State, error) {
	state := config.NewState()
	commandNumber := 0
	apply := func(c config.Change) error {
		commandNumber++
		next, err := state.Apply(config.Command{RequestID: "build-" + strconv.Itoa(commandNumber), Change: c})
		if err != nil {
			return fmt.Errorf("build configuration: %w", err)
		}
		state = next
		return nil
	}
	for i := range dataCentres {
		name := core.DataCentre("dc-" + strconv.Itoa(i))
		if err := apply(config.PutDataCentre{DataCentre: config.DataCentre{Name: name, Status: config.DataCentreActive}}); err != nil {
			return nil, err
		}
	}
	for i := range cells {
		if err := apply(buildCell(i, membersEach)); err != nil {
			return nil, err
		}
	}
	if err := apply(config.PutService{Service: config.Service{Name: "archivio", Keyed: true, Shards: uint32(shards)}}); err != nil {
		return nil, err
	}
	fillWorkspaces(state, workspaces, keysEach)
	return state, nil
}

// fillWorkspaces writes workspaces and caller keys directly into a state that is
// not shared yet. Applying a change for each would copy the state every time.
func fillWorkspaces(state *config.State, workspaces, keysEach int) {
	for i := range workspaces {
		w := core.Workspace("w-" + strconv.Itoa(i))
		state.Workspaces[w] = config.Workspace{Name: w, Rate: 100, Burst: 100}
		for k := range keysEach {
			id := fmt.Sprintf("%s-key-%d", w, k)
			hash := config.HashSecret(id)
			state.CallerKeys[hash] = config.CallerKey{ID: id, Workspace: w, Hash: hash}
		}
	}
}

func buildCell(i, members int) config.PutCell {
	put := config.PutCell{Cell: config.Cell{
		Name: core.Cell("cell-" + strconv.Itoa(i)), DataCentre: core.DataCentre("dc-" + strconv.Itoa(i%dataCentres)),
	}}
	for m := range members {
		name := core.VM(fmt.Sprintf("vm-%d-%d", i, m))
		put.Cell.Members = append(put.Cell.Members, name)
		put.VMs = append(put.VMs, config.VM{Name: name, InnerAddress: fmt.Sprintf("10.%d.%d.%d:7802", i/256, i%256, m)})
	}
	return put
}

// heapBytes returns the bytes of live heap objects.
func heapBytes() int {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc)
}
