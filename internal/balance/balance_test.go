package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
	"github.com/comfreynotch/comfreynotch/internal/quota"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	open  core.Service = "certdesk"
	owned core.Service = "archivio"
)

var start = time.Unix(1000, 0)

func testRoute(service core.Service) config.Route {
	return config.Route{
		Name: "lookup", Splits: []config.Split{{Service: service, Weight: 1}}, Objective: 300 * time.Millisecond,
		Timeout: time.Second, Attempts: 2, Repeatable: true,
	}
}

func testState(t *testing.T, changes ...config.Change) *config.State {
	t.Helper()
	state := config.NewState()
	first := config.PatchCatalog{
		Services: []config.TargetClass{
			{Item: config.Item{Revision: 1}, Name: open, ColdRate: 12, ColdDuration: 3 * time.Second},
			{Item: config.Item{Revision: 1}, Name: owned, ColdRate: 12, Keyed: true},
		},
		Tenants: []config.Tenancy{{Item: config.Item{Revision: 1}, Name: "lab", Rate: 100, Burst: 100}},
	}
	for _, c := range append([]config.Change{first}, changes...) {
		next, err := state.Apply(config.Command{Change: c})
		if err != nil {
			t.Fatal(err)
		}
		state = next
	}
	return state
}

func testPool(state *config.State) *Pool {
	p := NewPool("a", Bounds{
		Cold: fleet.Cold{Overage: 1.5, Slack: 5}, BudgetRatio: 0.2, BudgetExtra: 60, BudgetWindow: 10 * time.Second, Quota: testQuota,
	}, rand.New(rand.NewPCG(1, 2)).Float64)
	p.ConfigChanged(state, start)
	return p
}

func stateOf(id string, service core.Service) fleet.TargetState {
	return fleet.TargetState{Target: core.Target{
		ID: core.TargetID(id), Service: service, DataCentre: "a", Address: id + ":80", Slots: 6, Incarnation: 1,
	}, ColdAllowance: fleet.NoLimit}
}

func (p *Pool) applyTargets(now time.Time, targets ...fleet.TargetState) {
	p.ApplyUpdate(fleet.Update{Term: 1, EntryVMs: 10, Index: 3, Targets: targets}, now)
}

func request(service core.Service, now time.Time) Request {
	return Request{Route: testRoute(service), Service: service, Deadline: now.Add(time.Second)}
}

// TestColdTargetGetsItsAllowance checks that this VM sends a cold target no more
// requests in any second than the leader allowed it.
func TestColdTargetGetsItsAllowance(t *testing.T) {
	is := is.New(t)
	p := testPool(testState(t))
	cold := stateOf("i-1", open)
	cold.ColdFor, cold.ColdAllowance = 3*time.Second, 4
	p.applyTargets(start, cold)
	var sent []time.Time
	for ms := range 2900 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		c, _, err := p.Choose(request(open, now), uint64(ms), now)
		if err != nil {
			is.Equal(err.Ran, result.NotRun)
			continue
		}
		sent = append(sent, now)
		p.Done(Outcome{Ticket: c.Ticket, Target: "i-1", Incarnation: 1, Route: testRoute(open), Latency: time.Millisecond, Answered: true, At: now})
	}
	is.True(len(sent) >= 8) // the allowance is used
	for i, first := range sent {
		inWindow := 0
		for _, at := range sent[i:] {
			if at.Sub(first) <= time.Second {
				inWindow++
			}
		}
		is.True(inWindow <= 4)
	}
}

// TestReturningTargetIsTriedAsCold checks that a target which failed and answers
// again gets few requests at first: it may have restarted and be cold without
// having reported it yet.
func TestReturningTargetIsTriedAsCold(t *testing.T) {
	is := is.New(t)
	p := testPool(testState(t))
	p.applyTargets(start, stateOf("i-1", open))
	now := start
	for i := range 4 { // failures until the backoff is long
		now = now.Add(3 * time.Second)
		c, _, err := p.Choose(request(open, now), uint64(i+1), now)
		is.True(err == nil)
		p.Done(Outcome{Ticket: c.Ticket, Target: "i-1", Incarnation: 1, Route: testRoute(open), Failed: true, At: now})
	}
	now = now.Add(3 * time.Second)
	sent := 0
	for i := range 400 { // the target answers again: 400 requests within a second
		at := now.Add(time.Duration(i) * 2500 * time.Microsecond)
		c, _, err := p.Choose(request(open, at), uint64(100+i), at)
		if err == nil {
			sent++
			p.Done(Outcome{Ticket: c.Ticket, Target: "i-1", Incarnation: 1, Route: testRoute(open), Latency: time.Millisecond, Answered: true, At: at})
		}
	}
	const total = 16 // for ten entry VMs together: 12 x 1.5 + 5, less 7 for probes and network delay
	is.True(sent <= 1+max(total/10, 1))
}

