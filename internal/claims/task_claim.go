package claims

import (
	"context"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// Acquire sends a claim to all members of its cell and returns as soon as their
// replies decide it.
func (t *Task) Acquire(ctx context.Context, s *config.State, c Claim) (Decision, *StoredAnswer) {
	cell, ok := Home(s, c.Key)
	if !ok {
		return Refuse, nil
	}
	ctx, cancel := context.WithTimeout(ctx, memberTimeout)
	defer cancel()
	replies := make(chan Reply, len(cell.Members))
	for _, vm := range cell.Members {
		go func() { replies <- t.requestVote(ctx, s, vm, c, cell.Epoch) }()
	}
	received := make([]Reply, 0, len(cell.Members))
	for range cell.Members {
		received = append(received, <-replies)
		all := len(received) == len(cell.Members)
		if d, answer := Decide(received, len(cell.Members), all); d != Undecided {
			return d, answer
		}
	}
	return Refuse, nil
}

// requestVote returns the reply of one member, or NoVote if the member does not
// reply.
func (t *Task) requestVote(ctx context.Context, s *config.State, vm core.VM, c Claim, epoch core.Epoch) Reply {
	var r Reply
	var err error
	if vm == t.self {
		r, err = t.Vote(ctx, c, epoch)
	} else {
		r, err = t.peers.Claim(ctx, s.VMs[vm], c, epoch)
	}
	if err != nil {
		return Reply{Member: vm, Verdict: NoVote}
	}
	r.Member = vm
	return r
}

// Settle reports to the members of the claim's cell whether its request has run.
// It does not wait for them: a member that misses the report keeps the claim
// until it expires.
func (t *Task) Settle(ctx context.Context, s *config.State, c Claim, ran bool, answer *StoredAnswer) {
	cell, _ := Home(s, c.Key)
	ctx = context.WithoutCancel(ctx)
	for _, vm := range cell.Members {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, settleTimeout)
			defer cancel()
			if vm == t.self {
				_ = t.RecordOutcome(ctx, c, ran, answer)
				return
			}
			_ = t.peers.Settle(ctx, s.VMs[vm], c, ran, answer)
		}()
	}
}
