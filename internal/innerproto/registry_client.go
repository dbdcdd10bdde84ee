package innerproto

import (
	"context"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/registry"
)

// RegistryClient calls the RegistryHandler of other daemons.
type RegistryClient struct {
	self   raft.Member
	client *http.Client
}

var (
	_ registry.Transport = (*RegistryClient)(nil)
	_ configsync.Client  = (*RegistryClient)(nil)
)

// NewRegistryClient returns a client that sends through transport. self identifies
// this daemon to the others.
func NewRegistryClient(self raft.Member, transport http.RoundTripper) *RegistryClient {
	return &RegistryClient{self: self, client: &http.Client{Transport: stallTransport{transport}}}
}

func (c *RegistryClient) to(address string) innerpb.Registry {
	return innerpb.NewRegistryProtobufClient("http://"+address, c.client)
}

// Send implements registry.Transport.
func (c *RegistryClient) Send(ctx context.Context, to raft.Member, messages []raft.Message) ([]raft.Message, error) {
	b := &innerpb.RaftBatch{From: string(c.self.VM), FromAddress: c.self.Address, To: string(to.VM)}
	for _, m := range messages {
		b.Messages = append(b.Messages, raftToWire(m))
	}
	d, err := c.to(to.Address).Deliver(ctx, b)
	if err != nil {
		return nil, err
	}
	answers := make([]raft.Message, len(d.GetMessages()))
	for i, m := range d.GetMessages() {
		answers[i] = raftFromWire(m, to.VM, c.self.VM)
	}
	return answers, nil
}

// Propose implements registry.Transport.
func (c *RegistryClient) Propose(ctx context.Context, to raft.Member, command []byte) (core.Version, error) {
	return c.propose(ctx, to.Address, &innerpb.ProposeRequest{Command: command, Here: true})
}

// ProposeAt implements configsync.Client.
func (c *RegistryClient) ProposeAt(ctx context.Context, address string, command []byte) (core.Version, error) {
	return c.propose(ctx, address, &innerpb.ProposeRequest{Command: command})
}

func (c *RegistryClient) propose(ctx context.Context, address string, r *innerpb.ProposeRequest) (core.Version, error) {
	a, err := c.to(address).Propose(ctx, r)
	if err != nil {
		return 0, resultFromTwirp(err)
	}
	return core.Version(a.GetVersion()), nil
}

// ChangeMember implements registry.Transport.
func (c *RegistryClient) ChangeMember(ctx context.Context, to raft.Member, change registry.MemberChange) error {
	return c.changeMember(ctx, to.Address, &innerpb.MemberChangeRequest{
		Step: uint32(change.Step), Member: memberToWire(change.Member),
	})
}

// ChangeVoter asks the voter at address to make m a voter or, if voter is false, to
// remove m from the registry's members.
func (c *RegistryClient) ChangeVoter(ctx context.Context, address string, m raft.Member, voter bool) error {
	return c.changeMember(ctx, address, &innerpb.MemberChangeRequest{Member: memberToWire(m), Voter: voter})
}

func (c *RegistryClient) changeMember(ctx context.Context, address string, r *innerpb.MemberChangeRequest) error {
	if _, err := c.to(address).ChangeMember(ctx, r); err != nil {
		return resultFromTwirp(err)
	}
	return nil
}

// Members fetches the registry's members and leader from the voter at address.
func (c *RegistryClient) Members(ctx context.Context, address string) (raft.Status, error) {
	a, err := c.to(address).Members(ctx, &innerpb.MembersRequest{})
	if err != nil {
		return raft.Status{}, resultFromTwirp(err)
	}
	return raft.Status{
		Leader: core.VM(a.GetLeader()), Term: raft.Term(a.GetTerm()), Commit: raft.Index(a.GetCommit()),
		Members: membersFromWire(a.GetMembers()),
	}, nil
}

// Watch implements configsync.Client.
func (c *RegistryClient) Watch(ctx context.Context, address string, q configsync.Request) (configsync.Answer, error) {
	ctx = withFirstByteTimeout(ctx, q.Hold+q.AnswerTimeout)
	w, err := c.to(address).Watch(ctx, &innerpb.WatchRequest{
		Version: uint64(q.Version), HoldMicros: q.Hold.Microseconds(),
	})
	if err != nil {
		return configsync.Answer{}, resultFromTwirp(err)
	}
	a := configsync.Answer{
		Version: core.Version(w.GetVersion()), Snapshot: w.GetSnapshot(),
		Age: time.Duration(w.GetAgeMicros()) * time.Microsecond, Proved: w.GetProved(),
		Held: time.Duration(w.GetHeldMicros()) * time.Microsecond,
	}
	for _, command := range w.GetCommands() {
		a.Commands = append(a.Commands, configsync.AcceptedCommand{
			Version: core.Version(command.GetVersion()), Command: command.GetCommand(),
		})
	}
	return a, nil
}