// TestNewLeaderKeepsAColdTargetsAllowance checks that all entry VMs together stay
// within a cold target's allowance while a new leader has not divided it yet.
func TestNewLeaderKeepsAColdTargetsAllowance(t *testing.T) {
	is := is.New(t)
	const entryVMs, total = 61, 16 // 12 x 1.5 + 5, less 7 for probes and network delay
	sent := 0
	for index := range entryVMs {
		p := testPool(testState(t))
		p.ApplyUpdate(fleet.Update{Term: 1, EntryVMs: entryVMs, Index: index}, start)
		cold := stateOf("i-1", open)
		cold.ColdFor, cold.ColdAllowance = 3*time.Second, fleet.Undecided
		p.ApplyUpdate(fleet.Update{Term: 2, Targets: []fleet.TargetState{cold}}, start)
		for i := range 5 {
			if _, _, err := p.Choose(request(open, start), uint64(i+1), start); err == nil {
				sent++
			}
		}
	}
	is.True(sent > 0 && sent <= total)
}

// TestEvacuatedDataCentreGetsNothing checks that targets of an evacuated data
// centre get no requests, and are treated as cold when it returns to service.
func TestEvacuatedDataCentreGetsNothing(t *testing.T) {
	is := is.New(t)
	out := testState(t, config.SetEvacuated{DataCentre: "a", Evacuated: true})
	p := testPool(out)
	p.applyTargets(start, stateOf("i-1", open))
	_, _, err := p.Choose(request(open, start), 1, start)
	is.Equal(err.Code, result.NoTarget)
	p.ConfigChanged(testState(t), start)
	sent := 0
	for i := range 50 {
		if _, _, err := p.Choose(request(open, start), uint64(10+i), start); err == nil {
			sent++
		}
	}
	is.True(sent > 0 && sent <= 2)
}

// TestRetiredTargetGetsNothing checks that a target which announced that it is
// draining gets no new requests, even from an entry VM that knows it only from
// the configuration. A new incarnation of the target gets requests again.
func TestRetiredTargetGetsNothing(t *testing.T) {
	is := is.New(t)
	p := testPool(testState(t, config.RetireTarget{Target: "i-1", Life: 1}))
	p.applyTargets(start, stateOf("i-1", open))
	_, _, err := p.Choose(request(open, start), 1, start)
	is.Equal(err.Code, result.NoTarget)
	restarted := stateOf("i-1", open)
	restarted.Incarnation = 2
	p.applyTargets(start, restarted)
	_, _, err = p.Choose(request(open, start), 2, start)
	is.True(err == nil)
}

// TestKeyWaitsForItsOwnersGrant checks that a request goes only to the owner
// of its key, and waits while the owner has not received the grant with the
// newest fence.
func TestKeyWaitsForItsOwnersGrant(t *testing.T) {
	is := is.New(t)
	state := testState(t, config.AssignKeys{Service: owned, Ranges: []config.KeyRange{{Last: config.KeySpace - 1, Owner: "i-1", Life: 1}}})
	fence := state.Keys[owned][0].Fence
	p := testPool(state)
	p.applyTargets(start, stateOf("i-1", owned), stateOf("i-2", owned))
	r := request(owned, start)
	r.HasKey, r.Key = true, 17
	_, wait, err := p.Choose(r, 1, start)
	is.True(err != nil && wait)
	granted := stateOf("i-1", owned)
	granted.Granted = fence
	p.applyTargets(start, granted)
	c, _, err := p.Choose(r, 2, start)
	is.True(err == nil)
	is.Equal(c.Target.ID, core.TargetID("i-1"))
	// If the owner refuses the key, it gets no further requests for a while.
	p.Done(Outcome{Ticket: 2, Target: "i-1", Incarnation: 1, Route: r.Route, Key: 17, Answered: true, NotOwner: true, At: start})
	_, wait, err = p.Choose(r, 3, start.Add(10*time.Millisecond))
	is.True(err != nil && wait)
}

