package slopes

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Homes measures the change that marks one of eight data centres dead: how many
// shards get another home cell, how even the homes are afterwards, and how long
// the change takes.
func Homes(_ context.Context, w io.Writer) error {
	t := newTable(w, "cells", "shards", "moved", "most/mean", "time")
	for _, size := range []struct{ cells, shards int }{{8, 4096}, {96, 131_072}, {480, 1_048_576}} {
		if err := homesRow(t, size.cells, size.shards); err != nil {
			return err
		}
	}
	return t.Flush()
}

func homesRow(t io.Writer, cells, shards int) error {
	state, err := buildState(cells, cellMembers, 1, 1, shards)
	if err != nil {
		return err
	}
	dead := config.PutDataCentre{DataCentre: config.DataCentre{Name: core.DataCentre("dc-" + strconv.Itoa(3)), Status: config.DataCentreDead}}
	start := time.Now()
	next, err := state.Apply(config.Command{RequestID: "dead", Change: dead})
	took := time.Since(start)
	if err != nil {
		return fmt.Errorf("mark a data centre dead: %w", err)
	}
	before, after := state.Homes["archivio"], next.Homes["archivio"]
	moved, counts := 0, map[core.Cell]int{}
	for s := range before.Home {
		home := after.Cells[after.Home[s]]
		counts[home]++
		if before.Cells[before.Home[s]] != home {
			moved++
		}
	}
	most := 0
	for _, n := range counts {
		most = max(most, n)
	}
	row(t, cells, shards, percent(float64(moved)/float64(shards)), float64(most)*float64(len(counts))/float64(shards), took)
	return nil
}
