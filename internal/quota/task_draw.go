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

// pendingDraw is a draw that the level above may yet help to answer.
type pendingDraw struct {
	wants    []Want
	supplies []Supply // so far
	done     func(drawAnswer)
}

// advance lets everything happen that is due: terms begin and end, waits end,
// and draws leave.
func (t *Task) advance(ctx context.Context, now time.Time) {
	t.renew(now)
	t.deliver(t.admission.Expire(now))
	t.drawFromCell(ctx, now)
	t.drawFromSystem(ctx, now)
}

// renew begins and ends the own terms of both levels. A new term begins with a
// new, empty source.
func (t *Task) renew(now time.Time) {
	term, own := t.own(t.authority.Coordinator(), now)
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
	term, own = t.own(t.authority.Leader(), now)
	if !own || t.system.number != term {
		t.system = systemTerm{}
		if own {
			t.system = systemTerm{number: term, source: NewSystemSource(term, t.division, t.state, now)}
		}
	}
}

// own reports whether this daemon holds the authority now, and its term.
func (t *Task) own(term Term, now time.Time) (number uint64, own bool) {
	return term.Number, term.Holder == t.self && !now.Before(term.From) && now.Before(term.Until)
}

// drawFromCell sends what the admission wants to the cell's source. At most one
// draw is under way.
func (t *Task) drawFromCell(ctx context.Context, now time.Time) {
	if t.drawing[CellLevel] {
		return
	}
	if wants := t.admission.Wants(now); len(wants) > 0 {
		t.send(ctx, t.authority.Coordinator(), Draw{Level: CellLevel, Wants: wants}, now)
	}
}

// drawFromSystem sends what the cell's source wants, and its promise, to the
// system's source.
func (t *Task) drawFromSystem(ctx context.Context, now time.Time) {
	source := t.cell.source
	if t.drawing[SystemLevel] || source == nil {
		return
	}
	wants := source.Wants(now)
	if len(wants) > 0 || source.Due(now) {
		draw := Draw{Level: SystemLevel, Promise: source.Promise(now), Wants: wants}
		t.send(ctx, t.authority.Leader(), draw, now)
	}
}

func (t *Task) send(ctx context.Context, term Term, draw Draw, now time.Time) {
	t.drawing[draw.Level] = true
	draw.Cell, draw.Version = t.cellName, t.state.Version
	if term.Holder == t.self {
		t.answer(draw, now, func(a drawAnswer) {
			t.drawn(drawDone{draw.Level, a.Answer, errOrNil(a.err)}, now)
		})
		return
	}
	vm, ok := t.state.VMs[term.Holder]
	if !ok {
		unknown := result.New(result.CellUnreachable, "no holder of the source is known")
		t.drawn(drawDone{level: draw.Level, err: unknown}, now)
		return
	}
	go t.ask(ctx, vm, draw)
}

// ask asks another daemon and tells the task what came of it.
func (t *Task) ask(ctx context.Context, to config.VM, d Draw) {
	asked, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	answer, err := t.peers.Draw(asked, to, d)
	_ = t.mailbox.Send(ctx, drawDone{d.Level, answer, err})
}

// answer serves a draw from the source of its level.
func (t *Task) answer(d Draw, now time.Time, done func(drawAnswer)) {
	t.renew(now)
	switch {
	case d.Level == SystemLevel && t.system.source != nil:
		done(drawAnswer{Answer: t.answerCell(d, now)})
	case d.Level == CellLevel && t.cell.source != nil && d.Cell == t.cellName:
		t.answerDaemon(d, now, done)
	default:
		done(drawAnswer{err: result.New(result.NotOwner, "this daemon does not hold the source")})
	}
}

func (t *Task) answerCell(d Draw, now time.Time) Answer {
	t.activate(d, now)
	source := t.system.source
	source.Lend(d.Cell, d.Promise, now)
	return Answer{Stamp: source.Stamp(now), Supplies: source.Supply(d.Wants, now)}
}

// answerDaemon answers at once, unless tokens are missing that the next answer
// of the level above may bring.
func (t *Task) answerDaemon(d Draw, now time.Time, done func(drawAnswer)) {
	source := t.cell.source
	supplies := source.Supply(d.Wants, now)
	if lacking(d.Wants, supplies) && (t.drawing[SystemLevel] || source.Lacks(now)) {
		t.cell.pending = append(t.cell.pending, pendingDraw{d.Wants, supplies, done})
		return
	}
	done(drawAnswer{Answer: Answer{Supplies: supplies}})
}

func (t *Task) drawn(m drawDone, now time.Time) {
	t.drawing[m.level] = false
	switch {
	case m.level == SystemLevel:
		t.drawnFromSystem(m, now)
	case m.err != nil:
		t.admission.DrawFailed(now)
	default:
		t.deliver(t.admission.Receive(m.answer.Supplies, now))
	}
}

// drawnFromSystem supplies the draws that waited. Without an own term the tokens
// are lost.
func (t *Task) drawnFromSystem(m drawDone, now time.Time) {
	source := t.cell.source
	if source == nil {
		return
	}
	if m.err != nil {
		source.DrawFailed(now)
	} else {
		source.Receive(m.answer.Supplies, now)
		source.Answered(m.answer.Stamp, now)
	}
	pending := t.cell.pending
	t.cell.pending = nil
	for _, p := range pending {
		more := source.Supply(missing(p.wants, p.supplies), now)
		p.done(drawAnswer{Answer: Answer{Supplies: merge(p.supplies, more)}})
	}
	source.Trim()
}

// activate notes the asker's version and proposes the floors that may become
// active.
func (t *Task) activate(d Draw, now time.Time) {
	for _, cell := range t.acks.note(t.state, d.Cell, d.Version, now) {
		go t.propose(cell, t.state.Version)
	}
}

func (t *Task) propose(cell core.Cell, seen core.Version) {
	ctx, cancel := context.WithTimeout(context.Background(), proposeTimeout)
	defer cancel()
	id := fmt.Sprintf("activate-floor-%s-%d", cell, seen)
	_, _ = t.registry.Propose(ctx, config.Command{RequestID: id, Change: config.ActivateFloor{Cell: cell}})
}

func errOrNil(e *result.Error) error {
	if e == nil {
		return nil
	}
	return e
}
