package grant_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/grant"
	"github.com/comfreynotch/comfreynotch/internal/membership"
)

const (
	shards       = 12
	maxHotKeys   = 4
	announceTTL  = 2500 * time.Millisecond
	orderTimeout = 150 * time.Millisecond
)

// daemon is one simulated member: its cell node and its grant controller, without
// their tasks.
type daemon struct {
	vm         core.VM
	session    uint64
	node       *cell.Node
	controller *grant.Controller
	announced  *membership.Set
	table      *cell.Table
	paused     bool
	crashed    bool
}

// server is a simulated target that checks fences, as docs/TARGETS.md requires.
type server struct {
	info             core.Target
	started          time.Time
	held             map[core.Shard]holding
	seen             map[core.Shard]core.Fence
	holder           core.Fence
	frozen           bool
	announcesNothing bool
	waiting          []packet // orders that arrived while it was frozen
}

type holding struct {
	fence core.Fence
	until time.Time
}

// packet is a message in transit: a call, its answer, an order or its reply. An
// order without a receiver (to is empty) stands for one that was lost: its
// sender sees a timeout.
type packet struct {
	from, to string
	session  uint64 // of the daemon that sent the call or order
	call     cell.Call
	answer   cell.Answer
	order    *grant.Order
	reply    *grant.Reply
}

// simulation holds the daemons, the targets and the simulated network between
// them.
type simulation struct {
	now           time.Time
	state         *config.State
	members       []core.VM
	daemons       map[core.VM]*daemon
	targets       map[core.TargetID]*server
	packets       []packet
	pendingOrders map[string]time.Time // sending times of orders without a reply, by orderKey
	blocked       map[[2]string]bool
	sessions      uint64
	steps         int
}

func newSimulation(members, targets int) *simulation {
	sim := &simulation{
		now: time.Unix(1000, 0), daemons: map[core.VM]*daemon{}, targets: map[core.TargetID]*server{},
		pendingOrders: map[string]time.Time{}, blocked: map[[2]string]bool{},
	}
	s := config.NewState()
	put := config.PutCell{Cell: config.Cell{Name: "a", DataCentre: "a"}}
	for i := range members {
		vm := core.VM(fmt.Sprintf("vm-%d", i))
		sim.members = append(sim.members, vm)
		put.VMs = append(put.VMs, config.VM{Name: vm})
	}
	put.Cell.Members = sim.members
	sim.state = s
	for _, c := range []config.Change{
		config.PutDataCentre{DataCentre: config.DataCentre{Name: "a", Status: config.DataCentreActive}},
		put,
		config.PutService{Service: config.Service{Name: "s", Keyed: true, Shards: shards, ChecksFence: true, DispatchGroup: 1}},
	} {
		sim.apply(c)
	}
	for _, m := range sim.members {
		sim.start(m)
	}
	for i := range targets {
		sim.addTarget(i, 1)
	}
	return sim
}

// apply applies a configuration change at all daemons.
func (sim *simulation) apply(c config.Change) {
	next, err := sim.state.Apply(config.Command{RequestID: fmt.Sprint(sim.state.Version), Change: c})
	if err != nil {
		panic(err)
	}
	sim.state = next
	for _, d := range sim.daemons {
		d.controller.SetConfig(next)
		sim.post(d, d.node.SetConfig(next, sim.now))
	}
}

func (sim *simulation) addTarget(i int, incarnation core.Incarnation) {
	id := core.TargetID(fmt.Sprintf("t-%d", i))
	sim.targets[id] = &server{
		info:    core.Target{ID: id, Service: "s", Address: string(id), Incarnation: incarnation, Slots: 1},
		started: sim.now.Add(-time.Hour), held: map[core.Shard]holding{}, seen: map[core.Shard]core.Fence{},
	}
}

