package timeline

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize    = 4096 // messages
	ringCapacity   = 8192 // newest events kept
	refusalsPeriod = time.Second
	observePeriod  = 100 * time.Millisecond
)

type message interface{ isMessage() }

type record struct {
	event Event
	at    time.Time
}

type observe struct{ stamp Stamp }

type refused struct{ refusal Refusal }

type configChanged struct{ state *config.State }

type tableChanged struct{ table *cell.Table }

type fetch struct {
	query Query
	reply task.Reply[[]Event]
}

func (record) isMessage()        {}
func (observe) isMessage()       {}
func (refused) isMessage()       {}
func (configChanged) isMessage() {}
func (tableChanged) isMessage()  {}
func (fetch) isMessage()         {}

// Recorder is the task that owns the events of one daemon and its hybrid logical
// clock.
type Recorder struct {
	vm         core.VM
	dataCentre core.DataCentre
	dropped    func()
	mailbox    task.Mailbox[message]
	stamp      task.Snapshot[Stamp]
	observe    func() Observation

	// Owned by the task's goroutine.
	state    *config.State // newest configuration recorded
	table    *cell.Table   // newest table received
	observed Observation   // newest observation recorded
	clock    Clock
	ring     *Ring
	seq      uint64
	refusals *Refusals
}

// NewRecorder returns the recorder of one daemon. It calls dropped for each event
// that is dropped because the mailbox is full, on the goroutine that recorded the
// event. It calls observe periodically, on the task's goroutine, for the state of
// the daemon's leases; observe must not block.
func NewRecorder(vm core.VM, dc core.DataCentre, dropped func(), observe func() Observation) *Recorder {
	return &Recorder{
		vm:         vm,
		dataCentre: dc,
		dropped:    dropped,
		observe:    observe,
		mailbox:    task.NewMailbox[message]("timeline", mailboxSize),
		stamp:      task.NewSnapshot(&Stamp{}),
		ring:       NewRing(ringCapacity),
		refusals:   NewRefusals(),
	}
}

// Record stores e without blocking. If the mailbox is full, e is dropped and
// counted.
func (r *Recorder) Record(e Event) {
	if r.mailbox.Post(record{event: e, at: time.Now()}) != nil {
		r.dropped()
	}
}

// Refused counts one refused request. Refusals of the same kind within a period
// are summarised in one event if there are enough of them.
func (r *Recorder) Refused(k Refusal) {
	if r.mailbox.Post(refused{k}) != nil {
		r.dropped()
	}
}

// ConfigurationChanged records the events that follow from s coming into force.
func (r *Recorder) ConfigurationChanged(s *config.State) {
	if r.mailbox.Post(configChanged{s}) != nil {
		r.dropped()
	}
}

// TableChanged records the events that follow from a new table of the cell, if
// this daemon is the coordinator that wrote it.
func (r *Recorder) TableChanged(t *cell.Table) {
	if r.mailbox.Post(tableChanged{t}) != nil {
		r.dropped()
	}
}

// Observe advances the clock to the stamp of a peer's message, so that later
// events here have later stamps.
func (r *Recorder) Observe(s Stamp) { _ = r.mailbox.Post(observe{s}) }

// Stamp returns the stamp for a message to a peer. It is later than the stamp of
// every event that the recorder has stored, and not before the wall clock.
func (r *Recorder) Stamp() Stamp {
	c := Clock{last: *r.stamp.Load()}
	return c.Tick(time.Now())
}

// Events returns the stored events that q selects, oldest first.
func (r *Recorder) Events(ctx context.Context, q Query) ([]Event, error) {
	return task.Ask(ctx, r.mailbox, func(reply task.Reply[[]Event]) message { return fetch{q, reply} })
}

// Serve implements the task: it handles messages until ctx ends.
func (r *Recorder) Serve(ctx context.Context) error {
	refusalsTicker := time.NewTicker(refusalsPeriod)
	defer refusalsTicker.Stop()
	observeTicker := time.NewTicker(observePeriod)
	defer observeTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-r.mailbox.C():
			r.handle(m)
		case now := <-observeTicker.C:
			r.recordObservation(now)
		case now := <-refusalsTicker.C:
			for _, e := range r.refusals.Flush() {
				r.store(e, now)
			}
		}
	}
}

func (r *Recorder) handle(m message) {
	switch m := m.(type) {
	case record:
		r.store(m.event, m.at)
	case refused:
		r.refusals.Add(m.refusal)
	case observe:
		if r.clock.Observe(m.stamp, time.Now()) {
			r.publishStamp()
		}
	case configChanged:
		for _, e := range ConfigurationEvents(r.state, m.state) {
			r.store(e, time.Now())
		}
		r.state = m.state
	case tableChanged:
		r.storeTable(m.table, time.Now())
	case fetch:
		m.reply.Answer(r.ring.Select(m.query))
	}
}

// storeTable records the events that follow from a new table. The first table
// after a start is compared with an empty one, so that a coordinator records all
// targets and shards that it found.
func (r *Recorder) storeTable(t *cell.Table, now time.Time) {
	prev := r.table
	if prev == nil {
		prev = cell.NewTable(t.Cell)
	}
	r.table = t
	if t.Coordinator != r.vm {
		return
	}
	for _, e := range TableEvents(prev, t) {
		r.store(e, now)
	}
}

func (r *Recorder) recordObservation(now time.Time) {
	current := r.observe()
	for _, e := range ObservationEvents(r.vm, r.observed, current) {
		r.store(e, now)
	}
	r.observed = current
}

func (r *Recorder) store(e Event, at time.Time) {
	r.seq++
	e.VM, e.Seq, e.Stamp = r.vm, r.seq, r.clock.Tick(at)
	if e.DataCentre == "" {
		e.DataCentre = r.dataCentre
	}
	r.ring.Add(e)
	r.publishStamp()
}

func (r *Recorder) publishStamp() {
	last := r.clock.Last()
	r.stamp.Publish(&last)
}
