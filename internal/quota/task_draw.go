package quota

import (
	"context"
	"fmt"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	drawTimeout    = 250 * time.Millisecond
	proposeTimeout = 5 * time.Second
)

// pendingDraw is a daemon's draw that waits for an answer of the system's
// source.
type pendingDraw struct {
	wants    []Want
	supplies []Supply // available when the draw arrived
	done     func(drawAnswer)
}

// advance performs what is due: it starts and ends terms, refuses requests that
// have waited too long, and sends draws.
func (t *Task) advance(ctx context.Context, now time.Time) {
	t.updateTerms(now)
	t.deliver(t.admission.Expire(now))
	t.drawFromCell(ctx, now)
	t.drawFromSystem(ctx, now)
}

// updateTerms starts and ends this daemon's terms at both levels. A new term
// starts with an empty source.
func (t *Task) updateTerms(now time.Time) {
	term, own := t.ownsTerm(t.authority.Coordinator(), now)
	if !own || t.cell.number != term {
		pending := t.cell.pending
		t.cell = cellTerm{}
		if own {
			t.cell = cellTerm{number: term, source: NewCellSource(t.cellName, t.division, t.state, now)}
		}
		for _, p := range pending {
			p.done(drawAnswer{Answer: Answer{Supplies: p.supplies}})
		}
	}
	term, own = t.ownsTerm(t.authority.Leader(), now)
	if !own || t.system.number != term {
		t.system = systemTerm{}
		if own {
			t.system = systemTerm{number: term, source: NewSystemSource(term, t.division, t.state, now)}
		}
	}
}

// ownsTerm reports whether this daemon holds the term now, and the term's
// number.
func (t *Task) ownsTerm(term Term, now time.Time) (number uint64, own bool) {
	return term.Number, term.Holder == t.self && !now.Before(term.From) && now.Before(term.Until)
}

// drawFromCell draws the tokens that the admission needs from the cell's source.
// At most one such draw is in flight.
func (t *Task) drawFromCell(ctx context.Context, now time.Time) {
	if t.drawInFlight[CellLevel] {
		return
	}
	if wants := t.admission.Wants(now); len(wants) > 0 {
		t.send(ctx, t.authority.Coordinator(), Draw{Level: CellLevel, Wants: wants}, now)
	}
}

// drawFromSystem draws the tokens that the cell's source needs from the system's
// source, and sends the cell's promise with the draw.
func (t *Task) drawFromSystem(ctx context.Context, now time.Time) {
	source := t.cell.source
	if t.drawInFlight[SystemLevel] || source == nil {
		return
	}
	wants := source.Wants(now)
	if len(wants) > 0 || source.PromiseDue(now) {
		draw := Draw{Level: SystemLevel, Promise: source.Promise(now), Wants: wants}
		t.send(ctx, t.authority.Leader(), draw, now)
	}
}

// send sends a draw to the holder of the level's source, or answers it at once
// if that is this daemon.
func (t *Task) send(ctx context.Context, term Term, draw Draw, now time.Time) {
	t.drawInFlight[draw.Level] = true
	draw.Cell, draw.Version = t.cellName, t.state.Version
	if term.Holder == t.self {
		t.answerDraw(draw, now, func(a drawAnswer) {
			t.completeDraw(drawCompleted{draw.Level, a.Answer, errOrNil(a.err)}, now)
		})
		return
	}
	vm, ok := t.state.VMs[term.Holder]
	if !ok {
		unknown := result.New(result.CellUnreachable, "holder of the token source is unknown")
		t.completeDraw(drawCompleted{level: draw.Level, err: unknown}, now)
		return
	}
	go t.drawFromPeer(ctx, vm, draw)
}

// drawFromPeer sends a draw to another daemon and posts the result to the
// mailbox.
func (t *Task) drawFromPeer(ctx context.Context, to config.VM, d Draw) {
	drawCtx, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	answer, err := t.peers.Draw(drawCtx, to, d)
	_ = t.mailbox.Send(ctx, drawCompleted{d.Level, answer, err})
}

// answerDraw answers a draw from the source of its level.
func (t *Task) answerDraw(d Draw, now time.Time, done func(drawAnswer)) {
	t.updateTerms(now)
	switch {
	case d.Level == SystemLevel && t.system.source != nil:
		done(drawAnswer{Answer: t.answerCell(d, now)})
	case d.Level == CellLevel && t.cell.source != nil && d.Cell == t.cellName:
		t.answerDaemon(d, now, done)
	default:
		done(drawAnswer{err: result.New(result.NotOwner, "this daemon does not hold the token source")})
	}
}

func (t *Task) answerCell(d Draw, now time.Time) Answer {
	t.proposeReadyFloors(d, now)
	source := t.system.source
	source.AcceptPromise(d.Cell, d.Promise, now)
	return Answer{Stamp: source.Stamp(now), Supplies: source.Supply(d.Wants, now)}
}

// answerDaemon answers a draw at once, unless tokens are missing that a draw
// from the system's source may supply.
func (t *Task) answerDaemon(d Draw, now time.Time, done func(drawAnswer)) {
	source := t.cell.source
	supplies := source.Supply(d.Wants, now)
	if hasShortfall(d.Wants, supplies) && (t.drawInFlight[SystemLevel] || source.HasWants(now)) {
		t.cell.pending = append(t.cell.pending, pendingDraw{d.Wants, supplies, done})
		return
	}
	done(drawAnswer{Answer: Answer{Supplies: supplies}})
}

func (t *Task) completeDraw(m drawCompleted, now time.Time) {
	t.drawInFlight[m.level] = false
	switch {
	case m.level == SystemLevel:
		t.completeSystemDraw(m, now)
	case m.err != nil:
		t.admission.DrawFailed(now)
	default:
		t.deliver(t.admission.Receive(m.answer.Supplies, now))
	}
}

// completeSystemDraw adds the tokens of a draw from the system's source and
// answers the pending draws of daemons. If this daemon's term has ended, the
// tokens are discarded.
func (t *Task) completeSystemDraw(m drawCompleted, now time.Time) {
	source := t.cell.source
	if source == nil {
		return
	}
	if m.err != nil {
		source.DrawFailed(now)
	} else {
		source.Receive(m.answer.Supplies, now)
		source.RecordStamp(m.answer.Stamp, now)
	}
	pending := t.cell.pending
	t.cell.pending = nil
	for _, p := range pending {
		more := source.Supply(remainingWants(p.wants, p.supplies), now)
		p.done(drawAnswer{Answer: Answer{Supplies: addSupplies(p.supplies, more)}})
	}
	source.Trim()
}

// proposeReadyFloors records the sender's configuration version and proposes the
// floors that may become active.
func (t *Task) proposeReadyFloors(d Draw, now time.Time) {
	for _, cell := range t.acks.record(t.state, d.Cell, d.Version, now) {
		go t.proposeFloor(cell, t.state.Version)
	}
}

func (t *Task) proposeFloor(cell core.Cell, version core.Version) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	id := fmt.Sprintf("activate-floor-%s-%d", cell, version)
	_, _ = t.registry.Propose(ctx, config.Command{RequestID: id, Change: config.ActivateFloor{Cell: cell}})
}

func errOrNil(e *result.Error) error {
	if e == nil {
		return nil
	}
	return e
}