// start starts, or restarts, a daemon without any state.
func (sim *simulation) start(vm core.VM) {
	sim.sessions++
	t := cell.DefaultTiming()
	d := &daemon{
		vm: vm, session: sim.sessions << 42, announced: membership.NewSet(announceTTL),
		controller: grant.NewController(vm, grant.DefaultTiming(t.GrantTTL)),
	}
	d.node = cell.NewNode(vm, d.session, uint64(sim.now.Unix()), "a", t, sim.now)
	d.table = d.node.Table()
	sim.daemons[vm] = d
	d.controller.SetConfig(sim.state)
	sim.post(d, d.node.SetConfig(sim.state, sim.now))
}

func (sim *simulation) post(d *daemon, sends []cell.Send) {
	for _, s := range sends {
		sim.packets = append(sim.packets, packet{from: string(d.vm), to: string(s.To), session: d.session, call: s.Call})
	}
	sim.syncController(d)
}

// syncController hands a new table to the controller, completes its drains at
// once, and hands the controller's facts to the node.
func (sim *simulation) syncController(d *daemon) {
	if t := d.node.Table(); t != d.table {
		d.table = t
		for _, dr := range d.controller.SetTable(t, sim.now) {
			d.controller.DrainDone(dr, sim.now)
		}
	}
	for _, dr := range d.controller.Drains(sim.now) {
		d.controller.DrainDone(dr, sim.now)
	}
	for _, s := range d.node.SetFacts(d.controller.Facts(), sim.now) {
		sim.packets = append(sim.packets, packet{from: string(d.vm), to: string(s.To), session: d.session, call: s.Call})
	}
}

// tick runs one daemon's timers and sends the orders that are due.
func (sim *simulation) tick(d *daemon) {
	if d.paused || d.crashed {
		return
	}
	if d.announced.Expire(sim.now) {
		sim.post(d, d.node.SetTargets(d.announced.View().Targets, sim.now))
	}
	sim.post(d, d.node.Tick(sim.now))
	for _, o := range d.controller.DueOrders(d.node.Lease(), sim.now) {
		sim.pendingOrders[orderKey(d, o)] = sim.now
		sim.packets = append(sim.packets, packet{from: string(d.vm), to: string(o.Target.ID), session: d.session, order: &o})
	}
	sim.syncController(d)
}

func orderKey(d *daemon, o grant.Order) string {
	return fmt.Sprint(d.vm, d.session, o.Target.ID, o.Holder, o.Seq)
}

// advance moves the time, ticks every daemon, and lets targets announce
// themselves on every twentieth step.
func (sim *simulation) advance(by time.Duration) {
	sim.now = sim.now.Add(by)
	sim.steps++
	for i := range sim.members {
		d := sim.daemons[sim.members[(i+sim.steps)%len(sim.members)]]
		sim.tick(d)
	}
	if sim.steps%20 != 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(sim.targets)) {
		t := sim.targets[id]
		if t.frozen || t.announcesNothing {
			continue
		}
		for i := range 2 {
			d := sim.daemons[sim.members[(sim.steps/20+i)%len(sim.members)]]
			if !d.paused && !d.crashed && d.announced.Announce(t.info, sim.now) {
				sim.post(d, d.node.SetTargets(d.announced.View().Targets, sim.now))
			}
		}
	}
}

// fail ends an order that has timed out.
func (sim *simulation) fail(p packet) {
	d := sim.daemons[core.VM(p.from)]
	if sent, ok := sim.pendingOrders[orderKey(d, *p.order)]; ok && !d.paused && sim.now.Sub(sent) >= orderTimeout {
		delete(sim.pendingOrders, orderKey(d, *p.order))
		d.controller.HandleReply(*p.order, grant.Reply{Failed: true}, sim.now)
	}
}

