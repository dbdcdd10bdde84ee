package fleet

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/clock"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// Heartbeat hands over what a target says and returns what it is to hold. The
// error is NotLeading where another VM must be asked.
func (t *Task) Heartbeat(ctx context.Context, h Heartbeat) (Grant, error) {
	a, err := task.Ask(ctx, t.mailbox, func(r task.Reply[heartbeatAnswer]) message { return heartbeat{h, r} })
	if err != nil {
		return Grant{}, err
	}
	if a.err == nil && h.Target.Draining {
		a.err = t.retire(ctx, h.Target.ID, h.Target.Incarnation)
	}
	return a.grant, a.err
}

// retire returns once it is durable on a majority that a target leaves, so that
// no later leader and no entry VM takes it for one that stays.
func (t *Task) retire(ctx context.Context, id core.TargetID, life core.Incarnation) error {
	if t.options.State().IsRetired(id, life) {
		return nil
	}
	_, err := t.options.Propose(ctx, config.Command{Change: config.RetireTarget{Target: id, Life: life}, At: time.Now()})
	return err
}

// Farewell hands over that a target ends.
func (t *Task) Farewell(ctx context.Context, id core.TargetID, life core.Incarnation) error {
	left, err := task.Ask(ctx, t.mailbox, func(r task.Reply[farewellAnswer]) message { return farewell{id, life, r} })
	if err != nil {
		return err
	}
	if left.err != nil {
		return left.err
	}
	return t.retire(ctx, id, left.life)
}

const (
	// maxHeldTime is how long a heartbeat waits for the tenure to be confirmed:
	// its sender asks another VM after ackWindow, which costs more.
	maxHeldTime = 700 * time.Millisecond
	// maxHeld bounds the heartbeats that wait.
	maxHeld = 2048
)

// held is a heartbeat that waits for the tenure to be confirmed.
type held struct {
	heartbeat
	until time.Time
}

// mayLeadSoon reports whether this VM leads the registry, but not yet for
// certain.
func (r *run) mayLeadSoon() bool {
	tenure := r.options.Tenure()
	return !tenure.From.IsZero() && !tenure.Live(clock.Now())
}

// answerHeld answers the heartbeats that waited, once the tenure is certain or
// they have waited for long enough. Load pattern: all targets report at once
// after a restart, while the confirmations of a small VM come late.
func (r *run) answerHeld(now time.Time) {
	waiting := r.mayLeadSoon()
	kept := r.held[:0]
	for _, h := range r.held {
		if waiting && now.Before(h.until) {
			kept = append(kept, h)
			continue
		}
		h.reply.Answer(r.heard(h.Heartbeat))
	}
	clear(r.held[len(kept):])
	r.held = kept
}

func (r *run) heard(h Heartbeat) heartbeatAnswer {
	if !r.leads() {
		return heartbeatAnswer{err: NotLeading{r.options.Tenure().Leader}}
	}
	now := clock.Now()
	known := r.book.targets[h.Target.ID]
	if known == nil || known.Draining != h.Target.Draining || known.Incarnation != h.Target.Incarnation {
		r.options.Record("target", "target", h.Target.ID, "service", h.Target.Service, "address", h.Target.Address,
			"life", h.Target.Incarnation, "leaving", h.Target.Draining, "cold_ms", h.ColdFor.Milliseconds())
	}
	grant, ok := r.book.Heard(h, r.options.State(), now)
	if !ok {
		return heartbeatAnswer{err: result.New(result.VersionConflict, "target %s sent a newer heartbeat", h.Target.ID)}
	}
	return heartbeatAnswer{grant: grant}
}
