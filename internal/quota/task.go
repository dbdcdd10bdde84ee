package quota

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize  = 8192
	advanceAfter = 5 * time.Millisecond // while requests wait or a source owes tokens
)

// Term is the authority over one level's source. Terms of one level never
// overlap: From of the next is after Until of the last.
type Term struct {
	Holder core.VM // empty: unknown
	Number uint64
	From   time.Time // of this daemon's own term
	Until  time.Time // of this daemon's own term
}

// Authority tells who holds the sources. Its methods only read snapshots.
type Authority interface {
	Coordinator() Term // of this daemon's cell
	Leader() Term      // of the registry
}

// Level is a level of the tree that answers draws.
type Level uint8

// The levels with a source.
const (
	CellLevel   Level = iota + 1 // asked by the cell's daemons
	SystemLevel                  // asked by the cells' coordinators
)

// Draw asks the source of one level.
type Draw struct {
	Level   Level
	Cell    core.Cell    // of the asker
	Version core.Version // of the configuration in force at the asker
	Promise Promise      // of a cell that lends
	Wants   []Want
}

// Answer is the reply to a Draw.
type Answer struct {
	Stamp    Stamp // of the system's source
	Supplies []Supply
}

// Peers asks other daemons for tokens.
type Peers interface {
	Draw(ctx context.Context, to config.VM, d Draw) (Answer, error)
}

// Registry takes the command that activates a new cell's floor.
type Registry interface {
	Propose(ctx context.Context, c config.Command) (*config.State, error)
}

type message interface{ isMessage() }

type admit struct {
	workspace core.Workspace
	reply     task.Reply[*result.Error]
}

type drawAsked struct {
	draw  Draw
	reply task.Reply[drawAnswer]
}

type drawAnswer struct {
	Answer
	err *result.Error
}

type drawDone struct {
	level  Level
	answer Answer
	err    error
}

type configChanged struct{ state *config.State }

func (admit) isMessage()         {}
func (drawAsked) isMessage()     {}
func (drawDone) isMessage()      {}
func (configChanged) isMessage() {}

// Task owns this daemon's admission, and the sources of the levels that it
// holds authority over.
type Task struct {
	self      core.VM
	cellName  core.Cell
	authority Authority
	peers     Peers
	registry  Registry
	mailbox   task.Mailbox[message]

	division  Division
	state     *config.State
	admission *Admission
	replies   map[Ticket]task.Reply[*result.Error]
	next      Ticket
	cell      cellTerm
	system    systemTerm
	acks      floorAcks
	drawing   map[Level]bool
}

// cellTerm is the cell's source during one own term.
type cellTerm struct {
	number  uint64
	source  *CellSource   // nil: this daemon does not coordinate
	pending []pendingDraw // draws that wait for the level above
}

// systemTerm is the system's source during one own term.
type systemTerm struct {
	number uint64
	source *SystemSource // nil: this daemon does not lead
}

// NewTask returns a task without tokens for daemon self of the given cell.
func NewTask(self core.VM, cell core.Cell, a Authority, p Peers, r Registry) *Task {
	t := &Task{
		self: self, cellName: cell, authority: a, peers: p, registry: r,
		mailbox:   task.NewMailbox[message]("quota", mailboxSize),
		state:     config.NewState(),
		admission: NewAdmission(DefaultDivision()),
		replies:   map[Ticket]task.Reply[*result.Error]{},
		drawing:   map[Level]bool{},
		acks:      newFloorAcks(),
	}
	return t
}

// Admit takes one token of the workspace; it may wait shortly for one. It
// refuses with RateExceeded or CellUnreachable, not run.
func (t *Task) Admit(ctx context.Context, w core.Workspace) error {
	refusal, err := task.Ask(ctx, t.mailbox, func(r task.Reply[*result.Error]) message { return admit{w, r} })
	if err != nil {
		return result.Wrap(result.CallerGone, err, "waiting for a token of workspace %s", w)
	}
	if refusal != nil {
		return refusal
	}
	return nil
}

// Draw answers another daemon's draw.
func (t *Task) Draw(ctx context.Context, d Draw) (Answer, error) {
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[drawAnswer]) message { return drawAsked{d, r} })
	if err != nil {
		return Answer{}, err
	}
	if a.err != nil {
		return Answer{}, a.err
	}
	return a.Answer, nil
}

// ConfigChanged delivers the state in force.
func (t *Task) ConfigChanged(s *config.State) { _ = t.mailbox.Post(configChanged{s}) }

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	timer := time.NewTimer(advanceAfter)
	defer timer.Stop()
	renewal := time.NewTicker(loanRenew)
	defer renewal.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			t.handle(m, time.Now())
		case <-timer.C:
		case <-renewal.C:
		}
		t.advance(ctx, time.Now())
		if t.admission.Waiting() {
			timer.Reset(advanceAfter)
		}
	}
}

func (t *Task) handle(m message, now time.Time) {
	switch m := m.(type) {
	case admit:
		t.admit(m, now)
	case drawAsked:
		t.answer(m.draw, now, m.reply.Answer)
	case drawDone:
		t.drawn(m, now)
	case configChanged:
		t.state = m.state
		t.setState(now)
	}
}

func (t *Task) admit(m admit, now time.Time) {
	t.next++
	v, done := t.admission.Admit(t.next, m.workspace, now)
	if done {
		m.reply.Answer(v.Err)
		return
	}
	t.replies[t.next] = m.reply
}

func (t *Task) deliver(verdicts []Verdict) {
	for _, v := range verdicts {
		t.replies[v.Ticket].Answer(v.Err)
		delete(t.replies, v.Ticket)
	}
}

// setState gives the sources the state in force.
func (t *Task) setState(now time.Time) {
	t.admission.SetState(t.state)
	if t.cell.source != nil {
		t.cell.source.SetState(t.state, now)
	}
	if t.system.source != nil {
		t.system.source.SetState(t.state, now)
	}
}