// deliver hands one packet to its receiver.
func (sim *simulation) deliver(p packet) {
	if sim.blocked[[2]string{p.from, p.to}] {
		sim.drop(p)
		return
	}
	if t := sim.targets[core.TargetID(p.to)]; t != nil {
		if t.frozen {
			t.waiting = append(t.waiting, p)
			sim.drop(p)
			return
		}
		r := t.apply(*p.order, sim.now)
		sim.packets = append(sim.packets, packet{from: p.to, to: p.from, session: p.session, order: p.order, reply: &r})
		return
	}
	d := sim.daemons[core.VM(p.to)]
	if d.paused || d.crashed {
		sim.drop(p)
		return
	}
	switch {
	case p.call != nil:
		if a, ok := d.node.HandleCall(core.VM(p.from), p.call, sim.now); ok {
			sim.packets = append(sim.packets, packet{from: p.to, to: p.from, session: p.session, answer: a})
		}
		sim.post(d, d.node.Tick(sim.now))
	case p.session != d.session: // the daemon that asked has restarted since
	case p.answer != nil:
		sim.post(d, d.node.HandleAnswer(core.VM(p.from), p.answer, sim.now))
	default:
		if _, ok := sim.pendingOrders[orderKey(d, *p.order)]; ok {
			delete(sim.pendingOrders, orderKey(d, *p.order))
			d.controller.HandleReply(*p.order, *p.reply, sim.now)
		}
		sim.syncController(d)
	}
}

// drop loses a packet. The sender of an order gets no reply and times out.
func (sim *simulation) drop(p packet) {
	if p.order == nil {
		return
	}
	sender := p.from
	if p.reply != nil {
		sender = p.to
	}
	sim.packets = append(sim.packets, packet{from: sender, to: "", session: p.session, order: p.order})
}

// flush delivers the packets in transit and those sent in response, for at most
// 400 rounds.
func (sim *simulation) flush() {
	for range 400 {
		if len(sim.packets) == 0 {
			return
		}
		var kept []packet
		batch := sim.packets
		sim.packets = nil
		progress := false
		for _, p := range batch {
			if p.to == "" {
				if d := sim.daemons[core.VM(p.from)]; d.session == p.session {
					sim.fail(p)
					if _, open := sim.pendingOrders[orderKey(d, *p.order)]; open {
						kept = append(kept, p)
					}
				}
				continue
			}
			progress = true
			sim.deliver(p)
		}
		sim.packets = append(sim.packets, kept...)
		if !progress {
			return
		}
	}
}

func (t *server) clock(now time.Time) time.Duration {
	return now.Sub(t.started).Truncate(time.Millisecond)
}

// apply applies an order by the target's own clock.
func (t *server) apply(o grant.Order, now time.Time) grant.Reply {
	r := grant.Reply{Incarnation: t.info.Incarnation, Clock: t.clock(now)}
	maps.DeleteFunc(t.held, func(_ core.Shard, h holding) bool { return !now.Before(h.until) })
	if o.Probe {
		for s, h := range t.held {
			r.Held = append(r.Held, grant.HeldShard{Service: "s", Shard: s, Fence: h.fence})
		}
		return r
	}
	if o.Incarnation != t.info.Incarnation {
		return r
	}
	if o.Holder.Less(t.holder) {
		return grant.Reply{Stale: true, Fence: t.holder}
	}
	for _, a := range o.Add {
		if a.Fence.Less(t.seen[a.Shard]) {
			return grant.Reply{Stale: true, Fence: t.seen[a.Shard]}
		}
	}
	t.holder = o.Holder
	if o.Reset {
		t.held = map[core.Shard]holding{}
	}
	for _, x := range o.Remove {
		delete(t.held, x.Shard)
		t.seen[x.Shard] = x.Fence
	}
	until := t.started.Add(o.Since + o.TTL)
	for _, a := range o.Add {
		t.held[a.Shard] = holding{fence: a.Fence}
		t.seen[a.Shard] = a.Fence
	}
	for s, h := range t.held {
		t.held[s] = holding{h.fence, until}
	}
	maps.DeleteFunc(t.held, func(_ core.Shard, h holding) bool { return !now.Before(h.until) })
	r.HeldCount = len(t.held)
	return r
}

// thaw resumes a frozen target, which applies the orders in its receive buffer.
func (sim *simulation) thaw(t *server) {
	t.frozen = false
	for _, p := range t.waiting {
		r := t.apply(*p.order, sim.now)
		sim.packets = append(sim.packets, packet{from: p.to, to: p.from, session: p.session, order: p.order, reply: &r})
	}
	t.waiting = nil
}

