package cell

import (
	"cmp"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/lease"
)

// recentTables is the number of recent versions kept as bases for deltas. A
// member with an older version gets a snapshot.
const recentTables = 16

// coordinator is the state of the member that holds the cell's coordinator
// lease.
type coordinator struct {
	self    core.VM
	number  lease.Number
	elected time.Time
	timing  Timing
	peers   map[core.VM]*peer

	table      *Table // newest version; nil until it was recovered from a majority
	inForce    core.Fence
	recent     []*Table                      // the newest versions, oldest first
	firstFence core.Fence                    // of the first version written under number
	counter    uint64                        // counter of the newest fence under number
	hint       *Table                        // possibly outdated table of a majority that was not intact; else nil
	adopted    map[core.TargetID]core.Target // targets of the recovered table
	pins       []Pin                         // not yet in a version
	dirty      bool                          // an input of the plan has changed
	planned    inputSummary                  // inputs of the newest plan
}

// inputSummary holds the inputs of a plan that can change by the passage of
// time alone, without a message.
type inputSummary struct {
	targets, candidates, expired int
	recovering                   int
	mayPlace                     bool
}

func newCoordinator(self core.VM, n lease.Number, t Timing, now time.Time) *coordinator {
	return &coordinator{self: self, number: n, elected: now, timing: t, peers: map[core.VM]*peer{}, dirty: true}
}

// peer returns the state of a member and creates it if necessary. A member that
// has not reported to this coordinator may hold a member lease that the previous
// coordinator granted just before its own lease ended.
func (c *coordinator) peer(vm core.VM) *peer {
	p := c.peers[vm]
	if p == nil {
		p = &peer{latestLeaseEnd: c.elected.Add(c.timing.MemberTTL + c.timing.Margin), minFence: c.firstFence}
		c.peers[vm] = p
	}
	return p
}

func (c *coordinator) receiveStatus(from core.VM, s Status, now time.Time) {
	p := c.peer(from)
	if p.reported && p.session != s.Session && c.table != nil {
		p.minFence = c.table.Fence // the restarted member has lost the releases that the previous run made
	}
	if p.receiveStatus(s, now) {
		c.dirty = true
	}
}

// echo returns the member lease that a heartbeat to the member grants, and
// assumes from now on that the member holds it.
func (c *coordinator) echo(vm core.VM) Echo {
	p := c.peer(vm)
	if c.table == nil || !p.reported {
		return Echo{}
	}
	if until := p.reportedAt.Add(c.timing.MemberTTL + c.timing.Margin); until.After(p.latestLeaseEnd) {
		p.latestLeaseEnd = until
	}
	return Echo{Session: p.session, Seq: p.seq, Fence: p.minFence}
}

// leaseExpired reports whether every lease that a member may hold has ended.
func (c *coordinator) leaseExpired(vm core.VM, now time.Time) bool {
	return vm != c.self && !now.Before(c.peer(vm).latestLeaseEnd)
}

// candidate reports whether a member is reachable and may be given targets.
func (c *coordinator) candidate(vm core.VM, now time.Time) bool {
	p := c.peer(vm)
	return p.reported && now.Sub(p.reportedAt) < c.timing.MemberTTL
}

// delta returns the change from the version that a member holds to the newest
// version, a snapshot if that version is no longer kept, or nil if the member is
// up to date.
func (c *coordinator) delta(vm core.VM) *Delta {
	tableFence := c.peer(vm).tableFence
	if c.table == nil || tableFence == c.table.Fence {
		return nil
	}
	for _, t := range c.recent {
		if t.Fence == tableFence {
			return Diff(t, c.table)
		}
	}
	return Diff(nil, c.table)
}

// newest returns the newest version that any voter holds, and that voter.
// quorum reports whether a quorum of voters has answered. intact reports whether
// a quorum of voters has answered and each holds a table, so none has restarted
// and lost it, and no version in force can be newer.
func (c *coordinator) newest(e lease.Electorate) (holder core.VM, fence core.Fence, intact, quorum bool) {
	quorum = e.Quorum(func(vm core.VM) bool { return c.peer(vm).voted })
	intact = e.Quorum(func(vm core.VM) bool { p := c.peer(vm); return p.voted && !p.tableFence.IsZero() })
	holder = c.self
	for _, vm := range e.Voters() {
		if p := c.peer(vm); p.voted && fence.Less(p.tableFence) {
			holder, fence = vm, p.tableFence
		}
	}
	return holder, fence, intact, quorum
}

// adopt continues from the newest version of a majority under the coordinator's
// own number. If that majority was not intact, because restarted members lost
// their tables, it starts from an empty version and keeps t only as a hint.
func (c *coordinator) adopt(t *Table, intact bool) {
	next := t.clone()
	intact = intact && !t.Recovering
	if !intact {
		c.hint = t
		next = NewTable(t.Cell)
		next.Config, next.Recovering = t.Config, true
		next.HotKeys, next.Pins = t.HotKeys, t.Pins
	}
	c.firstFence = c.nextFence()
	next.Fence, next.Coordinator = c.firstFence, c.self
	for _, p := range c.peers {
		p.minFence = c.firstFence
	}
	if t.Coordinator != "" && intact {
		// The previous coordinator's member lease ended with its coordinator
		// lease, before this coordinator was elected.
		c.peer(t.Coordinator).latestLeaseEnd = c.elected
	}
	c.adopted = map[core.TargetID]core.Target{}
	for id, e := range t.Targets {
		c.adopted[id] = e.Target
	}
	c.install(next)
}

func (c *coordinator) nextFence() core.Fence {
	return core.Fence{Epoch: c.number.Epoch, Ballot: c.number.Ballot, Counter: c.counter + 1}
}

