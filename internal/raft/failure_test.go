package raft

import (
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

func (s *soup) rounds(n int) {
	for range n {
		s.round()
	}
}

func (s *soup) drain() {
	for len(s.flying) > 0 {
		m := s.flying[0]
		s.flying = s.flying[1:]
		s.deliver(m)
	}
}

func (s *soup) isolate(vm core.VM) {
	for _, o := range s.vms {
		s.cut[[2]core.VM{vm, o}] = true
		s.cut[[2]core.VM{o, vm}] = true
	}
}

// TestLeaderLostAtEachStepOfACommit holds "an acknowledged assignment survives
// any tolerated loss": after each message of a commit the leader is lost.
func TestLeaderLostAtEachStepOfACommit(t *testing.T) {
	acknowledged := 0
	for step := range 12 {
		s := newSoup(t.Fatalf, 3, 0)
		s.rounds(40)
		s.drain()
		old := s.leader()
		if err := s.propose(old, "x"); err != nil {
			t.Fatal(err)
		}
		for i := 0; i < step && len(s.flying) > 0; i++ {
			m := s.flying[0]
			s.flying = s.flying[1:]
			s.deliver(m)
		}
		_, acked := s.acked["x"]
		s.crash(old)
		s.flying = nil
		s.rounds(80)
		if s.leader() == "" || s.leader() == old {
			t.Fatalf("step %d: no new leader", step)
		}
		if acked {
			acknowledged++
			if e := s.replicas[s.leader()].applied[s.acked["x"]-1]; string(e.Data) != "x" {
				t.Fatalf("step %d: the acknowledged entry is lost", step)
			}
		}
		s.settle()
	}
	is.New(t).True(acknowledged > 0 && acknowledged < 12) // the loss came before and after the acknowledgement
}

// TestSilentPartitionDisturbsNobody: a voter that is cut off for long neither
// raises terms nor ends the leader's term when it returns.
func TestSilentPartitionDisturbsNobody(t *testing.T) {
	is := is.New(t)
	s := newSoup(t.Fatalf, 3, 0)
	s.rounds(40)
	leader := s.leader()
	term := s.replicas[leader].core.Term()
	var away core.VM
	for _, vm := range s.vms {
		if vm != leader {
			away = vm
		}
	}
	s.isolate(away)
	s.rounds(5000)
	is.Equal(s.replicas[away].core.Term(), term)
	clear(s.cut)
	s.rounds(60)
	is.Equal(s.leader(), leader)
	is.Equal(s.replicas[leader].core.Term(), term)
	is.NoErr(s.propose(leader, "x"))
	s.settle()
}

// TestAsymmetricCut: a leader whose messages arrive but who hears nobody steps
// down; a voter that hears but is not heard does not disturb the term.
func TestAsymmetricCut(t *testing.T) {
	is := is.New(t)
	s := newSoup(t.Fatalf, 3, 0)
	s.rounds(40)
	deaf := s.leader()
	for _, vm := range s.vms {
		s.cut[[2]core.VM{vm, deaf}] = true
	}
	s.rounds(100)
	is.True(!s.replicas[deaf].core.IsLeader())
	is.True(s.leader() != "" && s.leader() != deaf)
	is.NoErr(s.propose(s.leader(), "x"))
	s.rounds(2)
	is.True(s.acked["x"] > 0)

	s = newSoup(t.Fatalf, 3, 0)
	s.rounds(40)
	leader, mute := s.leader(), s.vms[0]
	if mute == leader {
		mute = s.vms[1]
	}
	for _, vm := range s.vms {
		s.cut[[2]core.VM{mute, vm}] = true
	}
	term := s.replicas[leader].core.Term()
	s.rounds(500)
	is.Equal(s.leader(), leader)
	is.Equal(s.replicas[leader].core.Term(), term)

	clear(s.cut) // one that only lost the leader does not take the third along
	s.cut[[2]core.VM{mute, leader}], s.cut[[2]core.VM{leader, mute}] = true, true
	s.rounds(500)
	is.Equal(s.leader(), leader)
	is.Equal(s.replicas[leader].core.Term(), term)
}

// TestOlderTermsCommitOnlyWithTheOwn holds leader completeness: entries of
// older terms on a majority of disks may still be lost, so a leader commits
// them only together with an entry of its own term, and answers no read before.
func TestOlderTermsCommitOnlyWithTheOwn(t *testing.T) {
	is := is.New(t)
	members := Members{{VM: "a"}, {VM: "b"}, {VM: "c"}}
	c := New(Config{Self: "a", ElectionTicks: 10, HeartbeatTicks: 3, MaxEntries: 9, Seed: 1}, Stored{
		HardState: HardState{Term: 3},
		Snapshot:  Snapshot{Members: members},
		Entries:   []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
	})
	owe := func() { c.Take(); c.Persisted() }
	c.Campaign()
	c.Step(Message{Type: PreVoteReply, From: "b", To: "a", Term: 4})
	owe()
	c.Step(Message{Type: VoteReply, From: "b", To: "a", Term: 4})
	is.True(c.IsLeader())
	owe()
	c.Step(Message{Type: AppendReply, From: "b", To: "a", Term: 4, LogIndex: 2})
	is.Equal(c.Status().Commit, Index(0))
	is.Equal(c.Read(1, false), ErrNotReady)
	c.Step(Message{Type: AppendReply, From: "b", To: "a", Term: 4, LogIndex: 3})
	is.Equal(c.Status().Commit, Index(3))
	is.NoErr(c.Read(2, false))
}

// TestPausedLeaderServesNoRead: a leader that was paused past its term answers
// no read when it resumes, though it still believes that it leads.
func TestPausedLeaderServesNoRead(t *testing.T) {
	is := is.New(t)
	s := newSoup(t.Fatalf, 3, 0)
	s.rounds(40)
	old := s.leader()
	s.replicas[old].up = false // paused: its memory stays
	s.flying = nil
	s.rounds(80)
	is.NoErr(s.propose(s.leader(), "x"))
	s.rounds(2)
	is.True(s.acked["x"] > 0)
	s.replicas[old].up = true
	is.True(s.replicas[old].core.IsLeader())
	s.isolate(old)
	id := s.read(old)
	s.rounds(8)
	is.Equal(s.readDone[id], Index(0)) // no answer while it is alone
	clear(s.cut)
	s.rounds(20)
	is.Equal(s.readDone[id], Index(0))
	id = s.read(old)
	s.rounds(2)
	is.True(s.readDone[id] >= s.acked["x"])
}

// TestSecondVoterLostAfterARepair: a lost voter is replaced by a learner that
// is promoted; then another old voter is lost. Nothing acknowledged is lost.
func TestSecondVoterLostAfterARepair(t *testing.T) {
	is := is.New(t)
	s := newSoup(t.Fatalf, 3, 1)
	s.rounds(40)
	leader := s.leader()
	for i := range 200 {
		is.NoErr(s.propose(leader, string(rune('A'+i))))
	}
	s.rounds(5)
	s.compact(leader, 10)
	lost := s.vms[(indexOf(s.vms, leader)+1)%3]
	s.crash(lost)
	c := s.replicas[leader].core
	_, _, err := c.AddLearner(Member{VM: "r4"})
	is.NoErr(err)
	_, _, err = c.Remove(lost) // one change at a time
	is.Equal(err, ErrChangePending)
	s.run(leader)
	s.flying = nil // the learner has nothing yet
	_, _, err = c.Promote("r4")
	is.Equal(err, ErrNotCaughtUp)
	s.rounds(30)
	_, _, err = c.Promote("r4")
	is.NoErr(err)
	s.rounds(3)
	_, _, err = c.Remove(lost)
	is.NoErr(err)
	s.rounds(3)
	is.NoErr(s.propose(leader, "after"))
	s.rounds(2)
	is.True(s.acked["after"] > 0)
	s.crash(leader) // two of r2, r3, r4 stay
	s.flying = nil
	s.rounds(100)
	is.True(s.leader() != "")
	is.Equal(string(s.replicas[s.leader()].applied[s.acked["after"]-1].Data), "after")
}

func indexOf(vms []core.VM, vm core.VM) int {
	for i, o := range vms {
		if o == vm {
			return i
		}
	}
	return -1
}

// TestTransferOnPlannedStop: a leader that stops hands the lead over at once,
// not after an election timeout.
func TestTransferOnPlannedStop(t *testing.T) {
	is := is.New(t)
	s := newSoup(t.Fatalf, 3, 0)
	s.rounds(40)
	old := s.leader()
	s.replicas[old].core.TransferLeadership()
	s.run(old)
	is.Equal(s.propose(old, "x"), ErrTransferring)
	s.rounds(2) // two ticks; an election timeout has ten
	is.True(s.leader() != "" && s.leader() != old)
}

// TestAllRestartedElectSoon holds that replicas which all lost power have a
// leader again by the time at which they would first look for one otherwise,
// also when their first votes are split.
func TestAllRestartedElectSoon(t *testing.T) {
	s := newSoup(t.Fatalf, 3, 0)
	s.rounds(50)
	const electionTicks = 10 // of the soup's replicas
	for range 40 {
		for _, vm := range s.vms {
			s.crash(vm)
		}
		s.flying = nil
		for _, vm := range s.vms {
			s.start(vm)
			s.replicas[vm].core.Campaign() // as a starting task does, all at the same moment
			s.run(vm)
		}
		s.rounds(electionTicks)
		if s.leader() == "" {
			t.Fatal("no leader after all restarted")
		}
	}
}
