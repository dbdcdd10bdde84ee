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

// attempt is one request and the replies to its claim.
type attempt struct {
	claim   Claim
	replies []Reply
	asked   map[core.VM]bool
	decided bool
}

// cluster is a cell in which the test controls messages, restarts and the clock.
type cluster struct {
	state    *config.State
	members  map[core.VM]*Member
	boots    map[core.VM]Boot
	attempts []*attempt
	delayed  []delivery
	ran      int
	now      time.Time
}

// delivery is a copy of claims in transit to a member.
type delivery struct {
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

func (c *cluster) requestVote(a *attempt, vm core.VM) {
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

// deliver passes a copy of claims to its member, unless that has restarted since
// it asked.
func (c *cluster) deliver(m delivery) {
	if m.to != "" && m.boot == c.boots[m.to] {
		c.members[m.to].AddCopy(m.from, m.memory, c.now)
	}
}

// TestAtMostOneRun checks that at most one of three requests with the same key
// runs before the claim expires, while members restart at random and copy each
// other's claims, and copies arrive delayed or more than once.
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
		randomDelivery := func() delivery {
			from, to := member("from"), member("to")
			if from == to {
				return delivery{}
			}
			return delivery{from, to, c.boots[to], c.members[from].CopyFor(to, c.boots[to], 1, c.now)}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0, 1, 2, 3:
				c.requestVote(c.attempts[rapid.IntRange(0, 2).Draw(t, "attempt")], member("member"))
			case 4:
				c.restart(member("restarts"))
			case 5, 6, 7:
				c.deliver(randomDelivery())
			case 8:
				c.delayed = append(c.delayed, randomDelivery())
			default:
				if len(c.delayed) > 0 {
					c.deliver(c.delayed[rapid.IntRange(0, len(c.delayed)-1).Draw(t, "memory")])
				}
			}
			if c.ran > 1 {
				t.Fatalf("%d requests with one key run", c.ran)
			}
			c.now = c.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
		}
	})
}

// TestRetryGetsStoredAnswer checks that a retry with the same key does not
// run: it is a duplicate until the first request has finished, and then gets the
// stored answer. A different body is a conflict, and another workspace's key is
// independent.
func TestRetryGetsStoredAnswer(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	first := Claim{Key: Key{"w", "s", "k"}, Request: "first", Digest: 1, TTL: ttl}
	retry, otherBody := first, first
	retry.Request, otherBody.Request, otherBody.Digest = "retry", "other", 2
	decide := func(claim Claim) (Decision, *StoredAnswer) {
		var replies []Reply
		for _, m := range c.members {
			replies = append(replies, m.Claim(claim, 1, c.now))
		}
		return Decide(replies, 3, true)
	}
	d, _ := decide(first)
	is.Equal(d, Run)
	d, _ = decide(first) // the same request sends its claim again after a lost reply
	is.Equal(d, Run)
	d, _ = decide(retry)
	is.Equal(d, Duplicate)
	for _, m := range c.members {
		m.Finish(first, &StoredAnswer{Status: 200, Body: []byte("done")}, c.now)
	}
	d, answer := decide(retry)
	is.Equal(d, Answered)
	is.Equal(string(answer.Body), "done")
	d, _ = decide(otherBody)
	is.Equal(d, Conflict)
	otherWorkspace := retry
	otherWorkspace.Key.Workspace = "another"
	d, _ = decide(otherWorkspace)
	is.Equal(d, Run)
}

// TestWithdrawnClaimRunsAgain checks that a retry may run once the claim of a
// request that provably did not run has been withdrawn by its holder.
func TestWithdrawnClaimRunsAgain(t *testing.T) {
	is := is.New(t)
	s := NewStore()
	first := Claim{Key: Key{"w", "s", "k"}, Request: "first", TTL: ttl}
	retry := first
	retry.Request = "retry"
	v, _ := s.Claim(first, start)
	is.Equal(v, Granted)
	s.Withdraw(retry) // not the holder
	v, _ = s.Claim(retry, start)
	is.Equal(v, Taken)
	s.Withdraw(first)
	v, _ = s.Claim(retry, start)
	is.Equal(v, Granted)
}

// TestRestartedCellDoesNotVote checks that after a restart of all members of a
// cell, they do not vote on services created before the restart until every
// earlier claim has expired, since no member can have a complete copy.
func TestRestartedCellDoesNotVote(t *testing.T) {
	is := is.New(t)
	c := newCluster(3)
	for vm := range c.state.VMs {
		c.restart(vm)
	}
	claim := Claim{Key: Key{"w", "s", "k"}, Request: "r", TTL: ttl}
	m := c.members["m0"]
	is.Equal(m.Claim(claim, 1, c.now).Verdict, NoVote)
	for _, vm := range m.CopySources(c.now) {
		m.AddCopy(vm, c.members[vm].CopyFor("m0", c.boots["m0"], 1, c.now), c.now)
	}
	is.Equal(m.Claim(claim, 1, c.now).Verdict, NoVote)
	is.Equal(m.Claim(claim, 1, c.now.Add(ttl)).Verdict, Granted)
}

// TestKeysOfDeadCellWaitForExpiry checks that keys whose claims were held by a
// cell in a data centre that is now declared dead get no vote in their new cell
// until those claims have expired.
func TestKeysOfDeadCellWaitForExpiry(t *testing.T) {
	is := is.New(t)
	twoCells := stateOf(3)
	twoCells.DataCentres["other"] = config.DataCentre{Name: "other", Status: config.DataCentreActive}
	twoCells.Cells["d"] = config.Cell{Name: "d", DataCentre: "other", Members: []core.VM{"x"}}
	m := NewMember("m0", 1, start)
	m.Configure(twoCells, start)
	oneDead := stateOf(3)
	oneDead.DataCentres["other"] = config.DataCentre{Name: "other", Status: config.DataCentreDead}
	oneDead.Cells["d"] = twoCells.Cells["d"]
	now := start.Add(5 * time.Second)
	m.Configure(oneDead, now)
	for i := range 50 {
		claim := Claim{Key: Key{"w", "s", fmt.Sprint(i)}, Request: "r", TTL: ttl}
		oldHome, _ := Home(twoCells, claim.Key)
		newHome, _ := Home(oneDead, claim.Key)
		is.Equal(newHome.Name, core.Cell("c"))
		want := NoVote
		if oldHome.Name == "c" {
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
