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
	shards      = 12
	hotKeys     = 4 // at most
	announceTTL = 2500 * time.Millisecond
	callTime    = 150 * time.Millisecond
)

// daemon is the model of one member: the pure parts of a cell and of grants.
type daemon struct {
	vm      core.VM
	session uint64
	node    *cell.Node
	book    *grant.Book
	heard   *membership.Set
	table   *cell.Table
	paused  bool
	crashed bool
}

// server is a target that checks fences, as docs/TARGETS.md asks.
type server struct {
	info    core.Target
	born    time.Time
	held    map[core.Shard]holding
	seen    map[core.Shard]core.Fence
	holder  core.Fence
	frozen  bool
	silent  bool
	waiting []packet // orders that came while it was frozen
}

type holding struct {
	fence core.Fence
	until time.Time
}

// packet is a message on its way: a call, its answer, an order or its reply.
type packet struct {
	from, to string
	session  uint64 // of the run that asked
	call     cell.Call
	answer   cell.Answer
	order    *grant.Order
	reply    *grant.Reply
}

// world holds the daemons, the targets and the messages between them.
type world struct {
	now      time.Time
	state    *config.State
	members  []core.VM
	daemons  map[core.VM]*daemon
	targets  map[core.TargetID]*server
	packets  []packet
	open     map[string]time.Time // orders without an answer, by target and number
	cut      map[[2]string]bool
	sessions uint64
	round    int
}

func newWorld(members, targets int) *world {
	w := &world{
		now: time.Unix(1000, 0), daemons: map[core.VM]*daemon{}, targets: map[core.TargetID]*server{},
		open: map[string]time.Time{}, cut: map[[2]string]bool{},
	}
	s := config.NewState()
	put := config.PutCell{Cell: config.Cell{Name: "a", DataCentre: "a"}}
	for i := range members {
		vm := core.VM(fmt.Sprintf("vm-%d", i))
		w.members = append(w.members, vm)
		put.VMs = append(put.VMs, config.VM{Name: vm})
	}
	put.Cell.Members = w.members
	w.state = s
	for _, c := range []config.Change{
		config.PutDataCentre{DataCentre: config.DataCentre{Name: "a", Status: config.DataCentreActive}},
		put,
		config.PutService{Service: config.Service{Name: "s", Keyed: true, Shards: shards, ChecksFence: true, DispatchGroup: 1}},
	} {
		w.apply(c)
	}
	for _, m := range w.members {
		w.start(m)
	}
	for i := range targets {
		w.addTarget(i, 1)
	}
	return w
}

// apply brings a change into force at all daemons.
func (w *world) apply(c config.Change) {
	next, err := w.state.Apply(config.Command{RequestID: fmt.Sprint(w.state.Version), Change: c})
	if err != nil {
		panic(err)
	}
	w.state = next
	for _, d := range w.daemons {
		d.book.SetConfig(next)
		w.post(d, d.node.SetConfig(next, w.now))
	}
}

func (w *world) addTarget(i int, incarnation core.Incarnation) {
	id := core.TargetID(fmt.Sprintf("t-%d", i))
	w.targets[id] = &server{
		info: core.Target{ID: id, Service: "s", Address: string(id), Incarnation: incarnation, Slots: 1},
		born: w.now.Add(-time.Hour), held: map[core.Shard]holding{}, seen: map[core.Shard]core.Fence{},
	}
}

// start begins a run of a daemon without memory.
func (w *world) start(vm core.VM) {
	w.sessions++
	t := cell.DefaultTiming()
	d := &daemon{
		vm: vm, session: w.sessions << 42, heard: membership.NewSet(announceTTL),
		book: grant.NewBook(vm, grant.DefaultTiming(t.GrantTTL)),
	}
	d.node = cell.NewNode(vm, d.session, uint64(w.now.Unix()), "a", t, w.now)
	d.table = d.node.Table()
	w.daemons[vm] = d
	d.book.SetConfig(w.state)
	w.post(d, d.node.SetConfig(w.state, w.now))
}

func (w *world) post(d *daemon, sends []cell.Send) {
	for _, s := range sends {
		w.packets = append(w.packets, packet{from: string(d.vm), to: string(s.To), session: d.session, call: s.Call})
	}
	w.settle(d)
}

