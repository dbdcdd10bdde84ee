package fleet

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestMain runs the generated cases with a fixed seed unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "40") // one case takes up to six minutes of virtual time
	}
	os.Exit(m.Run())
}

const (
	keyed    core.Service = "archivio"
	interval              = 800 * time.Millisecond
	lease                 = 4 * time.Second
)

var testParameters = Parameters{
	HeartbeatInterval: interval, KeyLease: lease,
	Quota: Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, Cold: Cold{Overage: 1.5, Slack: 5},
}

// simulation simulates, in virtual time, the targets of a service and a sequence of
// leaders. Heartbeats and their answers may be lost or delayed.
type simulation struct {
	t         *rapid.T
	now       time.Time
	state     *config.State
	leader    *LeaderState
	targets   []*fakeTarget
	proposals []proposal // those without an outcome
	term      uint64
	connected bool // no leader is ever partitioned
}

type proposal struct {
	change   config.Change
	term     uint64
	decided  time.Time
	rejected bool // its leader has been replaced, so it is never accepted
}

// fakeTarget holds keys as a target does: until its lease ends, or until an answer
// leaves them out and its requests for them have ended.
type fakeTarget struct {
	target   core.Target
	sequence uint64
	holds    []config.KeyRange
	expires  time.Time
	busy     time.Time // when the requests for the held ranges end
	released []Release
	next     time.Time // time of the next heartbeat
	isolated bool
	down     bool
	seen     map[uint32]core.Version // highest fence seen, by the first key of a range
	answers  []delayedAnswer
}

type delayedAnswer struct {
	arrives       time.Time
	heartbeatSent time.Time
	grant         Grant
	released      int // number of releases in the heartbeat
}

func newSimulation(t *rapid.T, targets int) *simulation {
	s := &simulation{t: t, now: time.Unix(1000, 0), state: config.NewState(), leader: NewLeaderState(testParameters)}
	s.apply(config.PatchCatalog{Services: []config.TargetClass{{
		Item: config.Item{Revision: 1}, Name: keyed, Keyed: true, ColdRate: 12,
	}}})
	for i := range targets {
		s.targets = append(s.targets, &fakeTarget{
			target: core.Target{
				ID: core.TargetID(fmt.Sprint("i-", i)), Service: keyed, DataCentre: "a", Slots: 4,
				Address: fmt.Sprint("10.0.0.", i, ":80"), Incarnation: 1,
			},
			next: s.now.Add(time.Duration(i) * 50 * time.Millisecond), seen: map[uint32]core.Version{},
		})
	}
	s.newLeader()
	return s
}

func (s *simulation) apply(c config.Change) {
	next, err := s.state.Apply(config.Command{Change: c})
	if err != nil {
		s.t.Fatalf("apply %T: %v", c, err)
	}
	s.state = next
}

// newLeader begins a new term. A pending proposal of the previous leader is never
// accepted.
func (s *simulation) newLeader() {
	for i := range s.proposals {
		s.proposals[i].rejected = true
	}
	s.term++
	s.leader.BeginTerm(s.term, s.now)
}

const step = 25 * time.Millisecond

func (s *simulation) step() {
	s.now = s.now.Add(step)
	s.decideProposals()
	s.leader.Expire(s.now)
	for _, c := range s.leader.Plan(s.state, s.now) {
		delay := time.Duration(rapid.IntRange(1, 200).Draw(s.t, "commit_ms")) * time.Millisecond
		if !s.connected && rapid.IntRange(0, 7).Draw(s.t, "stuck") == 7 {
			delay += 5 * time.Second // the leader is partitioned without noticing
		}
		s.proposals = append(s.proposals, proposal{change: c, term: s.term, decided: s.now.Add(delay)})
	}
	for _, f := range s.targets {
		s.run(f)
	}
	s.check()
}

func (s *simulation) decideProposals() {
	s.proposals = slices.DeleteFunc(s.proposals, func(o proposal) bool {
		if s.now.Before(o.decided) {
			return false
		}
		if o.rejected {
			return true
		}
		s.apply(o.change)
		if c, ok := o.change.(config.AssignKeys); ok && o.term == s.leader.Term() {
			s.leader.ProposalDecided(c)
		}
		return true
	})
}

