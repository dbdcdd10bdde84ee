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

// renew begins and ends the own terms of both levels.
func (t *Task) renew(now time.Time) {
	t.renewLevel(&t.cell, t.authority.Coordinator(), true, now)
	t.renewLevel(&t.system, t.authority.Leader(), false, now)
}

// renewLevel gives h a new, empty source when an own term is new, and none while
// this daemon has no authority.
func (t *Task) renewLevel(h *held, term Term, hasParent bool, now time.Time) {
	own := term.Holder == t.self && !now.Before(term.From) && now.Before(term.Until)
	if own && h.source != nil && h.term == term.Number {
		return
	}
	pending := h.pending
	*h = held{}
	if own {
		h.term, h.source = term.Number, NewSource(hasParent)
		t.shareOut(now)
	}
	for _, p := range pending {
		p.done(drawAnswer{supplies: p.supplies})
	}
}

// drawFromCell sends what the admission wants to the cell's source. At most one
// draw is under way.
func (t *Task) drawFromCell(ctx context.Context, now time.Time) {
	if t.drawing[CellLevel] {
		return
	}
	if wants := t.admission.Wants(now); len(wants) > 0 {
		t.send(ctx, t.authority.Coordinator(), CellLevel, wants, now)
	}
}

// drawFromSystem sends what the cell's source wants to the system's source.
func (t *Task) drawFromSystem(ctx context.Context, now time.Time) {
	if t.drawing[SystemLevel] || t.cell.source == nil {
		return
	}
	if wants := t.cell.source.Wants(now); len(wants) > 0 {
		t.send(ctx, t.authority.Leader(), SystemLevel, wants, now)
	}
}

func (t *Task) send(ctx context.Context, term Term, level Level, wants []Want, now time.Time) {
	t.drawing[level] = true
	draw := Draw{Level: level, Cell: t.cellName, Version: t.state.Version, Wants: wants}
	if term.Holder == t.self {
		t.answer(draw, now, func(a drawAnswer) {
			t.drawn(drawDone{level, a.supplies, errOrNil(a.err)}, now)
		})
		return
	}
	vm, ok := t.state.VMs[term.Holder]
	if !ok {
		unknown := result.New(result.CellUnreachable, "no holder of the source is known")
		t.drawn(drawDone{level: level, err: unknown}, now)
		return
	}
	go t.ask(ctx, vm, draw)
}

// ask asks another daemon and tells the task what came of it.
func (t *Task) ask(ctx context.Context, to config.VM, d Draw) {
	asked, cancel := context.WithTimeout(ctx, drawTimeout)
	defer cancel()
	supplies, err := t.peers.Draw(asked, to, d)
	_ = t.mailbox.Send(ctx, drawDone{d.Level, supplies, err})
}

// answer serves a draw from the source of its level. A draw from a cell's
// source that lacks tokens waits for the next answer of the level above.
func (t *Task) answer(d Draw, now time.Time, done func(drawAnswer)) {
	t.renew(now)
	h := &t.cell
	if d.Level == SystemLevel {
		h = &t.system
	}
	if h.source == nil || d.Level == CellLevel && d.Cell != t.cellName {
		done(drawAnswer{err: result.New(result.NotOwner, "this daemon does not hold the source")})
		return
	}
	if d.Level == SystemLevel {
		t.activate(d, now)
	}
	supplies := h.source.Supply(d.Wants, now)
	if d.Level == CellLevel && lacking(d.Wants, supplies) && (t.drawing[SystemLevel] || h.source.Lacks(now)) {
		h.pending = append(h.pending, pendingDraw{d.Wants, supplies, done})
		return
	}
	done(drawAnswer{supplies: supplies})
}

func (t *Task) drawn(m drawDone, now time.Time) {
	t.drawing[m.level] = false
	switch {
	case m.level == SystemLevel:
		t.drawnFromSystem(m, now)
	case m.err != nil:
		t.admission.DrawFailed(now)
	default:
		t.deliver(t.admission.Receive(m.supplies, now))
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
		source.Receive(m.supplies, now)
	}
	pending := t.cell.pending
	t.cell.pending = nil
	for _, p := range pending {
		more := source.Supply(missing(p.wants, p.supplies), now)
		p.done(drawAnswer{supplies: merge(p.supplies, more)})
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
