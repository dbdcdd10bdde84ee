package lease

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	flag.Parse()
	os.Exit(m.Run())
}

var testTiming = Timing{
	TTL: 400 * time.Millisecond, RenewInterval: 150 * time.Millisecond,
	RoundTimeout: 40 * time.Millisecond, ClockMargin: 15 * time.Millisecond,
}

// voter is one simulated member: an acceptor and an elector, which lose their
// state at a restart.
type voter struct {
	acceptor *Acceptor
	elector  *Elector
	paused   bool
}

type packet struct {
	from, to core.VM
	send     Send
	promise  *Promise
	accept   *Accept
	session  uint64 // of the proposer; an answer is dropped if the proposer has restarted
}

// cluster is a simulated cell: its members and the packets in transit.
type cluster struct {
	now      time.Time
	members  []core.VM
	voters   map[core.VM]*voter
	packets  []packet
	sessions uint64
}

func newCluster(n int) *cluster {
	c := &cluster{now: time.Unix(0, 0), voters: map[core.VM]*voter{}}
	for i := range n {
		c.members = append(c.members, core.VM(fmt.Sprintf("vm-%d", i)))
	}
	for _, m := range c.members {
		c.restart(m)
	}
	return c
}

func (c *cluster) restart(vm core.VM) {
	c.sessions += 1 << 42
	e := NewElector(Holder{vm, c.sessions}, testTiming, 0, c.now)
	e.SetElectorate(Electorate{Epoch: 1, Members: c.members})
	c.voters[vm] = &voter{acceptor: NewAcceptor(c.now, testTiming.TTL+testTiming.ClockMargin), elector: e}
}

func (c *cluster) tick(vm core.VM) {
	v := c.voters[vm]
	if v.paused {
		return
	}
	h, live := v.acceptor.Holder(c.now)
	c.post(vm, v.elector.Tick(c.now, live && h.VM != vm))
}

func (c *cluster) post(from core.VM, sends []Send) {
	for _, m := range sends {
		c.packets = append(c.packets, packet{from: from, to: m.To, send: m, session: c.voters[from].elector.self.Session})
	}
}

func (c *cluster) deliver(i int, duplicate bool) {
	p := c.packets[i]
	if !duplicate {
		c.packets = append(c.packets[:i], c.packets[i+1:]...)
	}
	v := c.voters[p.to]
	if v.paused {
		return
	}
	answer := packet{from: p.to, to: p.from, session: p.session}
	switch {
	case p.promise != nil:
		if p.session == v.elector.self.Session {
			c.post(p.to, v.elector.HandlePromise(p.from, *p.promise, c.now))
		}
	case p.accept != nil:
		if p.session == v.elector.self.Session {
			v.elector.HandleAccept(p.from, *p.accept)
		}
	case p.send.Prepare != nil:
		if a, ok := v.acceptor.Prepare(*p.send.Prepare, c.now); ok {
			answer.promise = &a
			c.packets = append(c.packets, answer)
		}
	default:
		if a, ok := v.acceptor.Propose(*p.send.Propose, c.now); ok {
			answer.accept = &a
			c.packets = append(c.packets, answer)
		}
	}
}

func (c *cluster) holders() []core.VM {
	var held []core.VM
	for _, m := range c.members {
		if _, ok := c.voters[m].elector.Held(c.now); ok {
			held = append(held, m)
		}
	}
	return held
}

// TestTwoCoordinatorsNeverOverlap checks that no two members hold the cell's
// lease at the same time, under lost, duplicated, delayed and reordered messages,
// pauses and restarts. That a key has at most one owner rests on it.
func TestTwoCoordinatorsNeverOverlap(t *testing.T) {
	elections := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.SampledFrom([]int{1, 3, 4, 5}).Draw(t, "members"))
		member := rapid.SampledFrom(c.members)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"step", "step", "step", "step", "step", "step", "step", "step", "deliver", "drop", "double", "pause", "rare"}).Draw(t, "event") {
			case "step":
				c.now = c.now.Add(rapid.SampledFrom([]time.Duration{1, 20, 60, 160}).Draw(t, "ms") * time.Millisecond)
				for _, m := range c.members {
					c.tick(m)
				}
				for n := len(c.packets); n > 0 && rapid.IntRange(0, 19).Draw(t, "late") > 0; n-- {
					c.deliver(0, false)
				}
			case "deliver":
				if n := len(c.packets); n > 0 {
					c.deliver(rapid.IntRange(0, n-1).Draw(t, "i"), false)
				}
			case "double":
				if n := len(c.packets); n > 0 {
					c.deliver(rapid.IntRange(0, n-1).Draw(t, "i"), true)
				}
			case "drop":
				if n := len(c.packets); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "i")
					c.packets = append(c.packets[:i], c.packets[i+1:]...)
				}
			case "pause":
				v := c.voters[member.Draw(t, "vm")]
				v.paused = !v.paused && rapid.Bool().Draw(t, "pause")
			case "rare":
				if rapid.IntRange(0, 3).Draw(t, "dice") == 0 {
					c.restart(member.Draw(t, "vm"))
				}
			}
			held := c.holders()
			if len(held) > 1 {
				t.Fatalf("at %v both %v hold the lease", c.now.Sub(time.Unix(0, 0)), held)
			}
			elections += len(held)
		}
	})
	t.Logf("states with a holder: %d", elections)
	is.New(t).True(elections > 1000) // the simulation does elect coordinators
}

// TestElectionNeedsBothMemberSets checks that until a change of a cell's members
// is confirmed, a quorum needs majorities of both member sets. Otherwise each set
// could elect a coordinator.
func TestElectionNeedsBothMemberSets(t *testing.T) {
	is := is.New(t)
	e := Electorate{Epoch: 2, Members: []core.VM{"c", "d", "e"}, Previous: []core.VM{"a", "b", "c"}}
	has := func(voters ...core.VM) func(core.VM) bool {
		return func(v core.VM) bool {
			for _, o := range voters {
				if o == v {
					return true
				}
			}
			return false
		}
	}
	is.True(!e.Quorum(has("d", "e")))     // new set alone
	is.True(!e.Quorum(has("a", "b")))     // previous set alone
	is.True(e.Quorum(has("b", "c", "d"))) // majority of both
}

// TestRestartedMemberGivesNoVote checks that a restarted member does not vote
// while a lease that it voted for before may still be live.
func TestRestartedMemberGivesNoVote(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	longest := testTiming.TTL + testTiming.ClockMargin
	voted := start.Add(longest)
	before := NewAcceptor(start, longest)
	a, ok := before.Propose(Propose{Number: Number{1, 256}, Holder: Holder{"a", 1}, TTL: testTiming.TTL}, voted)
	is.True(ok && a.OK)
	restarted := voted.Add(time.Millisecond)
	after := NewAcceptor(restarted, longest)
	_, ok = after.Prepare(Prepare{Number: Number{1, 512}, Holder: Holder{"c", 1}}, voted.Add(testTiming.TTL-1))
	is.True(!ok)
	_, ok = after.Prepare(Prepare{Number: Number{1, 512}, Holder: Holder{"c", 1}}, restarted.Add(longest))
	is.True(ok)
}