// TestSlowTargetsGetLess simulates 60 requests per second to six targets, of
// which one takes five times as long and one fails. Both must get fewer
// requests than the others.
func TestSlowTargetsGetLess(t *testing.T) {
	is := is.New(t)
	p := testPool(testState(t))
	var targets []fleet.TargetState
	for i := range 6 {
		targets = append(targets, stateOf(fmt.Sprint("i-", i), open))
	}
	p.applyTargets(start, targets...)
	type flight struct {
		c      Choice
		ends   time.Time
		failed bool
	}
	var inFlight []flight
	sent := map[core.TargetID]int{}
	for i := range 60 * 20 {
		now := start.Add(time.Duration(i) * time.Second / 60)
		rest := inFlight[:0]
		for _, f := range inFlight {
			if f.ends.After(now) {
				rest = append(rest, f)
				continue
			}
			p.Done(Outcome{
				Ticket: f.c.Ticket, Target: f.c.Target.ID, Incarnation: 1, Route: testRoute(open), At: now,
				Latency: 90 * time.Millisecond * time.Duration(slowness(f.c.Target.ID)), Answered: !f.failed, Failed: f.failed,
			})
		}
		inFlight = rest
		c, _, err := p.Choose(request(open, now), uint64(i+1), now)
		if err != nil {
			continue
		}
		if i > 60*5 { // after the first five seconds
			sent[c.Target.ID]++
		}
		failed := c.Target.ID == "i-1"
		inFlight = append(inFlight, flight{c, now.Add(90 * time.Millisecond * time.Duration(slowness(c.Target.ID))), failed})
	}
	healthy := sent["i-2"]
	is.True(sent["i-0"] < healthy/2) // five times as slow
	is.True(sent["i-1"] < healthy/4) // fails
}

func slowness(id core.TargetID) int {
	if id == "i-0" {
		return 5
	}
	return 1
}

// admitWithoutDraw admits r while the leader has no tokens beyond the assigned
// shares.
func (p *Pool) admitWithoutDraw(r Request, now time.Time) *result.Error {
	draw, err := p.Admit(r, now)
	if !draw {
		return err
	}
	p.ApplySupply(quota.Supply{Workspace: r.Workspace, RetryAfter: time.Second}, 1, now)
	return p.rateExceeded(r.Workspace, now)
}

// TestRateIsCharged checks that an entry VM admits no more requests than its
// share of a rate allows, and that a refusal contains a retry time.
func TestRateIsCharged(t *testing.T) {
	is := is.New(t)
	p := testPool(testState(t))
	p.ApplyUpdate(fleet.Update{Term: 1, EntryVMs: 10, Shares: []fleet.Share{{Workspace: "lab", Rate: 10, Burst: 5}}}, start)
	r := request(open, start)
	r.Workspace = "lab"
	admitted := 0
	for i := range 1000 { // 100 a second for ten seconds
		now := start.Add(time.Duration(i) * 10 * time.Millisecond)
		if i%50 == 0 { // the leader's next answer, which extends the lease on the shares
			p.ApplyUpdate(fleet.Update{Term: 1, EntryVMs: 10}, now)
		}
		err := p.admitWithoutDraw(r, now)
		if err == nil {
			admitted++
			continue
		}
		is.Equal(err.Code, result.RateExceeded)
		is.True(err.RetryAfter > 0)
	}
	is.True(admitted >= 100 && admitted <= 105)
}

// TestRefusedCallersReturnInTurn simulates a workspace that sends eight times its
// rate. Refused callers must get increasing retry times instead of all returning
// for the same token.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	is := is.New(t)
	p := testPool(testState(t))
	p.ApplyUpdate(fleet.Update{Term: 1, EntryVMs: 10, Shares: []fleet.Share{{Workspace: "lab", Rate: 10, Burst: 1}}}, start)
	r := request(open, start)
	r.Workspace = "lab"
	returns := map[int]int{} // retries by tenth of a second
	for i := range 160 {     // 80 a second for two seconds
		now := start.Add(time.Duration(i) * time.Second / 80)
		if err := p.admitWithoutDraw(r, now); err != nil {
			returns[int(now.Add(err.RetryAfter).Sub(start)/(100*time.Millisecond))]++
		}
	}
	for tenth := range 49 { // before maxRetryAfter
		is.True(returns[tenth] <= 2)
	}
}

// TestRetriesStayInTheBudget checks that this VM sends no more than its part
// of the retries that all entry VMs together may send in a window.
func TestRetriesStayInTheBudget(t *testing.T) {
	is := is.New(t)
	p := testPool(testState(t))
	p.applyTargets(start)
	retries := 0
	for i := range 500 { // 50 a second for one window, each of which asks for a retry
		now := start.Add(time.Duration(i) * 20 * time.Millisecond)
		is.True(p.admitWithoutDraw(request(open, now), now) == nil)
		if p.retryAllowed(open, now) {
			p.chargeRetry(open, now)
			retries++
		}
	}
	is.True(retries > 20)
	is.True(float64(retries) <= 0.2*500+60.0/10)
}

// TestSplitKeepsItsWeights checks that a route's requests are split over its
// services by weight.
func TestSplitKeepsItsWeights(t *testing.T) {
	is := is.New(t)
	p := testPool(testState(t))
	r := testRoute(open)
	r.Splits = []config.Split{{Service: open, Weight: 90}, {Service: owned, Weight: 10}}
	got := map[core.Service]int{}
	for range 1000 {
		got[p.Split(r)]++
	}
	is.Equal(got[open], 900)
	is.Equal(got[owned], 100)
}
