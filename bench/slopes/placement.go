package slopes

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/comfreynotch/comfreynotch/bench/placement"
)

const dataCentres = 8

// Placement compares algorithms that place shards on cells: when one cell is
// removed and returns, and when one of eight data centres is removed.
func Placement(_ context.Context, w io.Writer) error {
	t := newTable(w, "method", "cells", "shards", "most/mean", "moved, cell leaves (least 1/cells)",
		"most/mean", "moved, cell returns", "moved, data centre leaves (least 12.5%)", "most/mean", "time")
	for _, size := range []struct{ cells, shards int }{{8, 4096}, {96, 131_072}, {480, 1_048_576}} {
		for _, m := range placement.Methods() {
			placementRow(t, m, size.cells, size.shards)
		}
	}
	return t.Flush()
}

func placementRow(t io.Writer, m placement.Method, cells, shards int) {
	all := placement.Cells(cells, nil)
	oneOut := placement.Cells(cells, func(c int32) bool { return c == int32(cells/2) })
	centreOut := placement.Cells(cells, func(c int32) bool { return c%dataCentres == 3 })
	var first placement.Homes
	start := time.Now()
	first = m.Place(nil, shards, all)
	took := time.Since(start)
	withoutCell := m.Place(first, shards, oneOut)
	back := m.Place(withoutCell, shards, all)
	withoutCentre := m.Place(first, shards, centreOut)
	row(t, m.Name, cells, shards, placement.Imbalance(first, all),
		percent(placement.Churn(first, withoutCell)), placement.Imbalance(withoutCell, oneOut),
		percent(placement.Churn(withoutCell, back)),
		percent(placement.Churn(first, withoutCentre)), placement.Imbalance(withoutCentre, centreOut), took)
}

func percent(part float64) string { return fmt.Sprintf("%.2f%%", 100*part) }
