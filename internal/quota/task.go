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
	mailboxSize     = 8192
	advanceInterval = 5 * time.Millisecond // between calls of advance while requests wait
)

// Term is the period in which one daemon holds the source of a level. Terms of
// one level never overlap: From of a term is after Until of the previous one.
type Term struct {
	Holder core.VM // empty: unknown
	Number uint64
	From   time.Time // set only if this daemon is the holder
	Until  time.Time // set only if this daemon is the holder
}

// Authority reports who holds the sources. Its methods only read snapshots and
// do not block.
type Authority interface {
	Coordinator() Term // of this daemon's cell
	Leader() Term      // of the registry
}

// Level is a level of the tree that has a source.
type Level uint8

// The levels.
const (
	CellLevel   Level = iota + 1 // daemons of the cell draw from it
	SystemLevel                  // coordinators of the cells draw from it
)

// Draw is a request for tokens to the source of one level.
type Draw struct {
	Level   Level
	Cell    core.Cell    // of the sender
	Version core.Version // of the configuration that the sender uses
	Promise Promise      // of a cell to the system's source
	Wants   []Want
}

// Answer is the reply to a Draw.
type Answer struct {
	Stamp    Stamp // of the system's source; zero from a cell's source
	Supplies []Supply
}

// Peers sends draws to other daemons.
type Peers interface {
	Draw(ctx context.Context, to config.VM, d Draw) (Answer, error)
}

// Registry accepts the command that activates a new cell's floor.
type Registry interface {
	Propose(ctx context.Context, c config.Command) (*config.State, error)
}

type message interface{ isMessage() }

type admit struct {
	workspace core.Workspace
	reply     task.Reply[*result.Error]
}

type drawRequest struct {
	draw  Draw
	reply task.Reply[drawAnswer]
}

type drawAnswer struct {
	Answer
	err *result.Error
}

type drawCompleted struct {
	level  Level
	answer Answer
	err    error
}

type configChanged struct{ state *config.State }

func (admit) isMessage()         {}
func (drawRequest) isMessage()   {}
func (drawCompleted) isMessage() {}
func (configChanged) isMessage() {}

// Task owns this daemon's Admission, and the sources of the levels whose term
// this daemon holds.
type Task struct {
	self      core.VM
	cellName  core.Cell
	authority Authority
	peers     Peers
	registry  Registry
	mailbox   task.Mailbox[message]

	division     Division
	state        *config.State
	admission    *Admission
	replies      map[Ticket]task.Reply[*result.Error]
	lastTicket   Ticket
	cell         cellTerm
	system       systemTerm
	acks         floorAcks
	drawInFlight map[Level]bool
}

// cellTerm holds the cell's source during one of this daemon's terms as
// coordinator.
type cellTerm struct {
	number  uint64
	source  *CellSource   // nil: this daemon is not coordinator
	pending []pendingDraw // draws that wait for the system's source
}

// systemTerm holds the system's source during one of this daemon's terms as
// leader.
type systemTerm struct {
	number uint64
	source *SystemSource // nil: this daemon is not leader
}

// NewTask returns the task of daemon self in the given cell, without tokens.
func NewTask(self core.VM, cell core.Cell, a Authority, p Peers, r Registry) *Task {
	t := &Task{
		self: self, cellName: cell, authority: a, peers: p, registry: r,
		mailbox:      task.NewMailbox[message]("quota", mailboxSize),
		state:        config.NewState(),
		admission:    NewAdmission(DefaultDivision()),
		replies:      map[Ticket]task.Reply[*result.Error]{},
		drawInFlight: map[Level]bool{},
		acks:         newFloorAcks(),
	}
	return t
}

// Admit takes one token of the workspace. It waits up to maxUnreachableWait for
// one. The error of a refused request is RateExceeded or CellUnreachable and
// says that the request has not run.
func (t *Task) Admit(ctx context.Context, w core.Workspace) error {
	refusal, err := task.Ask(ctx, t.mailbox, func(r task.Reply[*result.Error]) message { return admit{w, r} })
	if err != nil {
		return result.Wrap(result.CallerGone, err, "caller left while waiting for a token of workspace %s", w)
	}
	if refusal != nil {
		return refusal
	}
	return nil
}

// Draw answers another daemon's draw.
func (t *Task) Draw(ctx context.Context, d Draw) (Answer, error) {
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[drawAnswer]) message { return drawRequest{d, r} })
	if err != nil {
		return Answer{}, err
	}
	if a.err != nil {
		return Answer{}, a.err
	}
	return a.Answer, nil
}

// ConfigChanged passes the current configuration to the task.
func (t *Task) ConfigChanged(s *config.State) { _ = t.mailbox.Post(configChanged{s}) }

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	timer := time.NewTimer(advanceInterval)
	defer timer.Stop()
	promiseTicker := time.NewTicker(promiseInterval)
	defer promiseTicker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			t.handle(m, time.Now())
		case <-timer.C:
		case <-promiseTicker.C:
		}
		t.advance(ctx, time.Now())
		if t.admission.Waiting() {
			timer.Reset(advanceInterval)
		}
	}
}

func (t *Task) handle(m message, now time.Time) {
	switch m := m.(type) {
	case admit:
		t.admit(m, now)
	case drawRequest:
		t.answerDraw(m.draw, now, m.reply.Answer)
	case drawCompleted:
		t.completeDraw(m, now)
	case configChanged:
		t.state = m.state
		t.setState(now)
	}
}

func (t *Task) admit(m admit, now time.Time) {
	t.lastTicket++
	v, done := t.admission.Admit(t.lastTicket, m.workspace, now)
	if done {
		m.reply.Answer(v.Err)
		return
	}
	t.replies[t.lastTicket] = m.reply
}

func (t *Task) deliver(verdicts []Verdict) {
	for _, v := range verdicts {
		t.replies[v.Ticket].Answer(v.Err)
		delete(t.replies, v.Ticket)
	}
}

// setState passes the current configuration to the admission and the sources.
func (t *Task) setState(now time.Time) {
	t.admission.SetState(t.state)
	if t.cell.source != nil {
		t.cell.source.SetState(t.state, now)
	}
	if t.system.source != nil {
		t.system.source.SetState(t.state, now)
	}
}