// claimant is a daemon that may send a shard's requests to a target, or a target
// that considers itself the shard's owner.
type claimant struct {
	vm     core.VM
	target core.TargetID
	fence  core.Fence
}

// ownership lists who claims each shard at one moment, by shard number.
type ownership struct {
	senders, owners [shards + maxHotKeys][]claimant
}

// ownership returns which daemons may send each shard's requests now, and which
// targets hold a grant of it.
func (sim *simulation) ownership() ownership {
	var seen ownership
	for _, vm := range sim.members {
		d := sim.daemons[vm]
		if d.crashed || !d.node.Lease().Live(sim.now) {
			continue
		}
		table, view := d.node.Table(), d.controller.View()
		for s := range core.Shard(shards + maxHotKeys) {
			a, e, ok := table.Owner("s", s)
			if ok && e.Dispatcher == vm && view.Live(a.Target, s, a.Fence, sim.now) {
				seen.senders[s] = append(seen.senders[s], claimant{vm, a.Target, a.Fence})
			}
		}
	}
	for id, t := range sim.targets {
		for s, h := range t.held {
			if sim.now.Before(h.until) {
				seen.owners[s] = append(seen.owners[s], claimant{target: id, fence: h.fence})
			}
		}
	}
	return seen
}

func (sim *simulation) senders(s core.Shard) []claimant { return sim.ownership().senders[s] }

// violation describes a shard with two senders or two owners, if there is one.
func (s ownership) violation() string {
	for i := range s.senders {
		if all := s.senders[i]; len(all) > 1 {
			return fmt.Sprintf("shard %d is sent by %v", i, all)
		}
		if all := s.owners[i]; len(all) > 1 {
			return fmt.Sprintf("shard %d is owned by %v", i, all)
		}
	}
	return ""
}

func (s ownership) served(i core.Shard) bool { return len(s.senders[i]) > 0 && len(s.owners[i]) > 0 }

func (sim *simulation) violation() string { return sim.ownership().violation() }

// unserved counts the shards that no daemon may send requests of or that no
// target accepts.
func (sim *simulation) unserved() int {
	n := 0
	seen := sim.ownership()
	for s := range core.Shard(shards) {
		if !seen.served(s) {
			n++
		}
	}
	return n
}

// run advances by small steps with a network that loses nothing, and returns
// the longest time for which a shard was unserved.
func (sim *simulation) run(d time.Duration) (longest time.Duration, violation string) {
	const step = 5 * time.Millisecond
	var unserved [shards]time.Duration
	for range d / step {
		sim.advance(step)
		sim.flush()
		seen := sim.ownership()
		if v := seen.violation(); v != "" {
			return longest, v
		}
		for s := range core.Shard(shards) {
			if seen.served(s) {
				unserved[s] = 0
				continue
			}
			unserved[s] += step
			longest = max(longest, unserved[s])
		}
	}
	return longest, ""
}

// dump describes all shards and daemons for a failure message.
func (sim *simulation) dump() string {
	var b strings.Builder
	seen := sim.ownership()
	if d := sim.daemons[sim.coordinator()]; d != nil {
		for s := range core.Shard(shards) {
			a, e, _ := d.node.Table().Owner("s", s)
			fmt.Fprintln(&b, s, a, e.Dispatcher, e.Releasing, seen.senders[s], seen.owners[s])
		}
	}
	for _, vm := range sim.members {
		d := sim.daemons[vm]
		c, live := d.node.Coordinator(sim.now)
		fmt.Fprintf(&b, "%s %+v lease %v votes for %s %v\n", vm, d.controller.Facts(), d.node.Lease().Until.Sub(sim.now), c, live)
	}
	return b.String()
}

func (sim *simulation) coordinator() core.VM {
	for _, vm := range sim.members {
		if d := sim.daemons[vm]; !d.crashed && d.node.IsCoordinator(sim.now) {
			return vm
		}
	}
	return ""
}
