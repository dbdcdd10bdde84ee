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
	TTL: 400 * time.Millisecond, Renew: 150 * time.Millisecond,
	Wait: 40 * time.Millisecond, Margin: 15 * time.Millisecond,
}

// voter is one member of the model: an acceptor and a candidate that lose
// their memory at a restart.
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
	session  uint64 // of the sender of a question; answers go to this run only
}

// soup is the model: members and the packets on their way.
type soup struct {
	now      time.Time
	members  []core.VM
	voters   map[core.VM]*voter
	packets  []packet
	sessions uint64
}

func newSoup(n int) *soup {
	s := &soup{now: time.Unix(0, 0), voters: map[core.VM]*voter{}}
	for i := range n {
		s.members = append(s.members, core.VM(fmt.Sprintf("vm-%d", i)))
	}
	for _, m := range s.members {
		s.restart(m)
	}
	return s
}

func (s *soup) restart(vm core.VM) {
	s.sessions += 1 << 42
	e := NewElector(Holder{vm, s.sessions}, testTiming, 0, s.now)
	e.SetElectorate(Electorate{Epoch: 1, Members: s.members})
	s.voters[vm] = &voter{acceptor: NewAcceptor(s.now, testTiming.TTL+testTiming.Margin), elector: e}
}

func (s *soup) tick(vm core.VM) {
	v := s.voters[vm]
	if v.paused {
		return
	}
	h, live := v.acceptor.Holder(s.now)
	s.post(vm, v.elector.Tick(s.now, live && h.VM != vm))
}

func (s *soup) post(from core.VM, sends []Send) {
	for _, m := range sends {
		s.packets = append(s.packets, packet{from: from, to: m.To, send: m, session: s.voters[from].elector.self.Session})
	}
}

func (s *soup) deliver(i int, duplicate bool) {
	p := s.packets[i]
	if !duplicate {
		s.packets = append(s.packets[:i], s.packets[i+1:]...)
	}
	v := s.voters[p.to]
	if v.paused {
		return
	}
	answer := packet{from: p.to, to: p.from, session: p.session}
	switch {
	case p.promise != nil:
		if p.session == v.elector.self.Session {
			s.post(p.to, v.elector.Promised(p.from, *p.promise, s.now))
		}
	case p.accept != nil:
		if p.session == v.elector.self.Session {
			v.elector.Accepted(p.from, *p.accept)
		}
	case p.send.Prepare != nil:
		if a, ok := v.acceptor.Prepare(*p.send.Prepare, s.now); ok {
			answer.promise = &a
			s.packets = append(s.packets, answer)
		}
	default:
		if a, ok := v.acceptor.Propose(*p.send.Propose, s.now); ok {
			answer.accept = &a
			s.packets = append(s.packets, answer)
		}
	}
}

func (s *soup) holders() []core.VM {
	var held []core.VM
	for _, m := range s.members {
		if _, ok := s.voters[m].elector.Held(s.now); ok {
			held = append(held, m)
		}
	}
	return held
}

// TestTwoCoordinatorsNeverOverlap holds "at most one owning server" at its
// root: under lost, doubled, late and reordered messages, pauses and restarts,
// no two members hold the cell's lease at one time.
func TestTwoCoordinatorsNeverOverlap(t *testing.T) {
	elections := 0
	rapid.Check(t, func(t *rapid.T) {
		s := newSoup(rapid.SampledFrom([]int{1, 3, 4, 5}).Draw(t, "members"))
		member := rapid.SampledFrom(s.members)
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			switch rapid.SampledFrom([]string{"step", "step", "step", "step", "step", "step", "step", "step", "deliver", "drop", "double", "pause", "rare"}).Draw(t, "event") {
			case "step":
				s.now = s.now.Add(rapid.SampledFrom([]time.Duration{1, 20, 60, 160}).Draw(t, "ms") * time.Millisecond)
				for _, m := range s.members {
					s.tick(m)
				}
				for n := len(s.packets); n > 0 && rapid.IntRange(0, 19).Draw(t, "late") > 0; n-- {
					s.deliver(0, false)
				}
			case "deliver":
				if n := len(s.packets); n > 0 {
					s.deliver(rapid.IntRange(0, n-1).Draw(t, "i"), false)
				}
			case "double":
				if n := len(s.packets); n > 0 {
					s.deliver(rapid.IntRange(0, n-1).Draw(t, "i"), true)
				}
			case "drop":
				if n := len(s.packets); n > 0 {
					i := rapid.IntRange(0, n-1).Draw(t, "i")
					s.packets = append(s.packets[:i], s.packets[i+1:]...)
				}
			case "pause":
				v := s.voters[member.Draw(t, "vm")]
				v.paused = !v.paused && rapid.Bool().Draw(t, "pause")
			case "rare":
				if rapid.IntRange(0, 3).Draw(t, "dice") == 0 {
					s.restart(member.Draw(t, "vm"))
				}
			}
			held := s.holders()
			if len(held) > 1 {
				t.Fatalf("at %v both %v hold the lease", s.now.Sub(time.Unix(0, 0)), held)
			}
			elections += len(held)
		}
	})
	t.Logf("states with a holder: %d", elections)
	is.New(t).True(elections > 1000) // the model elects at all
}

// TestElectionNeedsBothMemberSets holds that a change of a cell's members
// never yields two coordinators: until it is confirmed, both sets must agree.
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

// TestRestartedMemberGivesNoVote holds that a member whose memory is lost does
// not vote while a lease that it voted for may still be live.
func TestRestartedMemberGivesNoVote(t *testing.T) {
	is := is.New(t)
	start := time.Unix(100, 0)
	longest := testTiming.TTL + testTiming.Margin
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
