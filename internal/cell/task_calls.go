package cell

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

const (
	callTimeout = 250 * time.Millisecond
	maxOpen     = 8 // calls to one member on their way; more are dropped
)

// do sends calls, each from a goroutine of its own that ends with the answer
// or at callTimeout.
func (t *Task) do(ctx context.Context, sends []Send) {
	for _, s := range sends {
		vm, ok := t.state.VMs[s.To]
		if !ok || t.open[s.To] >= maxOpen {
			continue
		}
		t.open[s.To]++
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
	_ = t.mailbox.Send(ctx, called{to.Name, a})
}

// assign enters an operator's choice here, or passes it to the coordinator.
func (t *Task) assign(ctx context.Context, m asked, p Pin, now time.Time) []Send {
	sends, err := t.node.Pin(p, now)
	if err == nil {
		t.waiting = append(t.waiting, assignment{p, m.reply, now.Add(assignLimit)})
		return sends
	}
	to, live := t.node.Coordinator(now)
	vm, known := t.state.VMs[to]
	if m.from != t.self || !live || !known || to == t.self {
		m.reply.Answer(AssignAnswer{err})
		return nil
	}
	go t.passOn(ctx, vm, m, p)
	return nil
}

func (t *Task) passOn(ctx context.Context, to config.VM, m asked, p Pin) {
	limited, cancel := context.WithTimeout(ctx, assignLimit)
	defer cancel()
	a, err := t.transport.Call(limited, to, t.self, Assign{p})
	if err != nil {
		a = AssignAnswer{result.Wrap(result.CommitUnknown, err, "coordinator %s", to.Name)}
	}
	m.reply.Answer(a)
}
