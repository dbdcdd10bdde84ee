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
		tr.saturate(2*time.Second, -1)
		tr.restartCell(0)
		tr.cut[0] = true
		tr.saturate(loanTerm, -1)
		tr.cut[0] = false
	}
	is.NoErr(tr.broken)
	is.NoErr(overRate(tr.log, 100, 20))
}

// TestLatePromiseLendsNothing holds that a promise that was under way for long
// doesn't lend what the cell fills again.
func TestLatePromiseLendsNothing(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 20)
	for range 20 {
		tr.saturate(2*time.Second, -1)
		promise := tr.cells[0].Promise(tr.now)
		tr.cut[0] = true
		tr.saturate(loanTerm-100*time.Millisecond, -1)
		tr.system.Lend("c0", promise, tr.now)
		tr.saturate(loanTerm, -1)
		tr.cut[0] = false
	}
	is.NoErr(tr.broken)
	is.NoErr(overRate(tr.log, 100, 20))
}

// TestStampOfAnOldTermLendsNothing holds that a promise to the leader before
// lends nothing to the next.
func TestStampOfAnOldTermLendsNothing(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 20)
	tr.saturate(time.Second, -1)
	promise := tr.cells[0].Promise(tr.now)
	tr.restartSystem()
	before := len(tr.system.loans)
	tr.system.Lend("c0", promise, tr.now)
	is.Equal(len(tr.system.loans), before)
}

// TestLentRateComesBack holds that the whole rate is in use while all cells
// lend, and again after a cell was cut off and came back.
func TestLentRateComesBack(t *testing.T) {
	is := is.New(t)
	tr := newTree(3, 300, 60)
	tr.saturate(5*time.Second, -1)
	rate := func(d time.Duration) float64 {
		before := tr.admitted
		tr.saturate(d, -1)
		return float64(tr.admitted-before) / d.Seconds()
	}
	is.True(rate(4*time.Second) > 0.95*300)
	tr.cut[1] = true
	tr.saturate(2*loanTerm, -1)
	is.True(rate(4*time.Second) > 0.90*300) // the others have theirs, the cut cell its floor
	tr.cut[1] = false
	tr.saturate(2*loanTerm, -1)
	is.True(rate(4*time.Second) > 0.95*300)
}

// TestKeptPartsAddUp holds that the division adds up while demand moves between
// cells that are cut off at any time.
func TestKeptPartsAddUp(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 80)
	for i := range 20 {
		tr.saturate(90*time.Second, 1) // cell 0 is idle and lends nearly all
		tr.saturate(time.Duration(i)*time.Second, -1)
		tr.cut[0] = true
		tr.saturate(loanTerm, -1)
		tr.cut[0] = false
	}
	is.NoErr(tr.broken)
	is.NoErr(overRate(tr.log, 100, 80))
}

// TestLostPromiseToKeepMore holds that a cell whose promise to keep more is lost
// fills it only once the promises that kept less have ended.
func TestLostPromiseToKeepMore(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 80)
	for range 10 {
		tr.advance(loanRenew)
	}
	cell := tr.cells[0]
	cell.accounts["w"].use.add(5000, tr.now) // sudden demand
	tr.cut[0] = true
	for range 50 {
		tr.advance(50 * time.Millisecond)
	}
	is.NoErr(tr.broken)
	is.Equal(cell.lends, false) // and at last it has its whole floor
	is.Equal(cell.accounts["w"].bucket.rate, 50.0)
}

// TestBusyCellKeepsItsFloor holds that a cell with steady demand seldom needs
// tokens from above.
func TestBusyCellKeepsItsFloor(t *testing.T) {
	is := is.New(t)
	tr := newTree(3, 300, 150)
	tr.saturate(time.Minute, 0)
	is.True(tr.cells[0].division.keep(tr.cells[0].kept, "w") > 0.7)
	is.Equal(tr.cells[1].division.keep(tr.cells[1].kept, "w"), DefaultDivision().Kept)
	tr.saturate(time.Minute, 1)
	is.True(tr.cells[1].division.keep(tr.cells[1].kept, "w") > 0.7)
}