// install makes t the newest version. A member that a target was taken from gets
// no valid lease until it holds this version.
func (c *coordinator) install(t *Table) {
	if c.table != nil {
		for id, e := range c.table.Targets {
			if entry := t.Targets[id]; entry.Dispatcher != e.Dispatcher {
				c.peer(e.Dispatcher).minFence = t.Fence
			}
		}
	}
	c.counter = t.Fence.Counter
	c.table = t
	c.recent = append(c.recent, t)
	if len(c.recent) > recentTables {
		c.recent = c.recent[1:]
	}
}

// pending reports whether the newest version is not yet in force, that is, held
// by a majority.
func (c *coordinator) pending() bool { return c.table == nil || c.inForce != c.table.Fence }

// commit puts the newest version in force once a quorum holds it. It reports
// whether it did.
func (c *coordinator) commit(e lease.Electorate) bool {
	if c.table == nil || !c.pending() {
		return false
	}
	if !e.Quorum(func(vm core.VM) bool { return c.peer(vm).tableFence == c.table.Fence }) {
		return false
	}
	c.inForce = c.table.Fence
	c.dirty = true
	return true
}

// plan installs the next version if anything must change, and reports whether it
// did. It does nothing while a version is pending, so that at most one version
// is pending at any time.
func (c *coordinator) plan(state *config.State, members []core.VM, now time.Time) bool {
	if c.pending() || state.Version < c.table.Config {
		return false
	}
	in := c.inputs(state, members, now)
	in.Pins = c.pins
	summary := inputSummary{len(in.Targets), len(in.Members), len(in.ExpiredDispatchers), len(in.RecoveringServices), in.MayPlace}
	if !c.dirty && summary == c.planned {
		return false
	}
	c.dirty, c.planned, c.pins = false, summary, nil
	next := Plan(c.table, in)
	if in.MayPlace && len(in.RecoveringServices) == 0 && len(in.Targets) > 0 {
		c.hint = nil // the shards have been assigned with its help
	}
	if next.Config == c.table.Config && next.Recovering == c.table.Recovering && Diff(c.table, next).empty() {
		return false
	}
	c.install(next)
	return true
}

func (c *coordinator) inputs(state *config.State, members []core.VM, now time.Time) Inputs {
	in := Inputs{
		State: state, Fence: c.nextFence(), Coordinator: c.self, Hint: c.hint,
		Targets: c.targets(now), ExpiredDispatchers: map[core.VM]bool{}, MayPlace: true,
		Proved: newProofs(),
	}
	drain(in.Targets, state)
	if c.hint != nil {
		leasesEnded := c.elected.Add(c.timing.MemberTTL + c.timing.Margin)
		in.MayPlace = !now.Before(leasesEnded)
		in.RecoveringServices = c.recoveringServices(state, leasesEnded, now)
	}
	for _, vm := range members {
		if c.candidate(vm, now) {
			in.Members = append(in.Members, vm)
		}
	}
	for _, e := range c.table.Targets {
		if c.leaseExpired(e.Dispatcher, now) {
			in.ExpiredDispatchers[e.Dispatcher] = true
		}
	}
	for vm, p := range c.peers {
		in.Proved.add(c.table, vm, p.facts)
	}
	return in
}

// drain marks the targets that operators drain as draining, whatever the targets
// announce.
func drain(targets map[core.TargetID]core.Target, state *config.State) {
	for id := range state.Drained {
		if t, ok := targets[id]; ok {
			t.Draining = true
			targets[id] = t
		}
	}
}

// defaultDeadline is the longest run time of a request when its service sets no
// deadline.
const defaultDeadline = 10 * time.Second

// recoveringServices returns the keyed services of which a grant from before the
// loss of the table may still be live. Requests on targets that check no fences
// may run until their deadline.
func (c *coordinator) recoveringServices(state *config.State, leasesEnded, now time.Time) map[core.Service]bool {
	services := map[core.Service]bool{}
	for name, svc := range state.Services {
		until := leasesEnded.Add(c.timing.GrantTTL + c.timing.Margin)
		if !svc.ChecksFence {
			until = until.Add(cmp.Or(svc.Deadline, defaultDeadline))
		}
		if svc.Keyed && now.Before(until) {
			services[name] = true
		}
	}
	return services
}

// targets merges the targets that the members report. The targets of a member
// that became unreachable, and those in the recovered table, stay known for
// AnnounceTTL.
func (c *coordinator) targets(now time.Time) map[core.TargetID]core.Target {
	merged := map[core.TargetID]core.Target{}
	for _, p := range c.peers {
		if p.reported && now.Sub(p.reportedAt) < c.timing.AnnounceTTL {
			for _, t := range p.targets {
				c.merge(merged, t)
			}
		}
	}
	if now.Sub(c.elected) < c.timing.AnnounceTTL {
		for id, t := range c.adopted {
			if _, ok := merged[id]; !ok {
				merged[id] = t
			}
		}
	}
	return merged
}

// merge adds t and keeps the newest incarnation of each target. If two targets
// announce the same id and incarnation, the address in the table wins, or else
// the smaller address.
func (c *coordinator) merge(into map[core.TargetID]core.Target, t core.Target) {
	old, ok := into[t.ID]
	switch {
	case !ok || t.Incarnation > old.Incarnation:
		into[t.ID] = t
	case t.Incarnation < old.Incarnation:
	case t.Address == old.Address:
		old.Draining = old.Draining || t.Draining
		into[t.ID] = old
	case c.table.Targets[t.ID].Target.Address == t.Address,
		c.table.Targets[t.ID].Target.Address != old.Address && t.Address < old.Address:
		into[t.ID] = t
	}
}
