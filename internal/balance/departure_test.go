package balance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// answered records a complete answer to the request of choice c.
func (p *Pool) answered(c Choice, now time.Time, change func(*Outcome)) {
	o := Outcome{
		Ticket: c.Ticket, Target: c.Target.ID, Incarnation: c.Target.Incarnation,
		Route: testRoute(c.Target.Service), Latency: time.Millisecond, Answered: true, At: now,
	}
	change(&o)
	p.Done(o)
}

// poolWithOwner returns a pool in which the target i-1 owns all keys of a service.
func poolWithOwner(t *testing.T) *Pool {
	t.Helper()
	p := testPool(testState(t, config.AssignKeys{Service: owned, Ranges: []config.KeyRange{
		{First: 0, Last: config.KeySpace - 1, Owner: "i-1", Life: 1},
	}}))
	owner := stateOf("i-1", owned)
	owner.Granted = 100
	p.applyTargets(start, owner)
	return p
}

// TestTargetThatSaysItLeavesGetsNoNewWork checks that an entry VM sends nothing
// more to a target that said in an answer that it leaves, even if the leader does
// not know it and lists the target again, and that the target's next incarnation
// is used.
func TestTargetThatSaysItLeavesGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	p := testPool(testState(t))
	p.applyTargets(start, stateOf("i-1", open))
	c, _, err := p.Choose(request(open, start), 1, start)
	is.True(err == nil)
	p.answered(c, start, func(o *Outcome) { o.Leaving = true })

	now := start.Add(100 * time.Millisecond)
	_, _, err = p.Choose(request(open, now), 2, now)
	is.Equal(err.Code, result.NoTarget)

	gone := stateOf("i-1", open)
	gone.Gone = true
	p.applyTargets(now, gone)
	p.applyTargets(now, stateOf("i-1", open)) // a new leader heard a late heartbeat
	_, _, err = p.Choose(request(open, now), 3, now)
	is.Equal(err.Code, result.NoTarget)

	restarted := stateOf("i-1", open)
	restarted.Incarnation = 2
	p.applyTargets(now, restarted)
	c, _, err = p.Choose(request(open, now), 4, now)
	is.True(err == nil)
	is.Equal(c.Target.Incarnation, core.Incarnation(2))
}

// TestLeavingTargetIsKnownToAllEntryVMs checks that what one entry VM learned from
// an answer reaches the others through the leader.
func TestLeavingTargetIsKnownToAllEntryVMs(t *testing.T) {
	is := is.New(t)
	state := testState(t)
	leader := fleet.NewLeaderState(fleet.Parameters{HeartbeatInterval: time.Second, KeyLease: 3 * time.Second, Quota: testQuota})
	leader.BeginTerm(1, start)
	_, ok := leader.ApplyHeartbeat(fleet.Heartbeat{Target: stateOf("i-1", open).Target, Sequence: 1}, state, start)
	is.True(ok)
	learns, other := testPool(state), testPool(state)
	exchange := func(p *Pool, vm core.VM, now time.Time) {
		leader.ApplyReport(p.Report(vm, now), state, now)
		p.ApplyUpdate(fleet.Update{Term: 1, EntryVMs: 2, Targets: leader.ChangesSince(vm, 0, 0, now)}, now)
	}
	exchange(learns, "entry-1", start)
	exchange(other, "entry-2", start)
	c, _, err := learns.Choose(request(open, start), 1, start)
	is.True(err == nil)
	learns.answered(c, start, func(o *Outcome) { o.Leaving = true })

	now := start.Add(500 * time.Millisecond)
	exchange(learns, "entry-1", now)
	exchange(other, "entry-2", now)
	_, _, err = other.Choose(request(open, now), 2, now)
	is.Equal(err.Code, result.NoTarget)
}

// TestDrainingOwnerServesItsKeysForAMoment checks that requests for a key still go
// to an owner that leaves, for drainingOwnerGrace and no longer, since no other
// target can serve the key until it has moved.
func TestDrainingOwnerServesItsKeysForAMoment(t *testing.T) {
	for name, depart := range map[string]func(p *Pool, c Choice, now time.Time){
		"says so in an answer": func(p *Pool, c Choice, now time.Time) { p.answered(c, now, func(o *Outcome) { o.Leaving = true }) },
		"deregisters": func(p *Pool, _ Choice, now time.Time) {
			gone := stateOf("i-1", owned)
			gone.Gone, gone.Draining, gone.Granted = true, true, 100
			p.applyTargets(now, gone)
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := poolWithOwner(t)
			ask := func(ticket uint64, now time.Time) (Choice, *result.Error) {
				r := request(owned, now)
				r.HasKey, r.Key = true, 7
				c, _, err := p.Choose(r, ticket, now)
				return c, err
			}
			c, err := ask(1, start)
			is.True(err == nil)
			depart(p, c, start)
			_, err = ask(2, start.Add(drainingOwnerGrace/2))
			is.True(err == nil)
			_, err = ask(5, start.Add(drainingOwnerGrace-time.Millisecond))
			is.True(err == nil)
			_, err = ask(3, start.Add(drainingOwnerGrace))
			is.Equal(result.CodeOf(errorOf(err)), result.ShardUnassigned)
			p.Report("entry-1", start.Add(drainingOwnerGrace))
			_, err = ask(4, start.Add(drainingOwnerGrace))
			is.Equal(result.CodeOf(errorOf(err)), result.ShardUnassigned)
		})
	}
}

