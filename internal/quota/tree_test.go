package quota

import (
	"cmp"
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

// sourceTree simulates a tree of sources without tasks: the system's source, the
// cells' sources, and two daemons in each cell.
type sourceTree struct {
	division    Division
	state       *config.State
	now         time.Time
	system      *SystemSource
	cells       []*CellSource
	term        uint64
	daemons     [][]*Admission
	partitioned map[int]bool // cells that cannot reach the system's source
	next        Ticket
	refused     func(Ticket) // called for each refused request, if set

	admitted    int
	fromSystem  int         // tokens drawn from the system's source
	divisionErr error       // first violation that checkDivision found
	admittedAt  []time.Time // time of every admission
}

func newTree(cells int, rate, burst float64) *sourceTree {
	return newDividedTree(DefaultDivision(), cells, rate, burst)
}

func newDividedTree(d Division, cells int, rate, burst float64) *sourceTree {
	t := &sourceTree{division: d, now: time.Unix(0, 0), state: config.NewState(), partitioned: map[int]bool{}}
	for c := range cells {
		name := core.Cell(fmt.Sprint("c", c))
		t.state.Cells[name] = config.Cell{Name: name, Members: []core.VM{core.VM(fmt.Sprint(c, "a")), core.VM(fmt.Sprint(c, "b"))}}
	}
	t.state.Workspaces["w"] = config.Workspace{Name: "w", Rate: rate, Burst: burst}
	t.restartSystem()
	for c := range cells {
		t.cells = append(t.cells, nil)
		t.daemons = append(t.daemons, make([]*Admission, 2))
		t.restartCell(c)
		t.restartDaemon(c, 0)
		t.restartDaemon(c, 1)
	}
	return t
}

func (t *sourceTree) restartSystem() {
	t.term++
	t.system = NewSystemSource(t.term, t.division, t.state, t.now)
}

func (t *sourceTree) restartCell(c int) {
	t.cells[c] = NewCellSource(core.Cell(fmt.Sprint("c", c)), t.division, t.state, t.now)
}

func (t *sourceTree) restartDaemon(c, d int) {
	t.daemons[c][d] = NewAdmission(t.division)
	t.daemons[c][d].SetState(t.state)
}

// admit offers a request and performs the draws that it causes. If lose is set,
// the answer to the cell's draw from the system's source is lost.
func (t *sourceTree) admit(c, d int, lose bool) {
	t.next++
	a := t.daemons[c][d]
	if v, done := a.Admit(t.next, "w", t.now); done {
		t.count([]Verdict{v})
		return
	}
	t.drawForDaemon(c, d, lose)
}

func (t *sourceTree) drawForDaemon(c, d int, lose bool) {
	a, cell := t.daemons[c][d], t.cells[c]
	wants := a.Wants(t.now)
	supplies := cell.Supply(wants, t.now)
	if up := cell.Wants(t.now); len(up) > 0 || cell.PromiseDue(t.now) {
		t.drawFromSystem(c, up, lose)
		supplies = addSupplies(supplies, cell.Supply(remainingWants(wants, supplies), t.now))
		cell.Trim()
	}
	t.count(a.Receive(supplies, t.now))
}

// checkDivision returns an error if the rates and bursts of all sources, with
// the tokens that may be drawn ahead, add up to more than the workspace's.
func (t *sourceTree) checkDivision() error {
	t.system.expireLoans(t.now)
	w, systemBucket := t.state.Workspaces["w"], t.system.accounts["w"].bucket
	rate, burst := systemBucket.rate, systemBucket.burst
	for c, cell := range t.cells {
		cell.expirePromises(t.now)
		a := cell.accounts["w"]
		rate += a.bucket.rate
		burst += a.bucket.burst + float64(a.prefetchLimit)
		for range t.daemons[c] {
			burst += float64(t.division.DaemonPrefetchLimit(t.state, "w"))
		}
	}
	if rate > w.Rate*(1+1e-9) || burst > w.Burst*(1+1e-9) {
		return fmt.Errorf("at %v sources add up to a rate of %v and a burst of %v, above %v and %v", t.now, rate, burst, w.Rate, w.Burst)
	}
	return nil
}

// saturate offers more than the whole rate at cell only, or at each cell if only
// is -1.
func (t *sourceTree) saturate(d time.Duration, only int) {
	const step = 50 * time.Millisecond
	for end := t.now.Add(d); t.now.Before(end); t.advance(step) {
		for c := range t.daemons {
			if only >= 0 && c != only {
				continue
			}
			for range int(t.state.Workspaces["w"].Rate*step.Seconds()) + 2 {
				t.admit(c, 0, false)
			}
		}
	}
}

// drawFromSystem performs a cell's draw from the system's source, with its
// promise.
func (t *sourceTree) drawFromSystem(c int, wants []Want, lose bool) {
	cell := t.cells[c]
	promise := cell.Promise(t.now)
	if t.partitioned[c] {
		cell.DrawFailed(t.now)
		return
	}
	t.system.AcceptPromise(cell.cell, promise, t.now)
	supplies, stamp := t.system.Supply(wants, t.now), t.system.Stamp(t.now)
	if lose {
		cell.DrawFailed(t.now)
		return
	}
	for _, got := range supplies {
		t.fromSystem += got.Tokens
	}
	cell.Receive(supplies, t.now)
	cell.RecordStamp(stamp, t.now)
}

// drawForExpired draws for requests that have expired before the answer arrives.
// If below is unset, the answer reaches only the cell, not the daemon.
func (t *sourceTree) drawForExpired(c, d int, below bool) {
	a, cell := t.daemons[c][d], t.cells[c]
	for range 50 {
		t.next++
		if v, done := a.Admit(t.next, "w", t.now); done {
			t.count([]Verdict{v})
		}
	}
	wants := a.Wants(t.now)
	supplies := cell.Supply(wants, t.now)
	if up := cell.Wants(t.now); len(up) > 0 {
		t.drawFromSystem(c, up, false)
		if below {
			supplies = addSupplies(supplies, cell.Supply(remainingWants(wants, supplies), t.now))
		}
		cell.Trim()
	}
	t.count(a.Expire(t.now.Add(maxUnreachableWait)))
	if below {
		t.count(a.Receive(supplies, t.now))
	}
}

func (t *sourceTree) count(verdicts []Verdict) {
	for _, v := range verdicts {
		if v.Err == nil {
			t.admitted++
			t.admittedAt = append(t.admittedAt, t.now)
		} else if t.refused != nil {
			t.refused(v.Ticket)
		}
	}
}

func (t *sourceTree) advance(d time.Duration) {
	t.now = t.now.Add(d)
	if err := t.checkDivision(); err != nil && t.divisionErr == nil {
		t.divisionErr = err
	}
	for c := range t.daemons {
		for d, a := range t.daemons[c] {
			t.count(a.Expire(t.now))
			t.drawForDaemon(c, d, false)
		}
	}
}

// checkRate returns an error if any window holds more admissions than the rate
// and burst allow. A reference bucket that starts full must never be overdrawn.
func checkRate(log []time.Time, rate, burst float64) error {
	tokens, at := burst, time.Unix(0, 0)
	for i, when := range log {
		tokens = min(burst, tokens+when.Sub(at).Seconds()*rate) - 1
		at = when
		if tokens < -1e-6 {
			return fmt.Errorf("admission %d at %v exceeds the quota by %.3f tokens", i, when.Sub(time.Unix(0, 0)), -tokens)
		}
	}
	return nil
}

// TestNeverOverRate checks that all VMs together never admit more requests of a
// workspace than its rate and burst allow, for random sequences of requests,
// restarts of daemons, new coordinators, new leaders, lost answers, delayed
// promises and partitions.
func TestNeverOverRate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(1, 200).Draw(rt, "rate")
		burst := rapid.Float64Range(1, 200).Draw(rt, "burst")
		cells := rapid.IntRange(1, 4).Draw(rt, "cells")
		tr := newTree(cells, rate, burst)
		cell := rapid.IntRange(0, cells-1)
		daemon := rapid.IntRange(0, 1)
		rt.Repeat(map[string]func(*rapid.T){
			"advance": func(rt *rapid.T) {
				tr.advance(time.Duration(rapid.IntRange(1, 400).Draw(rt, "ms")) * time.Millisecond)
			},
			"idle": func(*rapid.T) { tr.advance(5 * time.Minute) },
			"requests": func(rt *rapid.T) {
				c, d := cell.Draw(rt, "cell"), daemon.Draw(rt, "daemon")
				for range rapid.IntRange(1, 400).Draw(rt, "n") {
					tr.admit(c, d, false)
				}
			},
			"saturate": func(rt *rapid.T) {
				only := rapid.IntRange(-1, cells-1).Draw(rt, "only cell, or all")
				tr.saturate(time.Duration(rapid.IntRange(100, 4000).Draw(rt, "for ms"))*time.Millisecond, only)
			},
			"request with a lost answer": func(rt *rapid.T) {
				tr.admit(cell.Draw(rt, "cell"), daemon.Draw(rt, "daemon"), true)
			},
			"answers that nobody waits for": func(rt *rapid.T) {
				tr.drawForExpired(cell.Draw(rt, "cell"), daemon.Draw(rt, "daemon"), rapid.Bool().Draw(rt, "below"))
			},
			"restart daemon":  func(rt *rapid.T) { tr.restartDaemon(cell.Draw(rt, "cell"), daemon.Draw(rt, "daemon")) },
			"new coordinator": func(rt *rapid.T) { tr.restartCell(cell.Draw(rt, "cell")) },
			"new leader":      func(*rapid.T) { tr.restartSystem() },
			"late promise": func(rt *rapid.T) {
				c := cell.Draw(rt, "cell")
				if promise := tr.cells[c].Promise(tr.now); !tr.partitioned[c] {
					tr.advance(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "late ms")) * time.Millisecond)
					tr.system.AcceptPromise(tr.cells[c].cell, promise, tr.now)
				}
			},
			"cut or mend": func(rt *rapid.T) {
				c := cell.Draw(rt, "cell")
				tr.partitioned[c] = !tr.partitioned[c]
			},
			"": func(rt *rapid.T) {
				if err := cmp.Or(tr.divisionErr, checkRate(tr.admittedAt, rate, burst)); err != nil {
					rt.Fatal(err)
				}
			},
		})
	})
}

