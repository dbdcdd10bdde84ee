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

// TestMain runs the generated cases from a fixed seed unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
		_ = flag.Set("rapid.checks", "40") // a round plays up to six minutes of virtual time
	}
	os.Exit(m.Run())
}

const (
	keyed    core.Service = "archivio"
	interval              = 800 * time.Millisecond
	lease                 = 4 * time.Second
)

var testTerms = Terms{
	HeartbeatInterval: interval, KeyLease: lease,
	Quota: Quota{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, Cold: Cold{Overage: 1.5, Slack: 5},
}

// world is a service's targets and the leaders of the registry, one after the
// other, in virtual time. Heartbeats and their answers may be lost or late.
type world struct {
	t       *rapid.T
	now     time.Time
	state   *config.State
	book    *Book
	targets []*fakeTarget
	open    []openChange // proposals without an outcome
	term    uint64
	// connected: no leader is ever cut off from the others.
	connected bool
}

type openChange struct {
	change  config.Change
	term    uint64
	settles time.Time
	lost    bool // its leader is gone: it is never accepted
}

// fakeTarget holds keys as a target does: until its lease ends, or until an
// answer leaves them out and what runs on them has ended.
type fakeTarget struct {
	target   core.Target
	sequence uint64
	holds    []config.KeyRange
	expires  time.Time
	busy     time.Time // work on the first held range ends then
	released []Release
	next     time.Time
	cut      bool
	down     bool
	seen     map[uint32]core.Version // highest fence seen, by the first key of a range
	answers  []lateAnswer
}

type lateAnswer struct {
	at       time.Time
	sent     time.Time
	grant    Grant
	released int // rows of it that the answered heartbeat carried
}

func newWorld(t *rapid.T, targets int) *world {
	w := &world{t: t, now: time.Unix(1000, 0), state: config.NewState(), book: NewBook(testTerms)}
	w.apply(config.PatchCatalog{Services: []config.TargetClass{{
		Item: config.Item{Revision: 1}, Name: keyed, Keyed: true, ColdRate: 12,
	}}})
	for i := range targets {
		w.targets = append(w.targets, &fakeTarget{
			target: core.Target{
				ID: core.TargetID(fmt.Sprint("i-", i)), Service: keyed, DataCentre: "a", Slots: 4,
				Address: fmt.Sprint("10.0.0.", i, ":80"), Incarnation: 1,
			},
			next: w.now.Add(time.Duration(i) * 50 * time.Millisecond), seen: map[uint32]core.Version{},
		})
	}
	w.newLeader()
	return w
}

func (w *world) apply(c config.Change) {
	next, err := w.state.Apply(config.Command{Change: c})
	if err != nil {
		w.t.Fatalf("apply %T: %v", c, err)
	}
	w.state = next
}

// newLeader begins a tenure. What the leader before proposed is either accepted
// by now or never will be.
func (w *world) newLeader() {
	for i := range w.open {
		w.open[i].lost = true
	}
	w.term++
	w.book.Begin(w.term, w.now)
}

const step = 25 * time.Millisecond

func (w *world) step() {
	w.now = w.now.Add(step)
	w.settle()
	w.book.Expire(w.now)
	for _, c := range w.book.Plan(w.state, w.now) {
		delay := time.Duration(rapid.IntRange(1, 200).Draw(w.t, "commit_ms")) * time.Millisecond
		if !w.connected && rapid.IntRange(0, 7).Draw(w.t, "stuck") == 7 {
			delay += 5 * time.Second // the leader is cut off and does not know it
		}
		w.open = append(w.open, openChange{change: c, term: w.term, settles: w.now.Add(delay)})
	}
	for _, f := range w.targets {
		w.run(f)
	}
	w.check()
}

func (w *world) settle() {
	w.open = slices.DeleteFunc(w.open, func(o openChange) bool {
		if w.now.Before(o.settles) {
			return false
		}
		if o.lost {
			return true
		}
		w.apply(o.change)
		if c, ok := o.change.(config.AssignKeys); ok && o.term == w.book.Term() {
			w.book.Settled(c)
		}
		return true
	})
}

func (w *world) run(f *fakeTarget) {
	if f.down {
		return
	}
	if w.now.After(f.expires) {
		f.holds = nil // an expired lease is not a release
	}
	f.answers = slices.DeleteFunc(f.answers, func(a lateAnswer) bool {
		if w.now.Before(a.at) {
			return false
		}
		f.take(a, w.now)
		return true
	})
	if w.now.Before(f.next) {
		return
	}
	f.next = w.now.Add(interval)
	f.beat(w)
}

// beat sends a heartbeat; it or its answer may be lost.
func (f *fakeTarget) beat(w *world) {
	f.sequence++
	if f.cut || rapid.IntRange(0, 9).Draw(w.t, "lost") == 9 {
		return
	}
	h := Heartbeat{Target: f.target, Sequence: f.sequence, Released: slices.Clone(f.released)}
	for _, r := range f.holds {
		h.Holds = append(h.Holds, Held{Span: Span{r.First, r.Last}, Fence: r.Fence})
	}
	grant, ok := w.book.Heard(h, w.state, w.now)
	if !ok || rapid.IntRange(0, 9).Draw(w.t, "answer_lost") == 9 {
		return
	}
	delay := time.Duration(rapid.IntRange(0, 900).Draw(w.t, "answer_ms")) * time.Millisecond
	if rapid.IntRange(0, 3).Draw(w.t, "slow") < 3 {
		delay = 0
	}
	f.answers = append(f.answers, lateAnswer{at: w.now.Add(delay), sent: w.now, grant: grant, released: len(f.released)})
}

// take obeys an answer.
func (f *fakeTarget) take(a lateAnswer, now time.Time) {
	f.released = f.released[min(a.released, len(f.released)):]
	if !a.grant.Keyed {
		return
	}
	f.expires = a.sent.Add(a.grant.Lease + a.grant.Lease/50) // its clock runs slow
	var holds []config.KeyRange
	for _, r := range f.holds {
		kept := slices.ContainsFunc(a.grant.Ranges, func(g config.KeyRange) bool { return g.First <= r.First && r.Last <= g.Last })
		switch {
		case kept:
		case now.Before(f.busy):
			holds = append(holds, r) // still at work on it
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

// check is the oracle: no two targets hold the same key.
func (w *world) check() {
	type held struct {
		config.KeyRange
		by *fakeTarget
	}
	var all []held
	for _, f := range w.targets {
		if f.down || w.now.After(f.expires) {
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
			w.t.Fatalf("%s and %s both hold %d to %d (fences %d and %d)", a.by.target.ID, b.by.target.ID,
				b.First, min(a.Last, b.Last), a.Fence, b.Fence)
		}
	}
}

// disturb does one thing to the world.
func (w *world) disturb() {
	f := rapid.SampledFrom(w.targets).Draw(w.t, "target")
	switch rapid.IntRange(0, 8).Draw(w.t, "what") {
	case 0:
		f.cut = !f.cut
	case 1: // it dies, and its next life knows nothing
		f.holds, f.released, f.answers, f.expires = nil, nil, nil, time.Time{}
		f.sequence = 0
		f.target.Incarnation++
	case 2:
		f.down = !f.down
		f.holds, f.answers = nil, nil
		f.target.Incarnation++
	case 3:
		w.newLeader()
	case 4:
		w.apply(config.SetEvacuated{DataCentre: "a", Evacuated: true})
	case 5:
		w.apply(config.SetEvacuated{DataCentre: "a", Evacuated: false})
	case 6:
		f.busy = w.now.Add(700 * time.Millisecond)
	case 7:
		f.target.Draining = true
	case 8: // entry VMs see a few hot keys and a slow target
		heat := []KeyHeat{{Service: keyed, Key: 100, Busy: 3}, {Service: keyed, Key: 101, Busy: 2}, {Service: keyed, Key: 40000, Busy: 1}}
		w.book.Reported(Report{VM: "e1", Heat: heat, Speeds: []TargetSpeed{{f.target.ID, 4}}}, w.state, w.now)
	}
}

// TestNoKeyHasTwoHolders holds that at most one target holds a key at any time,
// through lost and late heartbeats, cuts, restarts, changes of leader,
// evacuations and moves for load.
func TestNoKeyHasTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.IntRange(2, 5).Draw(t, "targets"))
		for range rapid.IntRange(40, 200).Draw(t, "rounds") {
			if rapid.IntRange(0, 5).Draw(t, "disturb") == 0 {
				w.disturb()
			}
			for range 8 {
				w.step()
			}
		}
	})
}

