package registry

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/configjson"
	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/storage"
)

// network connects voters that run in one process. A partitioned VM neither sends
// nor receives. With dropAnswers, proposals arrive but their answers are lost.
type network struct {
	mu          sync.Mutex
	voters      map[core.VM]*voter
	partitioned map[core.VM]bool
	dropAnswers bool
}

type voter struct {
	vm    core.VM
	net   *network
	task  *Task
	files storage.FileSystem
	stop  context.CancelFunc
	done  chan struct{}
}

func newNetwork() *network {
	return &network{voters: map[core.VM]*voter{}, partitioned: map[core.VM]bool{}}
}

func members(n int) raft.Members {
	var m raft.Members
	for i := range n {
		m = append(m, raft.Member{VM: core.VM(fmt.Sprintf("v%d", i+1)), Address: "x"})
	}
	return m
}

var bootstrapChange = &config.Bootstrap{
	DataCentres: []config.DataCentre{{Name: "a", Status: config.DataCentreActive}},
}

// start starts a voter with the files of its last run, if any.
func (n *network) start(t testing.TB, vm core.VM, first raft.Members) *voter {
	n.mu.Lock()
	v := n.voters[vm]
	if v == nil {
		v = &voter{vm: vm, net: n, files: storage.InMemory()}
		n.voters[vm] = v
	}
	n.mu.Unlock()
	task, err := NewTask(Options{
		Self: vm, Members: first, Bootstrap: bootstrapChange, Files: v.files, Codec: configjson.Codec{},
		Transport: link{n, vm}, SnapshotEntries: 64, Seed: uint64(vm[1]) * 7919,
		OnUpdate: func(configsync.Update) {}, OnEvent: func(string, string) {},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = task.Serve(ctx)
	}()
	n.mu.Lock()
	v.task, v.stop, v.done = task, cancel, done
	n.mu.Unlock()
	return v
}

func (n *network) withLock(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// crash stops a voter without letting it send anything to the others.
func (v *voter) crash() {
	v.net.withLock(func() { v.net.partitioned[v.vm] = true })
	v.stop()
	<-v.done
	v.net.withLock(func() { delete(v.net.partitioned, v.vm) })
}

func (n *network) stopAll() {
	for _, v := range n.voters {
		v.stop()
	}
	for _, v := range n.voters {
		<-v.done
	}
}

func (n *network) reachable() []*voter {
	n.mu.Lock()
	defer n.mu.Unlock()
	var voters []*voter
	for _, v := range n.voters {
		if !n.partitioned[v.vm] {
			voters = append(voters, v)
		}
	}
	return voters
}

func (n *network) leader() *voter {
	for {
		for _, v := range n.reachable() {
			if s, err := v.task.Status(context.Background()); err == nil && s.Role == raft.Leader {
				return v
			}
		}
		time.Sleep(tickPeriod)
	}
}

// link is the transport of one voter.
type link struct {
	net  *network
	self core.VM
}

func (l link) peer(to raft.Member) *Task {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.partitioned[l.self] || l.net.partitioned[to.VM] {
		return nil
	}
	if v := l.net.voters[to.VM]; v != nil {
		return v.task
	}
	return nil
}

func (l link) dropsAnswers() bool {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	return l.net.dropAnswers
}

func (l link) Send(ctx context.Context, to raft.Member, messages []raft.Message) ([]raft.Message, error) {
	if t := l.peer(to); t != nil {
		time.Sleep(time.Millisecond)
		answers := t.Deliver(ctx, raft.Member{VM: l.self, Address: "x"}, messages)
		if l.peer(to) != nil { // the answer is lost if either VM was partitioned meanwhile
			return answers, nil
		}
	}
	return nil, nil
}

func (l link) Propose(ctx context.Context, to raft.Member, command []byte) (core.Version, error) {
	t := l.peer(to)
	if t == nil {
		return 0, result.New(result.NoLeader, "partitioned")
	}
	version, err := t.ProposeLocal(ctx, command)
	if l.dropsAnswers() {
		return 0, result.New(result.CommitUnknown, "the answer was lost")
	}
	return version, err
}

func (l link) ChangeMember(ctx context.Context, to raft.Member, change MemberChange) error {
	if t := l.peer(to); t != nil {
		return t.ChangeMemberLocal(ctx, change)
	}
	return result.New(result.NoLeader, "partitioned")
}

func put(id string, expected core.Version, rate float64) config.Command {
	return config.Command{
		RequestID: id, Expected: expected,
		Change: config.PutWorkspace{Workspace: config.Workspace{Name: "lab", Rate: rate}},
	}
}

// TestSingleVoterRestarts checks that no accepted change is lost when a process
// restarts after hundreds of changes, from a snapshot and the log after it, and
// that a retried change gets the original answer.
func TestSingleVoterRestarts(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		v := n.start(t, "v1", members(1))
		const changes = 300
		for i := range changes {
			_, err := v.task.Propose(t.Context(), put(fmt.Sprint("r", i), 0, float64(i)))
			is.NoErr(err)
		}
		v.stop()
		<-v.done
		v = n.start(t, "v1", nil)
		s, err := v.task.Read(t.Context())
		is.NoErr(err)
		is.Equal(s.Version, core.Version(changes+1)) // including the bootstrap change
		is.Equal(s.Workspaces["lab"].Rate, float64(changes-1))
		s, err = v.task.Propose(t.Context(), put(fmt.Sprint("r", changes-1), 0, changes-1))
		is.NoErr(err)
		is.Equal(s.Version, core.Version(changes+1))
		is.Equal(s.AnswerVersion(fmt.Sprint("r", changes-5)), core.Version(changes-3))
		v.stop()
		<-v.done
	})
}