// TestSharesAddUp checks that the shares of the cells and of the system, with
// the tokens drawn ahead of demand, never exceed the workspace's rate and burst.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cells := rapid.IntRange(1, 12).Draw(rt, "cells")
		rate, burst := rapid.Float64Range(0, 1e5).Draw(rt, "rate"), rapid.Float64Range(0, 1e5).Draw(rt, "burst")
		state := newTree(cells, rate, burst).state
		d := DefaultDivision()
		lenders := map[core.Cell]KeptFractions{}
		for name := range state.Cells {
			if rapid.Bool().Draw(rt, "lends") {
				lenders[name] = KeptFractions{"w": rapid.Float64Range(0, 1.5).Draw(rt, "keeps")}
			}
		}
		sum := d.System(state, lenders)["w"]
		for name, c := range state.Cells {
			keeps, lends := lenders[name]
			s := d.Cell(state, name, lends, keeps)["w"]
			sum.Rate += s.Rate
			sum.Burst += s.Burst + float64(s.PrefetchLimit+len(c.Members)*d.DaemonPrefetchLimit(state, "w"))
		}
		if sum.Rate > rate*(1+1e-9) || sum.Burst > burst*(1+1e-9) {
			rt.Fatalf("shares add up to a rate of %v and a burst of %v, above %v and %v", sum.Rate, sum.Burst, rate, burst)
		}
	})
}