// TestKeysAreServedAgainAfterALoss holds that the keys of a target that is lost
// without a word have another holder once its lease has ended, and no later
// than a heartbeat after that.
func TestKeysAreServedAgainAfterALoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, 4)
		w.connected = true
		for range 240 {
			w.step()
		}
		lost := w.targets[0]
		lost.down = true
		held := slices.Clone(lost.holds)
		if len(held) == 0 {
			t.Fatal("the target held nothing")
		}
		const beats = 12 // lost heartbeats and answers are repeated
		for range int((testTerms.leaseBound() + beats*interval) / step) {
			w.step()
		}
		for _, r := range held {
			owner, ok := w.state.Keys[keyed].Find(r.First)
			if !ok || owner.Owner == lost.target.ID {
				t.Fatalf("key %d still belongs to %s", r.First, owner.Owner)
			}
		}
	})
}

// TestReleaseOfAnEarlierGrantProvesNothing replays a found failure: a range was
// released under a former revocation, granted again, revoked again, and given
// on at once by the old proof.
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
	book := NewBook(testTerms)
	book.Begin(1, now)
	beat := func(id core.TargetID, sequence uint64, released ...Release) Grant {
		grant, ok := book.Heard(Heartbeat{
			Target:   core.Target{ID: id, Service: keyed, DataCentre: core.DataCentre(id), Address: string(id), Slots: 4, Incarnation: 1},
			Sequence: sequence, Released: released,
		}, state, now)
		is.True(ok)
		return grant
	}
	beat("b", 1)
	is.Equal(len(beat("a", 1, Release{Span{0, 99}, "old"}).Ranges), 1) // released once, granted again
	now = now.Add(settleTime + step)
	evacuated, err := state.Apply(config.Command{Change: config.SetEvacuated{DataCentre: "a", Evacuated: true}})
	is.NoErr(err)
	beat("b", 2)
	for range 4 { // revoked, and given to nobody before a new proof
		for _, c := range book.Plan(evacuated, now) {
			_, assigned := c.(config.AssignKeys)
			is.True(!assigned)
		}
		now = now.Add(step)
	}
}