// TestOperatorsRaceWithEqualVersions checks that of three concurrent changes that
// expect the same version, one at each voter, exactly one is accepted and the
// others get a version conflict.
func TestOperatorsRaceWithEqualVersions(t *testing.T) {
	defer goleak.VerifyNone(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		for _, m := range members(3) {
			n.start(t, m.VM, members(3))
		}
		s, err := n.leader().task.Read(t.Context())
		is.NoErr(err)
		for round := range 20 {
			results := make(chan error, 3)
			for i, v := range []*voter{n.voters["v1"], n.voters["v2"], n.voters["v3"]} {
				go func() {
					_, err := v.task.Propose(t.Context(), put(fmt.Sprint(round, "-", i), s.Version, float64(i)))
					results <- err
				}()
			}
			codes := map[result.Code]int{}
			for range 3 {
				codes[result.CodeOf(<-results)]++
			}
			is.Equal(codes, map[result.Code]int{result.OK: 1, result.VersionConflict: 2})
			s, err = n.voters["v1"].task.Read(t.Context())
			is.NoErr(err)
		}
		n.stopAll()
	})
}

// TestResendAfterLostAnswer checks that a change whose answer was lost is applied
// once although it is retried, and that the result is "may have run" as long as
// the outcome is unknown.
func TestResendAfterLostAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		for _, m := range members(3) {
			n.start(t, m.VM, members(3))
		}
		leader := n.leader()
		var follower *voter
		for _, v := range n.voters {
			if v != leader {
				follower = v
			}
		}
		before, err := leader.task.Read(t.Context())
		is.NoErr(err)
		n.withLock(func() { n.dropAnswers = true })
		_, err = follower.task.Propose(t.Context(), put("once", before.Version, 7))
		is.Equal(result.CodeOf(err), result.CommitUnknown)
		is.Equal(result.From(err).Ran, result.MayHaveRun)
		n.withLock(func() { n.dropAnswers = false })
		s, err := follower.task.Propose(t.Context(), put("once", before.Version, 7))
		is.NoErr(err)
		is.Equal(s.Version, before.Version+1)
		is.Equal(s.AnswerVersion("once"), before.Version+1)
		_, err = follower.task.Propose(t.Context(), put("once", before.Version, 8))
		is.Equal(result.CodeOf(err), result.RequestIDReused)
		n.stopAll()
	})
}

