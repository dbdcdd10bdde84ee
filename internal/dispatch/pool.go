// Package dispatch hands out the slots of the targets that this daemon
// dispatches. Decisions: pool.go. Task: task.go, which owns every pool.
package dispatch

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/exchange"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// Need is one request's wish for a slot.
type Need struct {
	Service   core.Service
	Workspace core.Workspace
	Target    core.TargetID // empty: any target of the service
	Fence     core.Fence
	Deadline  time.Time
}

// Slot is the permission to send one request to one target.
type Slot struct {
	Target core.Target
	Fence  core.Fence
}

// Ticket identifies a waiting need.
type Ticket uint64

// Grant gives a slot to the need that waits under a ticket, or refuses it.
type Grant struct {
	Ticket Ticket
	Slot   Slot
	Err    error
}

// Pool holds the targets of one service and the needs that wait for them.
type Pool struct {
	queuePerSlot int
	targets      map[core.TargetID]*targetState
	waiting      []waiter
}

type targetState struct {
	target   core.Target
	inFlight int
}

type waiter struct {
	ticket Ticket
	need   Need
}

// NewPool returns a pool without targets. It lets queuePerSlot needs wait for
// each slot of its targets.
func NewPool(queuePerSlot int) *Pool {
	return &Pool{queuePerSlot: queuePerSlot, targets: map[core.TargetID]*targetState{}}
}

// Update replaces the targets and keeps the count of requests in flight.
func (p *Pool) Update(targets []core.Target, now time.Time) []Grant {
	next := make(map[core.TargetID]*targetState, len(targets))
	for _, t := range targets {
		s := p.targets[t.ID]
		if s == nil {
			s = &targetState{}
		}
		s.target = t
		next[t.ID] = s
	}
	p.targets = next
	return p.Pump(now)
}

// Acquire adds a need and returns the grants that follow.
func (p *Pool) Acquire(ticket Ticket, n Need, now time.Time) []Grant {
	if len(p.waiting) >= p.queueLimit() {
		return []Grant{{Ticket: ticket, Err: result.New(result.Overloaded, "queue of %s is full", n.Service)}}
	}
	p.waiting = append(p.waiting, waiter{ticket, n})
	return p.Pump(now)
}

// Release ends one request on a target and returns the grants that follow.
func (p *Pool) Release(id core.TargetID, _ exchange.Attempt, now time.Time) []Grant {
	if s := p.targets[id]; s != nil && s.inFlight > 0 {
		s.inFlight--
	}
	return p.Pump(now)
}

// Cancel removes a need that no longer waits for its answer.
func (p *Pool) Cancel(ticket Ticket) {
	for i, w := range p.waiting {
		if w.ticket == ticket {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
}

// Pump grants what can be granted at now and refuses needs past their deadline.
func (p *Pool) Pump(now time.Time) []Grant {
	var grants []Grant
	kept := p.waiting[:0]
	for _, w := range p.waiting {
		if now.After(w.need.Deadline) {
			grants = append(grants, Grant{Ticket: w.ticket, Err: result.New(result.DeadlineInQueue, "no slot of %s in time", w.need.Service)})
			continue
		}
		s := p.choose(w.need)
		if s == nil {
			kept = append(kept, w)
			continue
		}
		s.inFlight++
		grants = append(grants, Grant{Ticket: w.ticket, Slot: Slot{Target: s.target, Fence: w.need.Fence}})
	}
	p.waiting = kept
	return grants
}

func (p *Pool) queueLimit() int {
	slots := 1
	for _, s := range p.targets {
		slots += s.target.Slots
	}
	return slots * p.queuePerSlot
}

// choose returns a target with a free slot and the fewest requests in flight.
func (p *Pool) choose(n Need) *targetState {
	if n.Target != "" {
		s := p.targets[n.Target]
		if s == nil || s.inFlight >= s.target.Slots {
			return nil
		}
		return s
	}
	var best *targetState
	for _, s := range p.targets {
		if s.target.Leaving || s.inFlight >= s.target.Slots {
			continue
		}
		if best == nil || s.inFlight < best.inFlight {
			best = s
		}
	}
	return best
}
