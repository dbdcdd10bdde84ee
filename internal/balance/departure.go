package balance

import (
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
)

const (
	// drainingOwnerGrace is how long the owner of a key still gets requests for it
	// after this VM learned that it is draining. Nobody else can serve the key
	// until the leader has moved it, and an owner that has released the key
	// refuses. Together with the time until this VM learns of it, it must stay
	// below the time that a target serves after announcing its stop.
	drainingOwnerGrace = time.Second
	// departureRetention is how long this VM remembers that a target said it
	// leaves. It exceeds the time for which a leader keeps a silent target.
	departureRetention = 2 * time.Minute
	// maxRest bounds the time for which a target may keep this VM away.
	maxRest = time.Minute
	// maxRestWait is the longest rest of a key's owner for which a request waits
	// instead of being refused at once.
	maxRestWait = 300 * time.Millisecond
)

// departure is what a target said in an answer about its own stop.
type departure struct {
	incarnation core.Incarnation
	since       time.Time
}

// markLeaving records that t said in an answer that it is about to stop. It gets
// no new work from now on, whatever the leader knows; see drainingOwnerGrace for
// its keys.
func (p *Pool) markLeaving(t *target, now time.Time) {
	if _, known := p.leaving[t.ID]; !known || p.leaving[t.ID].incarnation != t.Incarnation {
		p.leaving[t.ID] = departure{t.Incarnation, now}
	}
	t.Draining = true
	p.noteDraining(t, now)
}

// draining reports whether t gets no new requests: the target itself announced
// that it is draining, it is retired in the configuration, or its data centre
// is evacuated.
func (p *Pool) draining(t *target) bool {
	return t.Draining || p.state.Evacuated[t.DataCentre] || p.state.IsRetired(t.ID, t.Incarnation)
}

// servesDraining reports whether t, which is draining, may still serve a key that it
// got with a fence. One that announced its stop to the leader has released its keys
// with the leader's answer, and one that refused a key of the fence has, too.
func (t *target) servesDraining(fence core.Version, now time.Time) bool {
	return !t.announced && t.refusedFence != fence && now.Sub(t.drainingSince) < drainingOwnerGrace
}

// noteDraining records when t began to drain, as far as this VM knows.
func (p *Pool) noteDraining(t *target, now time.Time) {
	switch {
	case !p.draining(t):
		t.drainingSince = time.Time{}
	case t.drainingSince.IsZero():
		t.drainingSince = now
	}
}

// applyGone applies the leader's news that a target is gone. One that stops as
// planned still serves the keys that it owns for a moment.
func (p *Pool) applyGone(t *target, s fleet.TargetState, now time.Time) {
	if class, ok := p.state.Catalog.Service(t.Service); ok && class.Keyed && s.Draining {
		t.Draining, t.departed = true, true
		p.noteDraining(t, now)
		return
	}
	p.remove(t)
}

// forgetDeparted removes departed targets whose keys have moved, and departures
// that no leader can list any more.
func (p *Pool) forgetDeparted(now time.Time) {
	for _, t := range p.targets {
		if t.departed && now.Sub(t.drainingSince) >= drainingOwnerGrace {
			p.remove(t)
		}
	}
	for id, d := range p.leaving {
		if now.Sub(d.since) > departureRetention {
			delete(p.leaving, id)
		}
	}
}
