package claims

import (
	"context"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	mailboxSize   = 4096
	syncPeriod    = 300 * time.Millisecond // between attempts to copy missing claims
	memberTimeout = 500 * time.Millisecond // for the votes of the members
	settleTimeout = 2 * time.Second        // to report an outcome, or to copy a member's claims
)

// Peers sends requests to other members.
type Peers interface {
	Claim(ctx context.Context, to config.VM, c Claim, epoch core.Epoch) (Reply, error)
	Settle(ctx context.Context, to config.VM, c Claim, ran bool, answer *StoredAnswer) error
	Memory(ctx context.Context, to config.VM, self core.VM, boot Boot, epoch core.Epoch) (Memory, error)
}

type message interface{ isMessage() }

type voteRequest struct {
	claim Claim
	epoch core.Epoch
	reply task.Reply[Reply]
}

type outcomeReport struct {
	claim  Claim
	ran    bool
	answer *StoredAnswer
}

type memoryRequest struct {
	to    core.VM
	boot  Boot
	epoch core.Epoch
	reply task.Reply[Memory]
}

type memoryReceived struct {
	from   core.VM
	memory Memory
}

type configChanged struct{ state *config.State }

func (voteRequest) isMessage()    {}
func (outcomeReport) isMessage()  {}
func (memoryRequest) isMessage()  {}
func (memoryReceived) isMessage() {}
func (configChanged) isMessage()  {}

// Task owns this VM's Member and copies missing claims from other members.
type Task struct {
	self    core.VM
	boot    Boot
	peers   Peers
	mailbox task.Mailbox[message]
	member  *Member
	state   *config.State
}

// NewTask returns the task of VM self, which starts now without claims.
func NewTask(self core.VM, peers Peers) *Task {
	now := time.Now()
	boot := Boot(now.UnixNano())
	return &Task{
		self: self, boot: boot, peers: peers,
		mailbox: task.NewMailbox[message]("claims", mailboxSize),
		member:  NewMember(self, boot, now),
		state:   config.NewState(),
	}
}

// ConfigChanged passes the current configuration to the task.
func (t *Task) ConfigChanged(s *config.State) {
	_ = t.mailbox.Send(context.Background(), configChanged{s})
}

// Vote returns this member's vote on a claim.
func (t *Task) Vote(ctx context.Context, c Claim, epoch core.Epoch) (Reply, error) {
	return task.Ask(ctx, t.mailbox, func(r task.Reply[Reply]) message { return voteRequest{c, epoch, r} })
}

// RecordOutcome records whether a claim's request has run or provably has not.
func (t *Task) RecordOutcome(ctx context.Context, c Claim, ran bool, answer *StoredAnswer) error {
	return t.mailbox.Send(ctx, outcomeReport{c, ran, answer})
}

// Memory returns a copy of this member's claims for another member.
func (t *Task) Memory(ctx context.Context, to core.VM, boot Boot, epoch core.Epoch) (Memory, error) {
	return task.Ask(ctx, t.mailbox, func(r task.Reply[Memory]) message { return memoryRequest{to, boot, epoch, r} })
}

// Serve runs the task until ctx ends.
func (t *Task) Serve(ctx context.Context) error {
	timer := time.NewTimer(syncPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-t.mailbox.C():
			t.handle(m, time.Now())
			if _, ok := m.(configChanged); ok {
				timer.Reset(syncPeriod)
			}
		case now := <-timer.C:
			if t.fetchMissing(ctx, now) {
				timer.Reset(syncPeriod)
			}
		}
	}
}

func (t *Task) handle(m message, now time.Time) {
	switch m := m.(type) {
	case voteRequest:
		m.reply.Answer(t.member.Claim(m.claim, m.epoch, now))
	case outcomeReport:
		if m.ran {
			t.member.Finish(m.claim, m.answer, now)
		} else {
			t.member.Withdraw(m.claim)
		}
	case memoryRequest:
		m.reply.Answer(t.member.CopyFor(m.to, m.boot, m.epoch, now))
	case memoryReceived:
		t.member.AddCopy(m.from, m.memory, now)
	case configChanged:
		t.state = m.state
		t.member.Configure(m.state, now)
	}
}

// fetchMissing requests the other members' claims if this member may be missing
// some. It reports whether that is so.
func (t *Task) fetchMissing(ctx context.Context, now time.Time) bool {
	sources := t.member.CopySources(now)
	epoch := t.member.Epoch()
	for _, vm := range sources {
		to, ok := t.state.VMs[vm]
		if !ok {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, settleTimeout)
			defer cancel()
			if memory, err := t.peers.Memory(ctx, to, t.self, t.boot, epoch); err == nil {
				_ = t.mailbox.Send(ctx, memoryReceived{vm, memory})
			}
		}()
	}
	return len(sources) > 0
}
