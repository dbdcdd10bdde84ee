package claims

import (
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
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "6000")
	os.Exit(m.Run())
}

var start = time.Unix(100000, 0)

const ttl = time.Minute

func stateOf(members int) *config.State {
	s := config.NewState()
	s.DataCentres["dc"] = config.DataCentre{Name: "dc", Status: config.DataCentreActive}
	c := config.Cell{Name: "c", DataCentre: "dc", Epoch: 1}
	for i := range members {
		vm := core.VM(fmt.Sprintf("m%d", i))
		c.Members = append(c.Members, vm)
		s.VMs[vm] = config.VM{Name: vm, Cell: "c"}
	}
	s.Cells["c"] = c
	s.Services["s"] = config.Service{Name: "s", IdempotencyTTL: ttl, Created: start.Add(time.Second)}
	return s
}

// attempt is one request that collects replies to its claim.
type attempt struct {
	claim   Claim
	replies []Reply
	asked   map[core.VM]bool
	decided bool
}

// cluster is a cell whose messages, restarts and clock the test controls.
type cluster struct {
	state    *config.State
	members  map[core.VM]*Member
	boots    map[core.VM]Boot
	attempts []*attempt
	memories []telling
	ran      int
	now      time.Time
}

// telling is a memory on its way to a member.
type telling struct {
	from, to core.VM
	boot     Boot
	memory   Memory
}

func newCluster(members int) *cluster {
	c := &cluster{state: stateOf(members), members: map[core.VM]*Member{}, boots: map[core.VM]Boot{}, now: start}
	for vm := range c.state.VMs {
		c.restart(vm)
	}
	c.now = start.Add(3 * time.Second)
	return c
}

func (c *cluster) restart(vm core.VM) {
	c.boots[vm]++
	c.members[vm] = NewMember(vm, c.boots[vm], c.now)
	c.members[vm].Configure(c.state, c.now)
}

func (c *cluster) ask(a *attempt, vm core.VM) {
	if a.asked[vm] || a.decided {
		return
	}
	a.asked[vm] = true
	a.replies = append(a.replies, c.members[vm].Claim(a.claim, 1, c.now))
	all := len(a.asked) == len(c.members)
	decision, _ := Decide(a.replies, len(c.members), all)
	a.decided = decision != Undecided
	if decision == Run {
		c.ran++
	}
}

// hear delivers a memory, unless the member restarted since it asked.
func (c *cluster) hear(m telling) {
	if m.to != "" && m.boot == c.boots[m.to] {
		c.members[m.to].Hear(m.from, m.memory, c.now)
	}
}

// TestAtMostOneRun drives requests with one key at random against members that
// restart and fetch each other's memory, with every message delayed at will: at
// most one of them runs within the claim's time.
func TestAtMostOneRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.SampledFrom([]int{1, 2, 3, 3, 3, 4, 5}).Draw(t, "members")
		c := newCluster(n)
		member := func(name string) core.VM {
			return core.VM(fmt.Sprintf("m%d", rapid.IntRange(0, n-1).Draw(t, name)))
		}
		for i := range 3 {
			c.attempts = append(c.attempts, &attempt{
				claim: Claim{Key: Key{"w", "s", "k"}, Request: core.RequestID(fmt.Sprint(i)), TTL: ttl},
				asked: map[core.VM]bool{},
			})
		}
		tell := func() telling {
			from, to := member("from"), member("to")
			if from == to {
				return telling{}
			}
			return telling{from, to, c.boots[to], c.members[from].Tell(to, c.boots[to], 1, c.now)}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				c.ask(c.attempts[rapid.IntRange(0, 2).Draw(t, "attempt")], member("member"))
			case 4:
				c.restart(member("restarts"))
			case 5, 6, 7:
				c.hear(tell())
			case 8:
				c.memories = append(c.memories, tell())
			default:
				if len(c.memories) > 0 {
					c.hear(c.memories[rapid.IntRange(0, len(c.memories)-1).Draw(t, "memory")])
				}
			}
			if c.ran > 1 {
				t.Fatalf("%d requests with one key run", c.ran)
			}
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// TestResendGetsTheStoredAnswer: a resend doesn't run and gets the answer of the
// first, or "may have run" when that is not stored; another body is a conflict.
func TestResendGetsTheStoredAnswer(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	first := Claim{Key: Key{"w", "s", "k"}, Request: "first", Digest: 1, TTL: ttl}
	resend, other := first, first
	resend.Request, other.Request, other.Digest = "resend", "other", 2
	decide := func(claim Claim) (Decision, *Stored) {
		var replies []Reply
		for _, m := range c.members {
			replies = append(replies, m.Claim(claim, 1, c.now))
		}
		return Decide(replies, 3, true)
	}
	d, _ := decide(first)
	is.Equal(d, Run)
	d, _ = decide(first) // the same request asks again after a lost reply
	is.Equal(d, Run)
	d, _ = decide(resend)
	is.Equal(d, Duplicate)
	for _, m := range c.members {
		m.Finish(first, &Stored{Status: 200, Body: []byte("done")}, c.now)
	}
	d, answer := decide(resend)
	is.Equal(d, Answered)
	is.Equal(string(answer.Body), "done")
	d, _ = decide(other)
	is.Equal(d, Conflict)
	scoped := resend
	scoped.Key.Workspace = "another"
	d, _ = decide(scoped)
	is.Equal(d, Run)
}

