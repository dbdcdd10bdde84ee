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

// tree is a whole tree of sources over pure values: one system source, cells,
// and two daemons in each cell.
type tree struct {
	division Division
	state    *config.State
	now      time.Time
	system   *SystemSource
	cells    []*CellSource
	term     uint64
	daemons  [][]*Admission
	cut      map[int]bool // cells that cannot reach the system
	next     Ticket
	refused  func(Ticket) // nil: not asked for

	admitted   int
	fromSystem int         // tokens
	broken     error       // the first time that the division did not add up
	log        []time.Time // of every admission
}

func newTree(cells int, rate, burst float64) *tree {
	return newDividedTree(DefaultDivision(), cells, rate, burst)
}

func newDividedTree(d Division, cells int, rate, burst float64) *tree {
	t := &tree{division: d, now: time.Unix(0, 0), state: config.NewState(), cut: map[int]bool{}}
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

func (t *tree) restartSystem() {
	t.term++
	t.system = NewSystemSource(t.term, t.division, t.state, t.now)
}

func (t *tree) restartCell(c int) {
	t.cells[c] = NewCellSource(core.Cell(fmt.Sprint("c", c)), t.division, t.state, t.now)
}

func (t *tree) restartDaemon(c, d int) {
	t.daemons[c][d] = NewAdmission(t.division)
	t.daemons[c][d].SetState(t.state)
}

// admit offers a request and lets the tree settle. lose drops the answer of the
// cell's draw from the system.
func (t *tree) admit(c, d int, lose bool) {
	t.next++
	a := t.daemons[c][d]
	if v, done := a.Admit(t.next, "w", t.now); done {
		t.count([]Verdict{v})
		return
	}
	t.settle(c, d, lose)
}

func (t *tree) settle(c, d int, lose bool) {
	a, cell := t.daemons[c][d], t.cells[c]
	wants := a.Wants(t.now)
	supplies := cell.Supply(wants, t.now)
	if up := cell.Wants(t.now); len(up) > 0 || cell.Due(t.now) {
		t.drawUp(c, up, lose)
		supplies = merge(supplies, cell.Supply(missing(wants, supplies), t.now))
		cell.Trim()
	}
	t.count(a.Receive(supplies, t.now))
}

// divided returns whether rates and bursts of all sources, and the stocks, add up
// to more than the workspace's.
func (t *tree) divided() error {
	t.system.settle(t.now)
	w, of := t.state.Workspaces["w"], t.system.accounts["w"].bucket
	rate, burst := of.rate, of.burst
	for c, cell := range t.cells {
		cell.settle(t.now)
		a := cell.accounts["w"]
		rate += a.bucket.rate
		burst += a.bucket.burst + float64(a.limit)
		for range t.daemons[c] {
			burst += float64(t.division.DaemonStock(t.state, "w"))
		}
	}
	if rate > w.Rate*(1+1e-9) || burst > w.Burst*(1+1e-9) {
		return fmt.Errorf("at %v sources add up to %v a second and %v of %v and %v", t.now, rate, burst, w.Rate, w.Burst)
	}
	return nil
}

// saturate sends well above the rate at one cell, or everywhere when only is -1.
func (t *tree) saturate(d time.Duration, only int) {
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

// drawUp is a cell's draw from the system, with its promise.
func (t *tree) drawUp(c int, wants []Want, lose bool) {
	cell := t.cells[c]
	promise := cell.Promise(t.now)
	if t.cut[c] {
		cell.DrawFailed(t.now)
		return
	}
	t.system.Lend(cell.cell, promise, t.now)
	supplies, stamp := t.system.Supply(wants, t.now), t.system.Stamp(t.now)
	if lose {
		cell.DrawFailed(t.now)
		return
	}
	for _, got := range supplies {
		t.fromSystem += got.Tokens
	}
	cell.Receive(supplies, t.now)
	cell.Answered(stamp, t.now)
}

// giveUp draws for requests that no longer wait when the answer comes: at the
// daemon, or, with below unset, at the cell.
func (t *tree) giveUp(c, d int, below bool) {
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
		t.drawUp(c, up, false)
		if below {
			supplies = merge(supplies, cell.Supply(missing(wants, supplies), t.now))
		}
		cell.Trim()
	}
	t.count(a.Expire(t.now.Add(unreachableWait)))
	if below {
		t.count(a.Receive(supplies, t.now))
	}
}

func (t *tree) count(verdicts []Verdict) {
	for _, v := range verdicts {
		if v.Err == nil {
			t.admitted++
			t.log = append(t.log, t.now)
		} else if t.refused != nil {
			t.refused(v.Ticket)
		}
	}
}

func (t *tree) advance(d time.Duration) {
	t.now = t.now.Add(d)
	if err := t.divided(); err != nil && t.broken == nil {
		t.broken = err
	}
	for c := range t.daemons {
		for d, a := range t.daemons[c] {
			t.count(a.Expire(t.now))
			t.settle(c, d, false)
		}
	}
}

// overRate returns whether any window of the log holds more than the rate and
// burst allow: a reference bucket that starts full must never run dry.
func overRate(log []time.Time, rate, burst float64) error {
	tokens, at := burst, time.Unix(0, 0)
	for i, when := range log {
		tokens = min(burst, tokens+when.Sub(at).Seconds()*rate) - 1
		at = when
		if tokens < -1e-6 {
			return fmt.Errorf("admission %d at %v is %.3f over", i, when.Sub(time.Unix(0, 0)), -tokens)
		}
	}
	return nil
}

// TestNeverOverRate holds "no workspace gets more than its rate and burst,
// counted over all VMs together" for any interleaving of requests, restarts of
// daemons, new coordinators, new leaders, lost answers and cuts.
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
				tr.giveUp(cell.Draw(rt, "cell"), daemon.Draw(rt, "daemon"), rapid.Bool().Draw(rt, "below"))
			},
			"restart daemon":  func(rt *rapid.T) { tr.restartDaemon(cell.Draw(rt, "cell"), daemon.Draw(rt, "daemon")) },
			"new coordinator": func(rt *rapid.T) { tr.restartCell(cell.Draw(rt, "cell")) },
			"new leader":      func(*rapid.T) { tr.restartSystem() },
			"late promise": func(rt *rapid.T) {
				c := cell.Draw(rt, "cell")
				if promise := tr.cells[c].Promise(tr.now); !tr.cut[c] {
					tr.advance(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "late ms")) * time.Millisecond)
					tr.system.Lend(tr.cells[c].cell, promise, tr.now)
				}
			},
			"cut or mend": func(rt *rapid.T) {
				c := cell.Draw(rt, "cell")
				tr.cut[c] = !tr.cut[c]
			},
			"": func(rt *rapid.T) {
				if err := cmp.Or(tr.broken, overRate(tr.log, rate, burst)); err != nil {
					rt.Fatal(err)
				}
			},
		})
	})
}

