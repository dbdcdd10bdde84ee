package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNewCoordinatorKeepsThePromise holds that a coordinator that is elected and
// cut off right after a promise of the one before doesn't fill what is lent.
func TestNewCoordinatorKeepsThePromise(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 20)
	for range 20 {
		tr.saturate(2 * time.Second)
		tr.restartCell(0)
		tr.cut[0] = true
		tr.saturate(loanTerm)
		tr.cut[0] = false
	}
	is.NoErr(overRate(tr.log, 100, 20))
}

// TestLatePromiseLendsNothing holds that a promise that was under way for long
// doesn't lend what the cell fills again.
func TestLatePromiseLendsNothing(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 20)
	for range 20 {
		tr.saturate(2 * time.Second)
		promise := tr.cells[0].Promise(tr.now)
		tr.cut[0] = true
		tr.saturate(loanTerm - 100*time.Millisecond)
		tr.system.Lend("c0", promise, tr.now)
		tr.saturate(loanTerm)
		tr.cut[0] = false
	}
	is.NoErr(overRate(tr.log, 100, 20))
}

// TestStampOfAnOldTermLendsNothing holds that a promise to the leader before
// lends nothing to the next.
func TestStampOfAnOldTermLendsNothing(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 20)
	tr.saturate(time.Second)
	promise := tr.cells[0].Promise(tr.now)
	tr.restartSystem()
	before := len(tr.system.lentTill)
	tr.system.Lend("c0", promise, tr.now)
	is.Equal(len(tr.system.lentTill), before)
}

// TestLentRateComesBack holds that the whole rate is in use while all cells
// lend, and again after a cell was cut off and came back.
func TestLentRateComesBack(t *testing.T) {
	is := is.New(t)
	tr := newTree(3, 300, 60)
	tr.saturate(5 * time.Second)
	rate := func(d time.Duration) float64 {
		before := tr.admitted
		tr.saturate(d)
		return float64(tr.admitted-before) / d.Seconds()
	}
	is.True(rate(4*time.Second) > 0.95*300)
	tr.cut[1] = true
	tr.saturate(2 * loanTerm)
	is.True(rate(4*time.Second) > 0.90*300) // the others have theirs, the cut cell its floor
	tr.cut[1] = false
	tr.saturate(2 * loanTerm)
	is.True(rate(4*time.Second) > 0.95*300)
}