func (s *simulation) run(f *fakeTarget) {
	if f.down {
		return
	}
	if s.now.After(f.expires) {
		f.holds = nil // an expired lease is not a release
	}
	f.answers = slices.DeleteFunc(f.answers, func(a delayedAnswer) bool {
		if s.now.Before(a.arrives) {
			return false
		}
		f.applyAnswer(a, s.now)
		return true
	})
	if s.now.Before(f.next) {
		return
	}
	f.next = s.now.Add(interval)
	f.sendHeartbeat(s)
}

// sendHeartbeat sends a heartbeat. It or its answer may be lost.
func (f *fakeTarget) sendHeartbeat(s *simulation) {
	f.sequence++
	if f.isolated || rapid.IntRange(0, 9).Draw(s.t, "lost") == 9 {
		return
	}
	h := Heartbeat{Target: f.target, Sequence: f.sequence, Released: slices.Clone(f.released)}
	for _, r := range f.holds {
		h.Holds = append(h.Holds, HeldRange{Span: Span{r.First, r.Last}, Fence: r.Fence})
	}
	grant, ok := s.leader.ApplyHeartbeat(h, s.state, s.now)
	if !ok || rapid.IntRange(0, 9).Draw(s.t, "answer_lost") == 9 {
		return
	}
	delay := time.Duration(rapid.IntRange(0, 900).Draw(s.t, "answer_ms")) * time.Millisecond
	if rapid.IntRange(0, 3).Draw(s.t, "slow") < 3 {
		delay = 0
	}
	f.answers = append(f.answers, delayedAnswer{arrives: s.now.Add(delay), heartbeatSent: s.now, grant: grant, released: len(f.released)})
}

// applyAnswer changes what the target holds according to an answer.
func (f *fakeTarget) applyAnswer(a delayedAnswer, now time.Time) {
	f.released = f.released[min(a.released, len(f.released)):]
	if !a.grant.Keyed {
		return
	}
	f.expires = a.heartbeatSent.Add(a.grant.Lease + a.grant.Lease/50) // its clock runs slow
	var holds []config.KeyRange
	for _, r := range f.holds {
		kept := slices.ContainsFunc(a.grant.Ranges, func(g config.KeyRange) bool { return g.First <= r.First && r.Last <= g.Last })
		switch {
		case kept:
		case now.Before(f.busy):
			holds = append(holds, r) // requests for it are still running
			f.next = now.Add(100 * time.Millisecond)
		default:
			f.released = append(f.released, Release{Span: Span{r.First, r.Last}, Handover: fmt.Sprint("proof-", r.Fence)})
			f.next = now.Add(50 * time.Millisecond)
		}
	}
	for _, g := range a.grant.Ranges {
		if f.seen[g.First] > g.Fence {
			continue
		}
		f.seen[g.First] = g.Fence
		holds = append(holds, g)
	}
	f.holds = holds
}

// check fails the test if two targets hold the same key.
func (s *simulation) check() {
	type held struct {
		config.KeyRange
		by *fakeTarget
	}
	var all []held
	for _, f := range s.targets {
		if f.down || s.now.After(f.expires) {
			continue
		}
		for _, r := range f.holds {
			all = append(all, held{r, f})
		}
	}
	slices.SortFunc(all, func(a, b held) int { return int(a.First) - int(b.First) })
	for i := 1; i < len(all); i++ {
		a, b := all[i-1], all[i]
		if a.by != b.by && b.First <= a.Last {
			s.t.Fatalf("%s and %s both hold %d to %d (fences %d and %d)", a.by.target.ID, b.by.target.ID,
				b.First, min(a.Last, b.Last), a.Fence, b.Fence)
		}
	}
}