// settle hands a new table to the book, carries out its drains at once, and
// hands the book's facts back.
func (w *world) settle(d *daemon) {
	if t := d.node.Table(); t != d.table {
		d.table = t
		for _, dr := range d.book.SetTable(t, w.now) {
			d.book.Drained(dr, w.now)
		}
	}
	for _, dr := range d.book.Drains(w.now) {
		d.book.Drained(dr, w.now)
	}
	for _, s := range d.node.SetFacts(d.book.Facts(), w.now) {
		w.packets = append(w.packets, packet{from: string(d.vm), to: string(s.To), session: d.session, call: s.Call})
	}
}

// tick advances one daemon: its timers and the orders that are due.
func (w *world) tick(d *daemon) {
	if d.paused || d.crashed {
		return
	}
	if d.heard.Expire(w.now) {
		w.post(d, d.node.SetTargets(d.heard.View().Targets, w.now))
	}
	w.post(d, d.node.Tick(w.now))
	for _, o := range d.book.Due(d.node.Lease(), w.now) {
		w.open[orderKey(d, o)] = w.now
		w.packets = append(w.packets, packet{from: string(d.vm), to: string(o.Target.ID), session: d.session, order: &o})
	}
	w.settle(d)
}

func orderKey(d *daemon, o grant.Order) string {
	return fmt.Sprint(d.vm, d.session, o.Target.ID, o.Holder, o.Seq)
}

// advance moves time, ends late orders, and lets targets announce themselves.
func (w *world) advance(by time.Duration) {
	w.now = w.now.Add(by)
	w.round++
	for i := range w.members {
		d := w.daemons[w.members[(i+w.round)%len(w.members)]]
		w.tick(d)
	}
	if w.round%20 != 0 {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(w.targets)) {
		t := w.targets[id]
		if t.frozen || t.silent {
			continue
		}
		for i := range 2 {
			d := w.daemons[w.members[(w.round/20+i)%len(w.members)]]
			if !d.paused && !d.crashed && d.heard.Announce(t.info, w.now) {
				w.post(d, d.node.SetTargets(d.heard.View().Targets, w.now))
			}
		}
	}
}

// fail ends an order whose time is over.
func (w *world) fail(p packet) {
	d := w.daemons[core.VM(p.from)]
	if sent, ok := w.open[orderKey(d, *p.order)]; ok && !d.paused && w.now.Sub(sent) >= callTime {
		delete(w.open, orderKey(d, *p.order))
		d.book.Answered(*p.order, grant.Reply{Failed: true}, w.now)
	}
}

// deliver takes one packet to its receiver.
func (w *world) deliver(p packet) {
	if w.cut[[2]string{p.from, p.to}] {
		w.lost(p)
		return
	}
	if t := w.targets[core.TargetID(p.to)]; t != nil {
		if t.frozen {
			t.waiting = append(t.waiting, p)
			w.lost(p)
			return
		}
		r := t.take(*p.order, w.now)
		w.packets = append(w.packets, packet{from: p.to, to: p.from, session: p.session, order: p.order, reply: &r})
		return
	}
	d := w.daemons[core.VM(p.to)]
	if d.paused || d.crashed {
		w.lost(p)
		return
	}
	switch {
	case p.call != nil:
		if a, ok := d.node.HandleCall(core.VM(p.from), p.call, w.now); ok {
			w.packets = append(w.packets, packet{from: p.to, to: p.from, session: p.session, answer: a})
		}
		w.post(d, d.node.Tick(w.now))
	case p.session != d.session: // answers go to the run that asked
	case p.answer != nil:
		w.post(d, d.node.HandleAnswer(core.VM(p.from), p.answer, w.now))
	default:
		if _, ok := w.open[orderKey(d, *p.order)]; ok {
			delete(w.open, orderKey(d, *p.order))
			d.book.Answered(*p.order, *p.reply, w.now)
		}
		w.settle(d)
	}
}

// lost remembers that the sender of an order hears nothing.
func (w *world) lost(p packet) {
	if p.order == nil {
		return
	}
	sender := p.from
	if p.reply != nil {
		sender = p.to
	}
	w.packets = append(w.packets, packet{from: sender, to: "", session: p.session, order: p.order})
}

// flush delivers what is on its way, and what that causes, up to a bound.
func (w *world) flush() {
	for range 400 {
		if len(w.packets) == 0 {
			return
		}
		var kept []packet
		batch := w.packets
		w.packets = nil
		progress := false
		for _, p := range batch {
			if p.to == "" {
				if d := w.daemons[core.VM(p.from)]; d.session == p.session {
					w.fail(p)
					if _, open := w.open[orderKey(d, *p.order)]; open {
						kept = append(kept, p)
					}
				}
				continue
			}
			progress = true
			w.deliver(p)
		}
		w.packets = append(w.packets, kept...)
		if !progress {
			return
		}
	}
}

