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

// network joins voters of one process. A cut VM neither sends nor receives;
// loseAnswers lets questions arrive and their answers get lost.
type network struct {
	mu          sync.Mutex
	voters      map[core.VM]*voter
	cut         map[core.VM]bool
	loseAnswers bool
}

type voter struct {
	vm    core.VM
	net   *network
	task  *Task
	files storage.Files
	stop  context.CancelFunc
	done  chan struct{}
}

func newNetwork() *network {
	return &network{voters: map[core.VM]*voter{}, cut: map[core.VM]bool{}}
}

func members(n int) raft.Members {
	var m raft.Members
	for i := range n {
		m = append(m, raft.Member{VM: core.VM(fmt.Sprintf("v%d", i+1)), Address: "x"})
	}
	return m
}

var firstChange = &config.Bootstrap{
	DataCentres: []config.DataCentre{{Name: "a", Status: config.DataCentreActive}},
}

// start runs a voter on what its files hold.
func (n *network) start(t testing.TB, vm core.VM, first raft.Members) *voter {
	n.mu.Lock()
	v := n.voters[vm]
	if v == nil {
		v = &voter{vm: vm, net: n, files: storage.Memory()}
		n.voters[vm] = v
	}
	n.mu.Unlock()
	task, err := NewTask(Options{
		Self: vm, Members: first, Bootstrap: firstChange, Files: v.files, Codec: configjson.Codec{},
		Transport: link{n, vm}, Snapshots: 64, Seed: uint64(vm[1]) * 7919,
		Changed: func(configsync.Update) {}, Report: func(string, string) {},
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

func (n *network) set(change func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change()
}

// halt ends a voter without a word to the others.
func (v *voter) halt() {
	v.net.set(func() { v.net.cut[v.vm] = true })
	v.stop()
	<-v.done
	v.net.set(func() { delete(v.net.cut, v.vm) })
}

func (n *network) stopAll() {
	for _, v := range n.voters {
		v.stop()
	}
	for _, v := range n.voters {
		<-v.done
	}
}

func (n *network) connected() []*voter {
	n.mu.Lock()
	defer n.mu.Unlock()
	var voters []*voter
	for _, v := range n.voters {
		if !n.cut[v.vm] {
			voters = append(voters, v)
		}
	}
	return voters
}

func (n *network) leader() *voter {
	for {
		for _, v := range n.connected() {
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
	if l.net.cut[l.self] || l.net.cut[to.VM] {
		return nil
	}
	if v := l.net.voters[to.VM]; v != nil {
		return v.task
	}
	return nil
}

func (l link) losesAnswers() bool {
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	return l.net.loseAnswers
}

func (l link) Send(ctx context.Context, to raft.Member, messages []raft.Message) ([]raft.Message, error) {
	if t := l.peer(to); t != nil {
		time.Sleep(time.Millisecond)
		answers := t.Deliver(ctx, raft.Member{VM: l.self, Address: "x"}, messages)
		if l.peer(to) != nil { // the way back may be cut meanwhile
			return answers, nil
		}
	}
	return nil, nil
}

func (l link) Propose(ctx context.Context, to raft.Member, command []byte) (core.Version, error) {
	t := l.peer(to)
	if t == nil {
		return 0, result.New(result.NoLeader, "cut")
	}
	version, err := t.ProposeHere(ctx, command)
	if l.losesAnswers() {
		return 0, result.New(result.CommitUnknown, "the answer was lost")
	}
	return version, err
}

func (l link) ChangeMember(ctx context.Context, to raft.Member, change MemberChange) error {
	if t := l.peer(to); t != nil {
		return t.ChangeMemberHere(ctx, change)
	}
	return result.New(result.NoLeader, "cut")
}

func put(id string, expected core.Version, rate float64) config.Command {
	return config.Command{
		RequestID: id, Expected: expected,
		Change: config.PutWorkspace{Workspace: config.Workspace{Name: "lab", Rate: rate}},
	}
}

// TestSingleVoterRestarts holds "processes restart after hundreds of changes":
// every accepted change is there after a restart, with a log and with a
// snapshot, and a resend gets the first answer.
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
		is.Equal(s.Version, core.Version(changes+1)) // and the first change
		is.Equal(s.Workspaces["lab"].Rate, float64(changes-1))
		s, err = v.task.Propose(t.Context(), put(fmt.Sprint("r", changes-1), 0, changes-1))
		is.NoErr(err)
		is.Equal(s.Version, core.Version(changes+1))
		is.Equal(s.AnswerVersion(fmt.Sprint("r", changes-5)), core.Version(changes-3))
		v.stop()
		<-v.done
	})
}

// TestOperatorsRaceWithEqualVersions: of two changes that expect one version,
// at two voters, exactly one is accepted and the other is told.
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

// TestResendAfterLostAnswer: a change whose answer got lost runs once, though
// it is sent again, and its outcome is "may have run" as long as it is unknown.
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
		n.set(func() { n.loseAnswers = true })
		_, err = follower.task.Propose(t.Context(), put("once", before.Version, 7))
		is.Equal(result.CodeOf(err), result.CommitUnknown)
		is.Equal(result.From(err).Ran, result.MayHaveRun)
		n.set(func() { n.loseAnswers = false })
		s, err := follower.task.Propose(t.Context(), put("once", before.Version, 7))
		is.NoErr(err)
		is.Equal(s.Version, before.Version+1)
		is.Equal(s.AnswerVersion("once"), before.Version+1)
		_, err = follower.task.Propose(t.Context(), put("once", before.Version, 8))
		is.Equal(result.CodeOf(err), result.RequestIDReused)
		n.stopAll()
	})
}

