package cell

import (
	"cmp"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/lease"
)

// recentTables bounds the versions from which a delta can be sent.
const recentTables = 16

// coordinator is the part of the member that holds the cell's lease.
type coordinator struct {
	self    core.VM
	number  lease.Number
	elected time.Time
	timing  Timing
	peers   map[core.VM]*peer

	table     *Table // newest version; nil until a majority was read
	inForce   core.Fence
	recent    []*Table   // newest last
	first     core.Fence // of the first version under number
	counter   uint64     // of fences under number
	hint      *Table     // what a majority without full memory held; nil: it had
	adopted   map[core.TargetID]core.Target
	pins      []Pin // not yet in a version
	dirty     bool
	signature signature
}

// signature is what a plan depends on and time alone can change.
type signature struct {
	targets, candidates, lost int
	unsettled                 int
	placed                    bool
}

func newCoordinator(self core.VM, n lease.Number, t Timing, now time.Time) *coordinator {
	return &coordinator{self: self, number: n, elected: now, timing: t, peers: map[core.VM]*peer{}, dirty: true}
}

// peer returns the entry of a member. A member that this coordinator has not
// heard may hold a lease that the one before gave until it lost its own.
func (c *coordinator) peer(vm core.VM) *peer {
	p := c.peers[vm]
	if p == nil {
		p = &peer{mayHold: c.elected.Add(c.timing.MemberTTL + c.timing.Margin), minFence: c.first}
		c.peers[vm] = p
	}
	return p
}

func (c *coordinator) hear(from core.VM, s Status, now time.Time) {
	p := c.peer(from)
	if p.heard && p.session != s.Session && c.table != nil {
		p.minFence = c.table.Fence // the new run knows nothing that the one before released
	}
	if p.hear(s, now) {
		c.dirty = true
	}
}

// echo returns the lease that a heartbeat to the member carries, and counts it
// as held from now on.
func (c *coordinator) echo(vm core.VM) Echo {
	p := c.peer(vm)
	if c.table == nil || !p.heard {
		return Echo{}
	}
	if until := p.heardAt.Add(c.timing.MemberTTL + c.timing.Margin); until.After(p.mayHold) {
		p.mayHold = until
	}
	return Echo{Session: p.session, Seq: p.seq, Fence: p.minFence}
}

// lost reports whether a member provably holds no lease.
func (c *coordinator) lost(vm core.VM, now time.Time) bool {
	return vm != c.self && !now.Before(c.peer(vm).mayHold)
}

// candidate reports whether a member may be given targets.
func (c *coordinator) candidate(vm core.VM, now time.Time) bool {
	p := c.peer(vm)
	return p.heard && now.Sub(p.heardAt) < c.timing.MemberTTL
}

// delta returns what a member needs to hold the newest version.
func (c *coordinator) delta(vm core.VM) *Delta {
	have := c.peer(vm).have
	if c.table == nil || have == c.table.Fence {
		return nil
	}
	for _, t := range c.recent {
		if t.Fence == have {
			return Diff(t, c.table)
		}
	}
	return Diff(nil, c.table)
}

// newest returns the newest version that a quorum of voters holds between
// them, and a voter that holds it. Warm says that none of that quorum lost its
// memory, so that no version in force can be newer.
func (c *coordinator) newest(e lease.Electorate) (holder core.VM, fence core.Fence, warm, read bool) {
	read = e.Quorum(func(vm core.VM) bool { return c.peer(vm).voted })
	warm = e.Quorum(func(vm core.VM) bool { p := c.peer(vm); return p.voted && !p.have.IsZero() })
	holder = c.self
	for _, vm := range e.Voters() {
		if p := c.peer(vm); p.voted && fence.Less(p.have) {
			holder, fence = vm, p.have
		}
	}
	return holder, fence, warm, read
}

