package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// TestSplitEndsNoRevocation checks that the parts of a range that was split after
// its revocation stay revoked until each of them has its next owner.
func TestSplitEndsNoRevocation(t *testing.T) {
	is := is.New(t)
	x := &target{revoked: map[Span]revocation{}}
	x.revoke(config.KeyRange{First: 0, Last: 99}, "next", time.Unix(1000, 0))
	x.endRevocation(Span{20, 39})
	is.True(x.isRevoked(config.KeyRange{First: 0, Last: 19}))
	is.True(!x.isRevoked(config.KeyRange{First: 20, Last: 39}))
	is.True(x.isRevoked(config.KeyRange{First: 40, Last: 99}))
	x.endRevocation(Span{0, 19})
	x.endRevocation(Span{40, 99})
	is.Equal(len(x.revoked), 0)
}

// TestKeysAvoidColdTargets checks that free keys go to a target that is warm: a cold
// one takes a few requests per second from a few entry VMs only.
func TestKeysAvoidColdTargets(t *testing.T) {
	is := is.New(t)
	state := config.NewState()
	state.Catalog.Services[keyed] = config.TargetClass{Name: keyed, Keyed: true, ColdRate: 4}
	state.Keys[keyed] = config.KeyTable{{First: 0, Last: config.KeySpace - 1, Owner: "lost", Life: 1, Fence: 5}}
	leader := NewLeaderState(testParameters)
	start := time.Unix(1000, 0)
	leader.BeginTerm(1, start)
	now := start.Add(10 * time.Second)
	for _, id := range []core.TargetID{"cold", "warm"} {
		h := heartbeatOf(id, 1)
		h.Target.Service = keyed
		if id == "cold" {
			h.ColdFor = 3 * time.Second
		}
		_, ok := leader.ApplyHeartbeat(h, state, now)
		is.True(ok)
	}
	changes := leader.Plan(state, now)
	is.Equal(len(changes), 1)
	is.Equal(changes[0].(config.AssignKeys).Ranges[0].Owner, core.TargetID("warm"))
}

// BenchmarkPlan measures one planning pass with rebalancing on the leader of a large
// deployment.
func BenchmarkPlan(b *testing.B) {
	const targets, entryVMs, keysPerVM, ranges = 255, 285, 12, 2500
	state := config.NewState()
	state.Catalog.Services[keyed] = config.TargetClass{Name: keyed, Keyed: true}
	leader := NewLeaderState(testParameters)
	now := time.Unix(1000, 0)
	leader.BeginTerm(1, now)
	now = now.Add(time.Minute)
	for i := range targets {
		h := heartbeatOf(core.TargetID(fmt.Sprint("t-", i)), 1)
		h.Target.Service = keyed
		leader.ApplyHeartbeat(h, state, now)
	}
	for i := range ranges {
		state.Keys[keyed] = append(state.Keys[keyed], config.KeyRange{
			First: uint32(i * config.KeySpace / ranges), Last: uint32((i+1)*config.KeySpace/ranges) - 1,
			Owner: core.TargetID(fmt.Sprint("t-", i%targets)), Life: 1,
		})
	}
	for i := range entryVMs {
		r := Report{VM: core.VM(fmt.Sprint("entry-", i))}
		for k := range keysPerVM {
			r.KeyLoads = append(r.KeyLoads, KeyLoad{Service: keyed, Key: uint32((i*7919 + k*104729) % config.KeySpace), Busy: 0.3})
		}
		leader.ApplyReport(r, state, now)
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(rebalancePeriod)
		for _, x := range leader.targets {
			x.lastHeartbeat = now
			clear(x.revoked)
		}
		leader.Plan(state, now)
	}
}
