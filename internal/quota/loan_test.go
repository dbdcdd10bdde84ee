package quota

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestNewCoordinatorHonoursEarlierPromise checks that a coordinator that is
// elected and partitioned right after its predecessor sent a promise does not
// use the lent part of the floor before the promise has ended.
func TestNewCoordinatorHonoursEarlierPromise(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 20)
	for range 20 {
		tr.saturate(2*time.Second, -1)
		tr.restartCell(0)
		tr.partitioned[0] = true
		tr.saturate(loanTerm, -1)
		tr.partitioned[0] = false
	}
	is.NoErr(tr.divisionErr)
	is.NoErr(checkRate(tr.admittedAt, 100, 20))
}

// TestDelayedPromiseLendsNothing checks that a promise that arrives shortly
// before its end does not lend a part that the cell itself uses again.
func TestDelayedPromiseLendsNothing(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 20)
	for range 20 {
		tr.saturate(2*time.Second, -1)
		promise := tr.cells[0].Promise(tr.now)
		tr.partitioned[0] = true
		tr.saturate(loanTerm-100*time.Millisecond, -1)
		tr.system.AcceptPromise("c0", promise, tr.now)
		tr.saturate(loanTerm, -1)
		tr.partitioned[0] = false
	}
	is.NoErr(tr.divisionErr)
	is.NoErr(checkRate(tr.admittedAt, 100, 20))
}

// TestPromiseToFormerLeaderLendsNothing checks that a promise with the stamp of
// an earlier leader's term is ignored.
func TestPromiseToFormerLeaderLendsNothing(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 20)
	tr.saturate(time.Second, -1)
	promise := tr.cells[0].Promise(tr.now)
	tr.restartSystem()
	before := len(tr.system.loans)
	tr.system.AcceptPromise("c0", promise, tr.now)
	is.Equal(len(tr.system.loans), before)
}

// TestLentRateIsUsedAndReturned checks that the whole rate is used while all
// cells lend, and again after a cell was partitioned and has reconnected.
func TestLentRateIsUsedAndReturned(t *testing.T) {
	is := is.New(t)
	tr := newTree(3, 300, 60)
	tr.saturate(5*time.Second, -1)
	rate := func(d time.Duration) float64 {
		before := tr.admitted
		tr.saturate(d, -1)
		return float64(tr.admitted-before) / d.Seconds()
	}
	is.True(rate(4*time.Second) > 0.95*300)
	tr.partitioned[1] = true
	tr.saturate(2*loanTerm, -1)
	is.True(rate(4*time.Second) > 0.90*300) // the partitioned cell uses its floor, the others the rest
	tr.partitioned[1] = false
	tr.saturate(2*loanTerm, -1)
	is.True(rate(4*time.Second) > 0.95*300)
}

// TestSharesAddUpWhileDemandMoves checks that the shares never exceed the rate
// and burst while demand moves between cells and a cell is partitioned at
// various points of a promise.
func TestSharesAddUpWhileDemandMoves(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 80)
	for i := range 20 {
		tr.saturate(90*time.Second, 1) // cell 0 is idle and lends nearly all
		tr.saturate(time.Duration(i)*time.Second, -1)
		tr.partitioned[0] = true
		tr.saturate(loanTerm, -1)
		tr.partitioned[0] = false
	}
	is.NoErr(tr.divisionErr)
	is.NoErr(checkRate(tr.admittedAt, 100, 80))
}

// TestLostPromiseToKeepMore checks that a cell whose promise to keep more is
// lost uses the larger part only after the promises that keep less have ended.
func TestLostPromiseToKeepMore(t *testing.T) {
	is := is.New(t)
	tr := newTree(2, 100, 80)
	for range 10 {
		tr.advance(promiseInterval)
	}
	cell := tr.cells[0]
	cell.accounts["w"].usage.add(5000, tr.now) // sudden demand
	tr.partitioned[0] = true
	for range 50 {
		tr.advance(50 * time.Millisecond)
	}
	is.NoErr(tr.divisionErr)
	is.Equal(cell.lending, false) // finally it uses its whole floor
	is.Equal(cell.accounts["w"].bucket.rate, 50.0)
}

// TestBusyCellKeepsItsFloor checks that a cell with steady demand keeps most of
// its floor, and an idle cell only the minimum.
func TestBusyCellKeepsItsFloor(t *testing.T) {
	is := is.New(t)
	tr := newTree(3, 300, 150)
	tr.saturate(time.Minute, 0)
	is.True(tr.cells[0].division.keptFraction(tr.cells[0].kept, "w") > 0.7)
	is.Equal(tr.cells[1].division.keptFraction(tr.cells[1].kept, "w"), DefaultDivision().MinKept)
	tr.saturate(time.Minute, 1)
	is.True(tr.cells[1].division.keptFraction(tr.cells[1].kept, "w") > 0.7)
}