// TestPartitionedCellServesItsFloor checks that a partitioned cell admits
// requests at the rate of its floor.
func TestPartitionedCellServesItsFloor(t *testing.T) {
	is := is.New(t)
	tr := newTree(3, 300, 60)
	tr.partitioned[0] = true
	for range 1000 {
		tr.admit(0, 0, false)
		tr.advance(10 * time.Millisecond)
	}
	floor := 300 * DefaultDivision().Floor / 3 // tokens a second
	lending := loanTerm + loanClockMargin      // the partition may begin just after a promise
	is.True(tr.admitted >= int(floor*(10-lending.Seconds()))-1)
	is.True(tr.admitted <= int(floor*10)+60)
}

// TestNewCellFloorWaitsForAcks checks that a new cell's floor becomes active
// only after every other cell uses a configuration that includes it.
func TestNewCellFloorWaitsForAcks(t *testing.T) {
	is := is.New(t)
	state := newTree(3, 100, 30).state
	state.Version = 7
	c := state.Cells["c2"]
	c.FloorPending = true
	state.Cells["c2"] = c
	acks, now := newFloorAcks(), time.Unix(100, 0)
	is.Equal(DefaultDivision().Cell(state, "c2", false, nil)["w"].Rate, 0.0)
	is.Equal(len(acks.record(state, "c0", 7, now)), 0)
	is.Equal(len(acks.record(state, "c1", 6, now)), 0) // an older configuration
	is.Equal(acks.record(state, "c1", 7, now), []core.Cell{"c2"})
	is.Equal(len(acks.record(state, "c1", 7, now)), 0) // proposed already
}
