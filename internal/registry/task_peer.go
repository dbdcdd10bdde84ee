package registry

import (
	"context"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

const (
	peerMailboxSize = 256
	maxSendBatch    = 64 // maximum number of messages in one call
	sendTimeout     = 500 * time.Millisecond
	snapshotTimeout = 10 * time.Second
)

// peer is the task that sends messages to one other member. Each member has its
// own, so that a member that hangs doesn't delay the others. Messages that cannot
// be sent in time are dropped; raft retransmits.
type peer struct {
	member         raft.Member
	transport      Transport
	mailbox        task.Mailbox[raft.Message]
	replicaMailbox task.Mailbox[message] // of the replica
	stop           context.CancelFunc
	done           chan struct{}
}

func startPeer(ctx context.Context, m raft.Member, t Transport, replica task.Mailbox[message]) *peer {
	ctx, cancel := context.WithCancel(ctx)
	p := &peer{
		member: m, transport: t, replicaMailbox: replica, stop: cancel, done: make(chan struct{}),
		mailbox: task.NewMailbox[raft.Message]("registry member "+string(m.VM), peerMailboxSize),
	}
	go func() {
		defer close(p.done)
		p.serve(ctx)
	}()
	return p
}

func (p *peer) serve(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-p.mailbox.C():
			p.send(ctx, p.collect(m))
		}
	}
}

// collect returns m and the messages queued behind it, up to maxSendBatch or until they
// hold maxAppendBytes of entries.
func (p *peer) collect(m raft.Message) []raft.Message {
	batch, size := []raft.Message{m}, entryBytes(m)
	for len(batch) < maxSendBatch && size < maxAppendBytes {
		select {
		case m = <-p.mailbox.C():
			batch, size = append(batch, m), size+entryBytes(m)
		default:
			return batch
		}
	}
	return batch
}

// entryBytes returns the size of the entries in m.
func entryBytes(m raft.Message) int {
	n := 0
	for _, e := range m.Entries {
		n += len(e.Data)
	}
	return n
}

func (p *peer) send(ctx context.Context, batch []raft.Message) {
	timeout := sendTimeout
	for _, m := range batch {
		if m.Type == raft.InstallSnapshot {
			timeout = snapshotTimeout
		}
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	answers, err := p.transport.Send(ctx, p.member, batch)
	if err == nil && len(answers) > 0 {
		_ = p.replicaMailbox.Post(inbound{from: p.member, messages: answers})
	}
}

// syncPeers starts a peer task for each new member and stops those of members
// that were removed or changed their address.
func (r *replica) syncPeers(ctx context.Context) {
	members := r.core.Members()
	if _, ok := members.Find(r.lastSender.VM); !ok && r.lastSender.VM != "" {
		members = append(slices.Clone(members), r.lastSender)
	}
	for vm, p := range r.peers {
		if m, ok := members.Find(vm); !ok || m.Address != p.member.Address {
			p.stop()
			delete(r.peers, vm)
		}
	}
	for _, m := range members {
		if m.VM != r.options.Self && r.peers[m.VM] == nil {
			r.peers[m.VM] = startPeer(ctx, m, r.options.Transport, r.mailbox)
		}
	}
}

// delivery is a call of Deliver that waits for the replies to its messages.
type delivery struct {
	from    core.VM
	answers []raft.Message
	reply   task.Reply[[]raft.Message]
}

func (r *replica) answerDeliveries() {
	for _, d := range r.deliveries {
		d.reply.Answer(d.answers)
	}
	r.deliveries = nil
}

// addToDelivery adds m to the answer of a waiting delivery from its destination
// and reports whether there is one. A snapshot is always sent in a call of its
// own, which has a longer timeout.
func (r *replica) addToDelivery(m raft.Message) bool {
	for _, d := range r.deliveries {
		if d.from == m.To && m.Type != raft.InstallSnapshot {
			d.answers = append(d.answers, m)
			return true
		}
	}
	return false
}

func (r *replica) send(messages []raft.Message) {
	for _, m := range messages {
		if r.addToDelivery(m) {
			continue
		}
		if p := r.peers[m.To]; p != nil {
			_ = p.mailbox.Post(m)
		}
	}
}

// sendAppends sends the messages that a leader may send before its own write is
// synced, and returns the others.
func (r *replica) sendAppends(messages []raft.Message) []raft.Message {
	var appends, rest []raft.Message
	for _, m := range messages {
		if m.Type == raft.Append {
			appends = append(appends, m)
		} else {
			rest = append(rest, m)
		}
	}
	r.send(appends)
	return rest
}

func (r *replica) stopPeers(cancel context.CancelFunc) {
	cancel()
	for _, p := range r.peers {
		<-p.done
	}
}