// disturb injects one fault or other event.
func (s *simulation) disturb() {
	f := rapid.SampledFrom(s.targets).Draw(s.t, "target")
	switch rapid.IntRange(0, 8).Draw(s.t, "what") {
	case 0:
		f.isolated = !f.isolated
	case 1: // the target crashes and restarts without its state
		f.holds, f.released, f.answers, f.expires = nil, nil, nil, time.Time{}
		f.sequence = 0
		f.target.Incarnation++
	case 2:
		f.down = !f.down
		f.holds, f.answers = nil, nil
		f.target.Incarnation++
	case 3:
		s.newLeader()
	case 4:
		s.apply(config.SetEvacuated{DataCentre: "a", Evacuated: true})
	case 5:
		s.apply(config.SetEvacuated{DataCentre: "a", Evacuated: false})
	case 6:
		f.busy = s.now.Add(700 * time.Millisecond)
	case 7:
		f.target.Draining = true
	case 8: // an entry VM reports a few hot keys and a slow target
		keyLoads := []KeyLoad{{Service: keyed, Key: 100, Busy: 3}, {Service: keyed, Key: 101, Busy: 2}, {Service: keyed, Key: 40000, Busy: 1}}
		s.leader.ApplyReport(Report{VM: "e1", KeyLoads: keyLoads, ServiceTimes: []TargetServiceTime{{f.target.ID, 4}}}, s.state, s.now)
	}
}

// TestNoKeyHasTwoHolders checks that at most one target holds a key at any time,
// despite lost and delayed heartbeats, partitions, restarts, changes of the leader,
// evacuations and rebalancing.
func TestNoKeyHasTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, rapid.IntRange(2, 5).Draw(t, "targets"))
		for range rapid.IntRange(40, 200).Draw(t, "rounds") {
			if rapid.IntRange(0, 5).Draw(t, "disturb") == 0 {
				s.disturb()
			}
			for range 8 {
				s.step()
			}
		}
	})
}

// TestKeysAreServedAgainAfterALoss checks that the keys of a target that fails
// without deregistering are assigned to other targets within a few heartbeats after
// its lease has ended.
func TestKeysAreServedAgainAfterALoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t, 4)
		s.connected = true
		for range 240 {
			s.step()
		}
		failed := s.targets[0]
		failed.down = true
		held := slices.Clone(failed.holds)
		if len(held) == 0 {
			t.Fatal("the target held nothing")
		}
		const heartbeats = 12 // allows for lost heartbeats and answers
		for range int((testParameters.maxLeaseDuration() + heartbeats*interval) / step) {
			s.step()
		}
		for _, r := range held {
			owner, ok := s.state.Keys[keyed].Find(r.First)
			if !ok || owner.Owner == failed.target.ID {
				t.Fatalf("key %d still belongs to %s", r.First, owner.Owner)
			}
		}
	})
}

// TestReleaseOfAnEarlierGrantProvesNothing guards against a range being assigned to
// a new owner with an outdated proof: the range was revoked and released, granted
// again to the same target and revoked again, and the first release was taken as
// proof of the second.
func TestReleaseOfAnEarlierGrantProvesNothing(t *testing.T) {
	is := is.New(t)
	state := config.NewState()
	for _, c := range []config.Change{
		config.PatchCatalog{Services: []config.TargetClass{{Item: config.Item{Revision: 1}, Name: keyed, Keyed: true}}},
		config.AssignKeys{Service: keyed, Ranges: []config.KeyRange{{Last: 99, Owner: "a", Life: 1}, {First: 100, Last: config.KeySpace - 1, Owner: "b", Life: 1}}},
	} {
		next, err := state.Apply(config.Command{Change: c})
		is.NoErr(err)
		state = next
	}
	now := time.Unix(1000, 0)
	leader := NewLeaderState(testParameters)
	leader.BeginTerm(1, now)
	sendHeartbeat := func(id core.TargetID, sequence uint64, released ...Release) Grant {
		grant, ok := leader.ApplyHeartbeat(Heartbeat{
			Target:   core.Target{ID: id, Service: keyed, DataCentre: core.DataCentre(id), Address: string(id), Slots: 4, Incarnation: 1},
			Sequence: sequence, Released: released,
		}, state, now)
		is.True(ok)
		return grant
	}
	sendHeartbeat("b", 1)
	is.Equal(len(sendHeartbeat("a", 1, Release{Span{0, 99}, "old"}).Ranges), 1) // released once, granted again
	now = now.Add(initialAssignDelay + step)
	evacuated, err := state.Apply(config.Command{Change: config.SetEvacuated{DataCentre: "a", Evacuated: true}})
	is.NoErr(err)
	sendHeartbeat("b", 2)
	for range 4 { // revoked, and assigned to no other target without a new proof
		for _, c := range leader.Plan(evacuated, now) {
			_, assigned := c.(config.AssignKeys)
			is.True(!assigned)
		}
		now = now.Add(step)
	}
}
