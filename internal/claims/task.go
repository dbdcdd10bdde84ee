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
	syncPeriod    = 300 * time.Millisecond // between attempts to fetch lost memory
	memberTimeout = 500 * time.Millisecond // for the answer of another member
	settleTimeout = 2 * time.Second
)

// Peers asks other members.
type Peers interface {
	Claim(ctx context.Context, to config.VM, c Claim, epoch core.Epoch) (Reply, error)
	Settle(ctx context.Context, to config.VM, c Claim, ran bool, answer *Stored) error
	Memory(ctx context.Context, to config.VM, self core.VM, boot Boot, epoch core.Epoch) (Memory, error)
}

type message interface{ isMessage() }

type claimAsked struct {
	claim Claim
	epoch core.Epoch
	reply task.Reply[Reply]
}

type settled struct {
	claim  Claim
	ran    bool
	answer *Stored
}

type memoryAsked struct {
	to    core.VM
	boot  Boot
	epoch core.Epoch
	reply task.Reply[Memory]
}

type memoryHeard struct {
	from   core.VM
	memory Memory
}

type configChanged struct{ state *config.State }

func (claimAsked) isMessage()    {}
func (settled) isMessage()       {}
func (memoryAsked) isMessage()   {}
func (memoryHeard) isMessage()   {}
func (configChanged) isMessage() {}

// Task owns this VM's part in the claims of its cell.
type Task struct {
	self    core.VM
	boot    Boot
	peers   Peers
	mailbox task.Mailbox[message]
	member  *Member
	state   *config.State
}

// NewTask returns the task of VM self, which starts now with an empty memory.
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

// ConfigChanged delivers the state in force.
func (t *Task) ConfigChanged(s *config.State) {
	_ = t.mailbox.Send(context.Background(), configChanged{s})
}

// Vote answers a claim as this member.
func (t *Task) Vote(ctx context.Context, c Claim, epoch core.Epoch) (Reply, error) {
	return task.Ask(ctx, t.mailbox, func(r task.Reply[Reply]) message { return claimAsked{c, epoch, r} })
}

// Settled records what became of a claim's request: it has run, or it provably
// has not.
func (t *Task) Settled(ctx context.Context, c Claim, ran bool, answer *Stored) error {
	return t.mailbox.Send(ctx, settled{c, ran, answer})
}

// Memory returns this member's memory to another one.
func (t *Task) Memory(ctx context.Context, to core.VM, boot Boot, epoch core.Epoch) (Memory, error) {
	return task.Ask(ctx, t.mailbox, func(r task.Reply[Memory]) message { return memoryAsked{to, boot, epoch, r} })
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
			if t.fetch(ctx, now) {
				timer.Reset(syncPeriod)
			}
		}
	}
}

func (t *Task) handle(m message, now time.Time) {
	switch m := m.(type) {
	case claimAsked:
		m.reply.Answer(t.member.Claim(m.claim, m.epoch, now))
	case settled:
		if m.ran {
			t.member.Finish(m.claim, m.answer, now)
		} else {
			t.member.Withdraw(m.claim)
		}
	case memoryAsked:
		m.reply.Answer(t.member.Tell(m.to, m.boot, m.epoch, now))
	case memoryHeard:
		t.member.Hear(m.from, m.memory, now)
	case configChanged:
		t.state = m.state
		t.member.Configure(m.state, now)
	}
}

// fetch asks the other members for what this one has lost. It reports whether
// anything is missing.
func (t *Task) fetch(ctx context.Context, now time.Time) bool {
	missing := t.member.Missing(now)
	epoch := t.member.Epoch()
	for _, vm := range missing {
		to, ok := t.state.VMs[vm]
		if !ok {
			continue
		}
		go func() {
			ctx, cancel := context.WithTimeout(ctx, settleTimeout)
			defer cancel()
			if memory, err := t.peers.Memory(ctx, to, t.self, t.boot, epoch); err == nil {
				_ = t.mailbox.Send(ctx, memoryHeard{vm, memory})
			}
		}()
	}
	return len(missing) > 0
}