// TestWithdrawnClaimRunsAgain: after "not run" the caller's resend may run.
func TestWithdrawnClaimRunsAgain(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	first := Claim{Key: Key{"w", "s", "k"}, Request: "first", TTL: ttl}
	resend := first
	resend.Request = "resend"
	v, _ := s.Claim(first, start)
	is.Equal(v, Granted)
	s.Withdraw(resend) // not the holder
	v, _ = s.Claim(resend, start)
	is.Equal(v, Taken)
	s.Withdraw(first)
	v, _ = s.Claim(resend, start)
	is.Equal(v, Granted)
}

// TestLostCellDoesNotVote: when a whole cell restarted, it refuses claims of
// services older than it until every earlier claim has expired.
func TestLostCellDoesNotVote(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	for vm := range c.state.VMs {
		c.restart(vm)
	}
	claim := Claim{Key: Key{"w", "s", "k"}, Request: "r", TTL: ttl}
	m := c.members["m0"]
	is.Equal(m.Claim(claim, 1, c.now).Verdict, NoVote)
	for _, vm := range m.Missing(c.now) {
		m.Hear(vm, c.members[vm].Tell("m0", c.boots["m0"], 1, c.now), c.now)
	}
	is.Equal(m.Claim(claim, 1, c.now).Verdict, NoVote)
	is.Equal(m.Claim(claim, 1, c.now.Add(ttl)).Verdict, Granted)
}

// TestDeadCellsKeysWait: keys whose claims were in a cell stated dead get no
// vote in their new one until those claims have expired.
func TestDeadCellsKeysWait(t *testing.T) {
	is := is.New(t)
	two := stateOf(3)
	two.DataCentres["other"] = config.DataCentre{Name: "other", Status: config.DataCentreActive}
	two.Cells["d"] = config.Cell{Name: "d", DataCentre: "other", Members: []core.VM{"x"}}
	m := NewMember("m0", 1, start)
	m.Configure(two, start)
	dead := stateOf(3)
	dead.DataCentres["other"] = config.DataCentre{Name: "other", Status: config.DataCentreDead}
	dead.Cells["d"] = two.Cells["d"]
	now := start.Add(5 * time.Second)
	m.Configure(dead, now)
	for i := range 50 {
		claim := Claim{Key: Key{"w", "s", fmt.Sprint(i)}, Request: "r", TTL: ttl}
		old, _ := Home(two, claim.Key)
		fresh, _ := Home(dead, claim.Key)
		is.Equal(fresh.Name, core.Cell("c"))
		want := NoVote
		if old.Name == "c" {
			want = Granted
		}
		is.Equal(m.Claim(claim, 1, now).Verdict, want)
		is.Equal(m.Claim(claim, 1, now.Add(DefaultTTL)).Verdict, Granted)
	}
}

func BenchmarkClaim(b *testing.B) {
	b.ReportAllocs()
	s := NewStore()
	c := Claim{Key: Key{"w", "s", "k"}, Request: "r", TTL: ttl}
	for b.Loop() {
		s.Claim(c, start)
		s.Withdraw(c)
	}
}