// TestPartitionedLeader checks that a leader without a majority accepts no change,
// doesn't report "not run" for a change that is in its log, and confirms no read.
func TestPartitionedLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		for _, m := range members(3) {
			n.start(t, m.VM, members(3))
		}
		oldLeader := n.leader()
		s, err := oldLeader.task.Read(t.Context())
		is.NoErr(err)
		n.withLock(func() { n.partitioned[oldLeader.vm] = true })
		_, err = oldLeader.task.Propose(t.Context(), put("lost", 0, 1))
		is.Equal(result.CodeOf(err), result.CommitUnknown) // it is in the old leader's log
		_, err = oldLeader.task.Read(t.Context())
		is.Equal(result.CodeOf(err), result.NoLeader)
		next, err := n.leader().task.Propose(t.Context(), put("kept", s.Version, 2))
		is.NoErr(err)
		n.withLock(func() { delete(n.partitioned, oldLeader.vm) })
		_, err = oldLeader.task.Propose(t.Context(), put("late", s.Version, 3))
		is.Equal(result.CodeOf(err), result.VersionConflict)
		got, err := oldLeader.task.Read(t.Context())
		is.NoErr(err)
		is.Equal(got.Version, next.Version)
		is.Equal(got.Workspaces["lab"].Rate, 2.0)
		n.stopAll()
	})
}

// TestReplaceAVoterThenLoseAnother checks that a second VM can be lost right after
// a lost voter was replaced: the new voter, which starts with an empty disk,
// catches up from a snapshot before it counts towards majorities.
func TestReplaceAVoterThenLoseAnother(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		for _, m := range members(3) {
			n.start(t, m.VM, members(3))
		}
		leader := n.leader()
		for i := range 200 {
			_, err := leader.task.Propose(t.Context(), put(fmt.Sprint("r", i), 0, float64(i)))
			is.NoErr(err)
		}
		var others []*voter
		for _, v := range n.voters {
			if v != leader {
				others = append(others, v)
			}
		}
		others[0].crash()
		n.withLock(func() { n.partitioned[others[0].vm] = true })
		n.start(t, "v4", nil)
		is.NoErr(others[1].task.AddVoter(t.Context(), "v4", "x")) // on a follower
		is.NoErr(leader.task.RemoveVoter(t.Context(), others[0].vm))
		is.NoErr(leader.task.AddVoter(t.Context(), "v4", "x")) // a repeated call
		s, err := leader.task.Propose(t.Context(), put("last", 0, -0))
		is.NoErr(err)
		leader.crash()
		n.withLock(func() { n.partitioned[leader.vm] = true })
		got, err := n.voters["v4"].task.Read(t.Context())
		is.NoErr(err)
		is.Equal(got.Version, s.Version)
		status, err := n.voters["v4"].task.Status(t.Context())
		is.NoErr(err)
		is.Equal(len(status.Members.Voters()), 3)
		n.stopAll()
	})
}

// TestOnlyAnotherEntryProvesNotRun checks that a proposal gets the outcome at its
// index only if the entry there has the proposal's term, and otherwise "not run".
func TestOnlyAnotherEntryProvesNotRun(t *testing.T) {
	is := is.New(t)
	_, err := proposalAnswer(3, outcome{index: 7, term: 4, version: 9})
	is.Equal(result.CodeOf(err), result.NoLeader)
	is.Equal(result.From(err).Ran, result.NotRun)
	a, err := proposalAnswer(3, outcome{index: 7, term: 3, version: 9})
	is.NoErr(err)
	is.Equal(a.version, core.Version(9))
}

// TestLostLeaderIsReplacedWithinSeconds checks that a change proposed at the
// moment when the leader is lost, by a partition or a planned stop, is in effect
// on the proposing voter within 4 s.
func TestLostLeaderIsReplacedWithinSeconds(t *testing.T) {
	for _, planned := range []bool{false, true} {
		worst, total := time.Duration(0), time.Duration(0)
		const rounds = 30
		for round := range rounds {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetwork()
				for _, m := range members(3) {
					n.start(t, m.VM, members(3))
				}
				oldLeader := n.leader()
				time.Sleep(time.Second + time.Duration(round)*7*time.Millisecond)
				begin := time.Now()
				if planned {
					oldLeader.stop()
				} else {
					n.withLock(func() { n.partitioned[oldLeader.vm] = true })
				}
				for _, v := range n.reachable() {
					if v != oldLeader {
						_, err := v.task.Propose(t.Context(), put("x", 0, 1))
						is.NoErr(err)
						break
					}
				}
				took := time.Since(begin)
				worst, total = max(worst, took), total+took
				is.True(took < 4*time.Second)
				n.stopAll()
			})
		}
		t.Log("planned", planned, "mean", total/rounds, "worst", worst)
	}
}
