package cell

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	callTimeout      = 250 * time.Millisecond
	maxCallsInFlight = 8 // to one member; further calls are dropped
)

// sendAll sends each call from a goroutine of its own, which ends when the answer
// arrives or at callTimeout.
func (t *Task) sendAll(ctx context.Context, sends []Send) {
	for _, s := range sends {
		vm, ok := t.state.VMs[s.To]
		if !ok || t.callsInFlight[s.To] >= maxCallsInFlight {
			continue
		}
		t.callsInFlight[s.To]++
		go t.call(ctx, vm, s.Call)
	}
}

func (t *Task) call(ctx context.Context, to config.VM, c Call) {
	limited, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a, err := t.transport.Call(limited, to, t.self, c)
	if err != nil {
		a = nil
	}
	_ = t.mailbox.Send(ctx, answerReceived{to.Name, a})
}

// assign enters a pin if this member coordinates the cell, and otherwise forwards
// it to the coordinator.
func (t *Task) assign(ctx context.Context, m callReceived, p Pin, now time.Time) []Send {
	sends, err := t.node.Pin(p, now)
	if err == nil {
		t.pendingPins = append(t.pendingPins, pendingPin{p, m.reply, now.Add(assignTimeout)})
		return sends
	}
	to, live := t.node.Coordinator(now)
	vm, known := t.state.VMs[to]
	if m.from != t.self || !live || !known || to == t.self {
		m.reply.Answer(AssignAnswer{err})
		return nil
	}
	go t.forwardPin(ctx, vm, m, p)
	return nil
}

func (t *Task) forwardPin(ctx context.Context, to config.VM, m callReceived, p Pin) {
	limited, cancel := context.WithTimeout(ctx, assignTimeout)
	defer cancel()
	a, err := t.transport.Call(limited, to, t.self, Assign{p})
	if err != nil {
		a = AssignAnswer{result.Wrap(result.CommitUnknown, err, "coordinator %s", to.Name)}
	}
	m.reply.Answer(a)
}