// TestDrainingOwnerThatReleasedItsKeysGetsNothing checks that an owner which announced
// its stop to the leader, and so released its keys, gets no request for them, and
// neither does one that leaves and has refused a key.
func TestDrainingOwnerThatReleasedItsKeysGetsNothing(t *testing.T) {
	is := is.New(t)
	state := testState(t, config.AssignKeys{Service: owned, Ranges: []config.KeyRange{{First: 0, Last: config.KeySpace - 1, Owner: "i-1", Life: 1}}})
	owner := stateOf("i-1", owned)
	owner.Granted = 100
	r := request(owned, start)
	r.HasKey, r.Key = true, 7

	p := testPool(state)
	announced := owner
	announced.Draining = true
	p.applyTargets(start, announced)
	_, wait, err := p.Choose(r, 1, start)
	is.Equal(result.CodeOf(errorOf(err)), result.ShardUnassigned)
	is.True(wait)

	p = testPool(state)
	p.applyTargets(start, owner)
	c, _, err := p.Choose(r, 1, start)
	is.True(err == nil)
	p.answered(c, start, func(o *Outcome) { o.Leaving, o.NotOwner, o.Key = true, true, 7 })
	later := start.Add(2 * refusedKeyPause)
	_, _, err = p.Choose(r, 2, later)
	is.Equal(result.CodeOf(errorOf(err)), result.ShardUnassigned)
}

// TestFullTargetRestsAsLongAsItAsks checks that an entry VM sends nothing to a
// target for the time that the target named when it refused a request.
func TestFullTargetRestsAsLongAsItAsks(t *testing.T) {
	is := is.New(t)
	p := testPool(testState(t))
	p.applyTargets(start, stateOf("i-1", open))
	c, _, err := p.Choose(request(open, start), 1, start)
	is.True(err == nil)
	p.answered(c, start, func(o *Outcome) { o.Refused, o.RestFor = true, 2*time.Second })
	for ms := 1; ms < 2000; ms += 50 {
		now := start.Add(time.Duration(ms) * time.Millisecond)
		_, _, err = p.Choose(request(open, now), uint64(ms+1), now)
		is.Equal(err.Code, result.NoTarget)
	}
	now := start.Add(2 * time.Second)
	_, _, err = p.Choose(request(open, now), 9999, now)
	is.True(err == nil)
}

// TestOldIncarnationChangesNothing checks that news about an incarnation that a
// newer one has replaced, such as that it is gone, leaves the newer one in use.
func TestOldIncarnationChangesNothing(t *testing.T) {
	is := is.New(t)
	p := testPool(testState(t))
	newer, older := stateOf("i-1", open), stateOf("i-1", open)
	newer.Incarnation, newer.Address = 2, "new:80"
	older.Gone, older.Draining = true, true
	p.applyTargets(start, newer)
	p.applyTargets(start, older)
	c, _, err := p.Choose(request(open, start), 1, start)
	is.True(err == nil)
	is.Equal(c.Target.Address, "new:80")
}

// TestResetsDontMakeATargetCold checks that the owner of a key which reset some
// connections, because it was full, gets all requests again once it answers, while
// one that could not be reached may have restarted and is treated as cold.
func TestResetsDontMakeATargetCold(t *testing.T) {
	for _, reset := range []bool{true, false} {
		is := is.New(t)
		p := poolWithOwner(t)
		now := start
		ask := func(ticket uint64) (Choice, *result.Error) {
			r := request(owned, now)
			r.HasKey, r.Key = true, 7
			c, _, err := p.Choose(r, ticket, now)
			return c, err
		}
		for ticket := range uint64(3) {
			c, err := ask(ticket)
			is.True(err == nil)
			p.Done(Outcome{Ticket: c.Ticket, Target: "i-1", Incarnation: 1, Route: testRoute(owned), Failed: true, Reset: reset, At: now})
			now = now.Add(3 * time.Second) // past the backoff
		}
		c, err := ask(10)
		is.True(err == nil)
		p.answered(c, now, func(*Outcome) {})
		admitted := 0
		for ticket := range uint64(20) {
			if _, err := ask(100 + ticket); err == nil {
				admitted++
			}
		}
		is.Equal(admitted == 20, reset)
	}
}
