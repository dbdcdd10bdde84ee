package raft

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

func (s *cluster) rounds(n int) {
	for range n {
		s.round()
	}
}

func (s *cluster) deliverAll() {
	for len(s.inFlight) > 0 {
		m := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		s.deliver(m)
	}
}

func (s *cluster) isolate(vm core.VM) {
	for _, o := range s.vms {
		s.blocked[[2]core.VM{vm, o}] = true
		s.blocked[[2]core.VM{o, vm}] = true
	}
}

// TestLeaderLostAtEachStepOfACommit checks that an acknowledged entry survives
// the loss of the leader, whichever message of the commit was the last delivered.
func TestLeaderLostAtEachStepOfACommit(t *testing.T) {
	acknowledged := 0
	for step := range 12 {
		s := newCluster(t.Fatalf, 3, 0)
		s.rounds(40)
		s.deliverAll()
		oldLeader := s.leader()
		if err := s.propose(oldLeader, "x"); err != nil {
			t.Fatal(err)
		}
		for i := 0; i < step && len(s.inFlight) > 0; i++ {
			m := s.inFlight[0]
			s.inFlight = s.inFlight[1:]
			s.deliver(m)
		}
		_, acked := s.acked["x"]
		s.crash(oldLeader)
		s.inFlight = nil
		s.rounds(80)
		if s.leader() == "" || s.leader() == oldLeader {
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
	is.New(t).True(acknowledged > 0 && acknowledged < 12) // the steps cover losses before and after the acknowledgement
}

// TestPartitionedVoterDoesNotDisruptTerm checks that a voter that was partitioned
// for a long time neither increases the term nor deposes the leader when the
// partition heals.
func TestPartitionedVoterDoesNotDisruptTerm(t *testing.T) {
	is := is.New(t)
	s := newCluster(t.Fatalf, 3, 0)
	s.rounds(40)
	leader := s.leader()
	term := s.replicas[leader].core.Term()
	var partitioned core.VM
	for _, vm := range s.vms {
		if vm != leader {
			partitioned = vm
		}
	}
	s.isolate(partitioned)
	s.rounds(5000)
	is.Equal(s.replicas[partitioned].core.Term(), term)
	clear(s.blocked)
	s.rounds(60)
	is.Equal(s.leader(), leader)
	is.Equal(s.replicas[leader].core.Term(), term)
	is.NoErr(s.propose(leader, "x"))
	s.settle()
}

// TestAsymmetricPartition checks one-way partitions: a leader that can send but
// not receive steps down, and a voter that can receive but not send does not
// disrupt the term.
func TestAsymmetricPartition(t *testing.T) {
	is := is.New(t)
	s := newCluster(t.Fatalf, 3, 0)
	s.rounds(40)
	noInbound := s.leader()
	for _, vm := range s.vms {
		s.blocked[[2]core.VM{vm, noInbound}] = true
	}
	s.rounds(100)
	is.True(!s.replicas[noInbound].core.IsLeader())
	is.True(s.leader() != "" && s.leader() != noInbound)
	is.NoErr(s.propose(s.leader(), "x"))
	s.rounds(2)
	is.True(s.acked["x"] > 0)

	s = newCluster(t.Fatalf, 3, 0)
	s.rounds(40)
	leader, noOutbound := s.leader(), s.vms[0]
	if noOutbound == leader {
		noOutbound = s.vms[1]
	}
	for _, vm := range s.vms {
		s.blocked[[2]core.VM{noOutbound, vm}] = true
	}
	term := s.replicas[leader].core.Term()
	s.rounds(500)
	is.Equal(s.leader(), leader)
	is.Equal(s.replicas[leader].core.Term(), term)

	clear(s.blocked) // a voter that loses only its link to the leader does not win over the third
	s.blocked[[2]core.VM{noOutbound, leader}], s.blocked[[2]core.VM{leader, noOutbound}] = true, true
	s.rounds(500)
	is.Equal(s.leader(), leader)
	is.Equal(s.replicas[leader].core.Term(), term)
}

// TestOlderTermsCommitOnlyWithTheOwn checks leader completeness:
// entries of older terms can still be lost although a majority stored them. A
// leader therefore commits them only together with an entry of its own term, and
// confirms no read before that.
func TestOlderTermsCommitOnlyWithTheOwn(t *testing.T) {
	is := is.New(t)
	members := Members{{VM: "a"}, {VM: "b"}, {VM: "c"}}
	c := New(Config{Self: "a", ElectionTicks: 10, HeartbeatTicks: 3, MaxEntries: 9, Seed: 1}, StoredState{
		HardState: HardState{Term: 3},
		Snapshot:  Snapshot{Members: members},
		Entries:   []Entry{{Index: 1, Term: 1}, {Index: 2, Term: 2}},
	})
	takeAndPersist := func() { c.Take(); c.Persisted() }
	c.Campaign()
	c.Step(Message{Type: PreVoteReply, From: "b", To: "a", Term: 4})
	takeAndPersist()
	c.Step(Message{Type: VoteReply, From: "b", To: "a", Term: 4})
	is.True(c.IsLeader())
	takeAndPersist()
	c.Step(Message{Type: AppendReply, From: "b", To: "a", Term: 4, LogIndex: 2})
	is.Equal(c.Status().Commit, Index(0))
	is.Equal(c.Read(1, false), ErrNotReady)
	c.Step(Message{Type: AppendReply, From: "b", To: "a", Term: 4, LogIndex: 3})
	is.Equal(c.Status().Commit, Index(3))
	is.NoErr(c.Read(2, false))
}

// TestPausedLeaderServesNoRead checks that a leader that was paused past the end
// of its term confirms no read when it resumes, although it still believes that
// it is the leader.
func TestPausedLeaderServesNoRead(t *testing.T) {
	is := is.New(t)
	s := newCluster(t.Fatalf, 3, 0)
	s.rounds(40)
	oldLeader := s.leader()
	s.replicas[oldLeader].up = false // paused: it keeps its memory
	s.inFlight = nil
	s.rounds(80)
	is.NoErr(s.propose(s.leader(), "x"))
	s.rounds(2)
	is.True(s.acked["x"] > 0)
	s.replicas[oldLeader].up = true
	is.True(s.replicas[oldLeader].core.IsLeader())
	s.isolate(oldLeader)
	id := s.read(oldLeader)
	s.rounds(8)
	is.Equal(s.confirmedReads[id], Index(0)) // no confirmation while it is isolated
	clear(s.blocked)
	s.rounds(20)
	is.Equal(s.confirmedReads[id], Index(0))
	id = s.read(oldLeader)
	s.rounds(2)
	is.True(s.confirmedReads[id] >= s.acked["x"])
}

// TestSecondVoterLostAfterARepair checks that no acknowledged entry is lost
// when a failed voter is replaced by a promoted learner and then another of the
// original voters fails.
func TestSecondVoterLostAfterARepair(t *testing.T) {
	is := is.New(t)
	s := newCluster(t.Fatalf, 3, 1)
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
	s.processActions(leader)
	s.inFlight = nil // the learner has received nothing yet
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
	s.crash(leader) // two voters are left of three
	s.inFlight = nil
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

// TestTransferOnPlannedStop checks that a leader that stops transfers its
// leadership at once instead of letting the others wait for an election timeout.
func TestTransferOnPlannedStop(t *testing.T) {
	is := is.New(t)
	s := newCluster(t.Fatalf, 3, 0)
	s.rounds(40)
	oldLeader := s.leader()
	s.replicas[oldLeader].core.TransferLeadership()
	s.processActions(oldLeader)
	is.Equal(s.propose(oldLeader, "x"), ErrTransferring)
	s.rounds(2) // two ticks; an election timeout is at least ten
	is.True(s.leader() != "" && s.leader() != oldLeader)
}

// TestAllRestartedElectSoon checks that replicas that all lost power elect a
// leader within the minimum election timeout, even if their first votes are
// split.
func TestAllRestartedElectSoon(t *testing.T) {
	s := newCluster(t.Fatalf, 3, 0)
	s.rounds(50)
	const electionTicks = 10 // as configured in cluster.start
	for range 40 {
		for _, vm := range s.vms {
			s.crash(vm)
		}
		s.inFlight = nil
		for _, vm := range s.vms {
			s.start(vm)
			s.replicas[vm].core.Campaign() // as the registry task does on its start, here all at the same time
			s.processActions(vm)
		}
		s.rounds(electionTicks)
		if s.leader() == "" {
			t.Fatal("no leader after all restarted")
		}
	}
}

// TestAppendsAreBoundedInBytes guards against a replica that never catches up because
// the entries that it missed are sent in one message, which takes longer than a send
// may.
func TestAppendsAreBoundedInBytes(t *testing.T) {
	s := newCluster(t.Fatalf, 3, 0)
	s.rounds(40)
	s.deliverAll()
	leader := s.leader()
	var behind core.VM
	for _, vm := range s.vms {
		if vm != leader {
			behind = vm
		}
	}
	s.isolate(behind)
	const missed = 30
	for i := range missed {
		if err := s.propose(leader, fmt.Sprintf("a command of 25 bytes %03d", i)); err != nil {
			t.Fatal(err)
		}
		s.deliverAll()
	}
	clear(s.blocked)
	for range 200 {
		s.round()
		for _, m := range s.inFlight {
			if m.Type == Append && len(m.Entries) > 1 && len(m.Entries)*25 > maxTestBytes {
				t.Fatalf("%d entries in one message", len(m.Entries))
			}
		}
	}
	s.settle()
}