// TestSharesAddUp holds that floors, stocks and the system's part never pass the
// workspace's rate and burst, also while a new cell's floor is pending.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		cells := rapid.IntRange(1, 12).Draw(rt, "cells")
		rate, burst := rapid.Float64Range(0, 1e5).Draw(rt, "rate"), rapid.Float64Range(0, 1e5).Draw(rt, "burst")
		state := newTree(cells, rate, burst).state
		d := DefaultDivision()
		lenders := map[core.Cell]Keeps{}
		for name := range state.Cells {
			if rapid.Bool().Draw(rt, "lends") {
				lenders[name] = Keeps{"w": rapid.Float64Range(0, 1.5).Draw(rt, "keeps")}
			}
		}
		sum := d.System(state, lenders)["w"]
		for name, c := range state.Cells {
			keeps, lends := lenders[name]
			s := d.Cell(state, name, lends, keeps)["w"]
			sum.Rate += s.Rate
			sum.Burst += s.Burst + float64(s.Stock+len(c.Members)*d.DaemonStock(state, "w"))
		}
		if sum.Rate > rate*(1+1e-9) || sum.Burst > burst*(1+1e-9) {
			rt.Fatalf("shares add up to %v a second and %v of %v and %v", sum.Rate, sum.Burst, rate, burst)
		}
	})
}

// TestCutCellServesItsFloor holds "each then has to go on serving what it can".
func TestCutCellServesItsFloor(t *testing.T) {
	is := is.New(t)
	tr := newTree(3, 300, 60)
	tr.cut[0] = true
	for range 1000 {
		tr.admit(0, 0, false)
		tr.advance(10 * time.Millisecond)
	}
	floor := 300 * DefaultDivision().Floor / 3 // tokens a second
	lending := loanTerm + loanMargin           // when the cut may begin just after a promise
	is.True(tr.admitted >= int(floor*(10-lending.Seconds()))-1)
	is.True(tr.admitted <= int(floor*10)+60)
}

// TestNewCellWaitsForTheOthers holds that a new cell's floor becomes active only
// once every other cell divides with it.
func TestNewCellWaitsForTheOthers(t *testing.T) {
	is := is.New(t)
	state := newTree(3, 100, 30).state
	state.Version = 7
	c := state.Cells["c2"]
	c.FloorPending = true
	state.Cells["c2"] = c
	acks, now := newFloorAcks(), time.Unix(100, 0)
	is.Equal(DefaultDivision().Cell(state, "c2", false, nil)["w"].Rate, 0.0)
	is.Equal(len(acks.note(state, "c0", 7, now)), 0)
	is.Equal(len(acks.note(state, "c1", 6, now)), 0) // an older division
	is.Equal(acks.note(state, "c1", 7, now), []core.Cell{"c2"})
	is.Equal(len(acks.note(state, "c1", 7, now)), 0) // proposed already
}