func (t *server) clock(now time.Time) time.Duration {
	return now.Sub(t.born).Truncate(time.Millisecond)
}

// take carries out an order by the target's own clock.
func (t *server) take(o grant.Order, now time.Time) grant.Reply {
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
	until := t.born.Add(o.Since + o.TTL)
	for _, a := range o.Add {
		t.held[a.Shard] = holding{fence: a.Fence}
		t.seen[a.Shard] = a.Fence
	}
	for s, h := range t.held {
		t.held[s] = holding{h.fence, until}
	}
	maps.DeleteFunc(t.held, func(_ core.Shard, h holding) bool { return !now.Before(h.until) })
	r.Count = len(t.held)
	return r
}

// thaw lets a frozen target go on with what has piled up.
func (w *world) thaw(t *server) {
	t.frozen = false
	for _, p := range t.waiting {
		r := t.take(*p.order, w.now)
		w.packets = append(w.packets, packet{from: p.to, to: p.from, session: p.session, order: p.order, reply: &r})
	}
	t.waiting = nil
}

// claim is one who may send a shard's requests, or a target that owns it.
type claim struct {
	vm     core.VM
	target core.TargetID
	fence  core.Fence
}

// sight is the state of all shards at one moment: the oracle's line for each.
type sight struct{ senders, owners [shards + hotKeys][]claim }

// look tells who may send each shard's requests now, and which targets take
// themselves for its owner.
func (w *world) look() sight {
	var seen sight
	for _, vm := range w.members {
		d := w.daemons[vm]
		if d.crashed || !d.node.Lease().Live(w.now) {
			continue
		}
		table, view := d.node.Table(), d.book.View()
		for s := range core.Shard(shards + hotKeys) {
			a, e, ok := table.Owner("s", s)
			if ok && e.Dispatcher == vm && view.Live(a.Target, s, a.Fence, w.now) {
				seen.senders[s] = append(seen.senders[s], claim{vm, a.Target, a.Fence})
			}
		}
	}
	for id, t := range w.targets {
		for s, h := range t.held {
			if w.now.Before(h.until) {
				seen.owners[s] = append(seen.owners[s], claim{target: id, fence: h.fence})
			}
		}
	}
	return seen
}

func (w *world) senders(s core.Shard) []claim { return w.look().senders[s] }

// violation names a shard with two owners, if there is one.
func (s sight) violation() string {
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

func (s sight) served(i core.Shard) bool { return len(s.senders[i]) > 0 && len(s.owners[i]) > 0 }

func (w *world) violation() string { return w.look().violation() }

// unserved counts the shards that nobody may send or whose target refuses.
func (w *world) unserved() int {
	n := 0
	seen := w.look()
	for s := range core.Shard(shards) {
		if !seen.served(s) {
			n++
		}
	}
	return n
}

// run advances by small steps with a network that loses nothing, and returns
// the time that shards went unserved at the longest.
func (w *world) run(d time.Duration) (longest time.Duration, violation string) {
	const step = 5 * time.Millisecond
	var out [shards]time.Duration
	for range d / step {
		w.advance(step)
		w.flush()
		seen := w.look()
		if v := seen.violation(); v != "" {
			return longest, v
		}
		for s := range core.Shard(shards) {
			if seen.served(s) {
				out[s] = 0
				continue
			}
			out[s] += step
			longest = max(longest, out[s])
		}
	}
	return longest, ""
}

// dump describes the shards for a failure.
func (w *world) dump() string {
	var b strings.Builder
	seen := w.look()
	if d := w.daemons[w.coordinator()]; d != nil {
		for s := range core.Shard(shards) {
			a, e, _ := d.node.Table().Owner("s", s)
			fmt.Fprintln(&b, s, a, e.Dispatcher, e.Releasing, seen.senders[s], seen.owners[s])
		}
	}
	for _, vm := range w.members {
		d := w.daemons[vm]
		c, live := d.node.Coordinator(w.now)
		fmt.Fprintf(&b, "%s %+v lease %v votes for %s %v\n", vm, d.book.Facts(), d.node.Lease().Until.Sub(w.now), c, live)
	}
	return b.String()
}

func (w *world) coordinator() core.VM {
	for _, vm := range w.members {
		if d := w.daemons[vm]; !d.crashed && d.node.IsCoordinator(w.now) {
			return vm
		}
	}
	return ""
}
