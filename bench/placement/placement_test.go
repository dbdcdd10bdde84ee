package placement

import (
	"testing"

	"github.com/matryer/is"
)

// TestKeepAndLevelMovesOnlyWhatItMust checks that a placement is even, and that
// removing a cell moves only the shards of that cell.
func TestKeepAndLevelMovesOnlyWhatItMust(t *testing.T) {
	is := is.New(t)
	const shards = 1000
	all := Cells(7, nil)
	before := keepAndLevel(nil, shards, all)
	is.Equal(Imbalance(before, all), 143.0*7/shards)
	remaining := Cells(7, func(c int32) bool { return c == 3 })
	after := keepAndLevel(before, shards, remaining)
	is.Equal(Imbalance(after, remaining), 167.0*6/shards)
	for s, c := range before {
		is.True(c == 3 || after[s] == c)
	}
	back := keepAndLevel(after, shards, all)
	is.Equal(Imbalance(back, all), 143.0*7/shards)
	is.True(Churn(after, back) < 0.15)
}