// TestCutOffLeader: a leader without a majority accepts nothing, claims "not
// run" only where that is proved, and serves no confirmed read.
func TestCutOffLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetwork()
		for _, m := range members(3) {
			n.start(t, m.VM, members(3))
		}
		old := n.leader()
		s, err := old.task.Read(t.Context())
		is.NoErr(err)
		n.set(func() { n.cut[old.vm] = true })
		_, err = old.task.Propose(t.Context(), put("lost", 0, 1))
		is.Equal(result.CodeOf(err), result.CommitUnknown) // it is in the old leader's log
		_, err = old.task.Read(t.Context())
		is.Equal(result.CodeOf(err), result.NoLeader)
		next, err := n.leader().task.Propose(t.Context(), put("kept", s.Version, 2))
		is.NoErr(err)
		n.set(func() { delete(n.cut, old.vm) })
		_, err = old.task.Propose(t.Context(), put("late", s.Version, 3))
		is.Equal(result.CodeOf(err), result.VersionConflict)
		got, err := old.task.Read(t.Context())
		is.NoErr(err)
		is.Equal(got.Version, next.Version)
		is.Equal(got.Workspaces["lab"].Rate, 2.0)
		n.stopAll()
	})
}

// TestReplaceAVoterThenLoseAnother holds "a second VM can be lost right after a
// repair": a joining voter with an empty disk catches up by a snapshot before
// it counts.
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
		others[0].halt()
		n.set(func() { n.cut[others[0].vm] = true })
		n.start(t, "v4", nil)
		is.NoErr(others[1].task.AddVoter(t.Context(), "v4", "x")) // asked of a follower
		is.NoErr(leader.task.RemoveVoter(t.Context(), others[0].vm))
		is.NoErr(leader.task.AddVoter(t.Context(), "v4", "x")) // a resend
		s, err := leader.task.Propose(t.Context(), put("last", 0, -0))
		is.NoErr(err)
		leader.halt()
		n.set(func() { n.cut[leader.vm] = true })
		got, err := n.voters["v4"].task.Read(t.Context())
		is.NoErr(err)
		is.Equal(got.Version, s.Version)
		status, err := n.voters["v4"].task.Status(t.Context())
		is.NoErr(err)
		is.Equal(len(status.Members.Voters()), 3)
		n.stopAll()
	})
}

// TestOnlyAnotherEntryProvesNotRun holds "a refusal that says not run is true":
// the outcome at a proposal's index counts only in the proposal's term.
func TestOnlyAnotherEntryProvesNotRun(t *testing.T) {
	is := is.New(t)
	_, err := settle(3, outcome{index: 7, term: 4, version: 9})
	is.Equal(result.CodeOf(err), result.NoLeader)
	is.Equal(result.From(err).Ran, result.NotRun)
	a, err := settle(3, outcome{index: 7, term: 3, version: 9})
	is.NoErr(err)
	is.Equal(a.version, core.Version(9))
}

// TestLostLeaderIsReplacedWithinSeconds: a change that is asked for when the
// leader is lost, without a word or by a planned stop, is accepted in time to be
// in force within 4 s.
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
				old := n.leader()
				time.Sleep(time.Second + time.Duration(round)*7*time.Millisecond)
				begin := time.Now()
				if planned {
					old.stop()
				} else {
					n.set(func() { n.cut[old.vm] = true })
				}
				for _, v := range n.connected() {
					if v != old {
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
