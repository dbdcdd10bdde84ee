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

// Heartbeat processes a target's heartbeat and returns what the target is to hold.
// The error is NotLeading if another VM leads.
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

// retire returns once the registry has durably stored, on a majority, that an
// incarnation of a target is draining. No later leader and no entry VM can then
// treat it as an active target.
func (t *Task) retire(ctx context.Context, id core.TargetID, incarnation core.Incarnation) error {
	if t.options.State().IsRetired(id, incarnation) {
		return nil
	}
	_, err := t.options.Propose(ctx, config.Command{Change: config.RetireTarget{Target: id, Life: incarnation}, At: time.Now()})
	return err
}

// Deregister deregisters a target.
func (t *Task) Deregister(ctx context.Context, id core.TargetID, incarnation core.Incarnation) error {
	answer, err := task.Ask(ctx, t.mailbox, func(r task.Reply[deregistrationAnswer]) message { return deregistration{id, incarnation, r} })
	if err != nil {
		return err
	}
	if answer.err != nil {
		return answer.err
	}
	return t.retire(ctx, id, answer.incarnation)
}

const (
	// maxHeartbeatDelay is how long a heartbeat waits for the leader lease to begin.
	// It is below ackWindow, after which the sender tries another VM, which takes
	// longer than waiting.
	maxHeartbeatDelay = 700 * time.Millisecond
	// maxDelayedHeartbeats limits the number of heartbeats that wait.
	maxDelayedHeartbeats = 2048
)

// delayedHeartbeat is a heartbeat that waits for the leader lease to begin.
type delayedHeartbeat struct {
	heartbeat
	until time.Time
}

// awaitsLease reports whether this VM leads the registry but doesn't hold the leader
// lease: the lease hasn't begun, or its renewal is overdue.
func (r *run) awaitsLease() bool {
	lease := r.options.Lease()
	return !lease.From.IsZero() && !lease.Live(clock.Now())
}

// answerDelayed answers waiting heartbeats once this VM holds the leader lease, no
// longer leads, or a heartbeat has waited for maxHeartbeatDelay. Load pattern: after
// a restart all targets send heartbeats at once, while the confirmations of a small
// VM are delayed.
func (r *run) answerDelayed(now time.Time) {
	waiting := r.awaitsLease()
	remaining := r.delayed[:0]
	for _, h := range r.delayed {
		if waiting && now.Before(h.until) {
			remaining = append(remaining, h)
			continue
		}
		h.reply.Answer(r.handleHeartbeat(h.Heartbeat))
	}
	clear(r.delayed[len(remaining):])
	r.delayed = remaining
}

func (r *run) handleHeartbeat(h Heartbeat) heartbeatAnswer {
	if !r.holdsLease() {
		return heartbeatAnswer{err: NotLeading{r.options.Lease().Leader}}
	}
	if !r.options.State().Catalog.KnowsService(h.Target.Service) {
		// Another writer may use the id of a target, whose keys would then get other owners.
		return heartbeatAnswer{err: result.New(result.BadRequest, "target %s names service %s, which is not configured", h.Target.ID, h.Target.Service)}
	}
	now := clock.Now()
	known := r.state.targets[h.Target.ID]
	if known == nil || known.Draining != h.Target.Draining || known.Incarnation != h.Target.Incarnation {
		r.options.Record("target", "target", h.Target.ID, "service", h.Target.Service, "address", h.Target.Address,
			"life", h.Target.Incarnation, "leaving", h.Target.Draining, "cold_ms", h.ColdFor.Milliseconds())
	}
	grant, ok := r.state.ApplyHeartbeat(h, r.options.State(), now)
	if !ok {
		return heartbeatAnswer{err: result.New(result.VersionConflict, "target %s sent a newer heartbeat", h.Target.ID)}
	}
	return heartbeatAnswer{grant: grant}
}