// adopt takes over the newest version of a majority under the coordinator's
// own number. After a loss of memory it starts from an empty version instead,
// and what the members still knew is a hint.
func (c *coordinator) adopt(t *Table, warm bool) {
	next := t.clone()
	warm = warm && !t.Unsettled
	if !warm {
		c.hint = t
		next = NewTable(t.Cell)
		next.Config, next.Unsettled = t.Config, true
		next.HotKeys, next.Pins = t.HotKeys, t.Pins
	}
	c.first = c.nextFence()
	next.Fence, next.Coordinator = c.first, c.self
	for _, p := range c.peers {
		p.minFence = c.first
	}
	if t.Coordinator != "" && warm {
		// A coordinator's own member lease ends with its coordinator lease.
		c.peer(t.Coordinator).mayHold = c.elected
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

// install makes t the newest version. A member that lost a target must hold
// this version before a lease of its own counts again.
func (c *coordinator) install(t *Table) {
	if c.table != nil {
		for id, e := range c.table.Targets {
			if now := t.Targets[id]; now.Dispatcher != e.Dispatcher {
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

// pending reports whether the newest version is not yet held by a majority.
func (c *coordinator) pending() bool { return c.table == nil || c.inForce != c.table.Fence }

// commit puts the newest version in force once a quorum holds it. It reports
// whether it did.
func (c *coordinator) commit(e lease.Electorate) bool {
	if c.table == nil || !c.pending() {
		return false
	}
	if !e.Quorum(func(vm core.VM) bool { return c.peer(vm).have == c.table.Fence }) {
		return false
	}
	c.inForce = c.table.Fence
	c.dirty = true
	return true
}

// plan installs the next version if anything must change. It waits while one
// is not in force, so that at most one version is ever open.
func (c *coordinator) plan(state *config.State, members []core.VM, now time.Time) bool {
	if c.pending() || state.Version < c.table.Config {
		return false
	}
	in := c.inputs(state, members, now)
	in.Pins = c.pins
	s := signature{len(in.Targets), len(in.Members), len(in.Lost), len(in.Unsettled), in.Placed}
	if !c.dirty && s == c.signature {
		return false
	}
	c.dirty, c.signature, c.pins = false, s, nil
	next := Plan(c.table, in)
	if in.Placed && len(in.Unsettled) == 0 && len(in.Targets) > 0 {
		c.hint = nil // it served its one purpose
	}
	if next.Config == c.table.Config && next.Unsettled == c.table.Unsettled && Diff(c.table, next).empty() {
		return false
	}
	c.install(next)
	return true
}

func (c *coordinator) inputs(state *config.State, members []core.VM, now time.Time) Inputs {
	in := Inputs{
		State: state, Fence: c.nextFence(), Coordinator: c.self, Hint: c.hint,
		Targets: c.targets(now), Lost: map[core.VM]bool{}, Placed: true,
		Proved: newProofs(),
	}
	drain(in.Targets, state)
	if c.hint != nil {
		ended := c.elected.Add(c.timing.MemberTTL + c.timing.Margin)
		in.Placed = !now.Before(ended)
		in.Unsettled = c.unsettled(state, ended, now)
	}
	for _, vm := range members {
		if c.candidate(vm, now) {
			in.Members = append(in.Members, vm)
		}
	}
	for _, e := range c.table.Targets {
		if c.lost(e.Dispatcher, now) {
			in.Lost[e.Dispatcher] = true
		}
	}
	for vm, p := range c.peers {
		in.Proved.add(c.table, vm, p.facts)
	}
	return in
}

// drain marks the targets that operators drain, whatever they announce.
func drain(targets map[core.TargetID]core.Target, state *config.State) {
	for id := range state.Drained {
		if t, ok := targets[id]; ok {
			t.Draining = true
			targets[id] = t
		}
	}
}

// defaultDeadline bounds a request of a service that states none.
const defaultDeadline = 10 * time.Second

// unsettled returns the services of which something granted before the loss of
// memory may still be live. Requests on targets that check no fences may run
// until their deadline.
func (c *coordinator) unsettled(state *config.State, leasesEnded, now time.Time) map[core.Service]bool {
	open := map[core.Service]bool{}
	for name, svc := range state.Services {
		until := leasesEnded.Add(c.timing.GrantTTL + c.timing.Margin)
		if !svc.ChecksFence {
			until = until.Add(cmp.Or(svc.Deadline, defaultDeadline))
		}
		if svc.Keyed && now.Before(until) {
			open[name] = true
		}
	}
	return open
}

// targets merges what the members heard. A target that was announced to a
// lost member, or to a coordinator before this one, stays known for a while.
func (c *coordinator) targets(now time.Time) map[core.TargetID]core.Target {
	merged := map[core.TargetID]core.Target{}
	for _, p := range c.peers {
		if p.heard && now.Sub(p.heardAt) < c.timing.AnnounceTTL {
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

// merge keeps the newest incarnation. Of two targets that announce one id and
// incarnation, the one in the table stays, or else the smaller address.
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
