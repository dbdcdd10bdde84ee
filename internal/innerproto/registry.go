package innerproto

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/comfreynotch/comfreynotch/internal/configsync"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/registry"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// RegistryPath is the path prefix of RegistryHandler on the inner listener.
const RegistryPath = innerpb.RegistryPathPrefix

// Replica is the registry's replica on this daemon.
type Replica interface {
	Deliver(ctx context.Context, from raft.Member, messages []raft.Message) []raft.Message
	ProposeEncoded(ctx context.Context, command []byte) (core.Version, error)
	ProposeLocal(ctx context.Context, command []byte) (core.Version, error)
	AddVoter(ctx context.Context, vm core.VM, address string) error
	RemoveVoter(ctx context.Context, vm core.VM) error
	ChangeMemberLocal(ctx context.Context, change registry.MemberChange) error
	Status(ctx context.Context) (raft.Status, error)
}

// Watched answers what is newer than a version.
type Watched interface {
	Watch(ctx context.Context, q configsync.Question) (configsync.Answer, error)
}

type registryServer struct {
	self    core.VM
	replica Replica // nil where the daemon has none
	watched Watched
}

// RegistryHandler serves registry members and daemons that follow the
// configuration. replica is nil on a daemon that does not vote.
func RegistryHandler(self core.VM, replica Replica, w Watched) http.Handler {
	return innerpb.NewRegistryServer(registryServer{self, replica, w})
}

// Deliver hands raft messages over and returns what they cause at once.
func (s registryServer) Deliver(ctx context.Context, b *innerpb.RaftBatch) (*innerpb.RaftDelivered, error) {
	if s.replica == nil {
		return nil, s.noReplica()
	}
	if core.VM(b.GetTo()) != s.self {
		// A replica that lost its disk has another name at the same address: it
		// must not answer for the votes and entries of the one before.
		return nil, resultToTwirp(result.New(result.NotFound, "replica %s is not here, %s is", b.GetTo(), s.self))
	}
	from := raft.Member{VM: core.VM(b.GetFrom()), Address: b.GetFromAddress()}
	messages := make([]raft.Message, len(b.GetMessages()))
	for i, m := range b.GetMessages() {
		messages[i] = raftFromWire(m, from.VM, s.self)
	}
	d := &innerpb.RaftDelivered{}
	for _, m := range s.replica.Deliver(ctx, from, messages) {
		d.Messages = append(d.Messages, raftToWire(m))
	}
	return d, nil
}

func (s registryServer) noReplica() error {
	return resultToTwirp(result.New(result.NoLeader, "VM %s holds no replica of the registry", s.self))
}

// Propose proposes a command, here or through the leader.
func (s registryServer) Propose(ctx context.Context, r *innerpb.ProposeRequest) (*innerpb.ProposeAnswer, error) {
	if s.replica == nil {
		return nil, s.noReplica()
	}
	propose := s.replica.ProposeEncoded
	if r.GetHere() {
		propose = s.replica.ProposeLocal
	}
	version, err := propose(ctx, r.GetCommand())
	if err != nil {
		return nil, resultToTwirp(err)
	}
	return &innerpb.ProposeAnswer{Version: uint64(version)}, nil
}

// ChangeMember changes the registry's members.
func (s registryServer) ChangeMember(ctx context.Context, r *innerpb.MemberChangeRequest) (*innerpb.MemberChangeAnswer, error) {
	if s.replica == nil {
		return nil, s.noReplica()
	}
	m := memberFromWire(r.GetMember())
	var err error
	switch {
	case r.GetStep() != uint32(registry.StepNone):
		err = s.replica.ChangeMemberLocal(ctx, registry.MemberChange{Step: registry.MemberStep(r.GetStep()), Member: m})
	case r.GetVoter():
		err = s.replica.AddVoter(ctx, m.VM, m.Address)
	default:
		err = s.replica.RemoveVoter(ctx, m.VM)
	}
	if err != nil {
		return nil, resultToTwirp(err)
	}
	return &innerpb.MemberChangeAnswer{}, nil
}

// Members says who the registry's members are.
func (s registryServer) Members(ctx context.Context, _ *innerpb.MembersRequest) (*innerpb.MembersAnswer, error) {
	if s.replica == nil {
		return nil, s.noReplica()
	}
	status, err := s.replica.Status(ctx)
	if err != nil {
		return nil, resultToTwirp(err)
	}
	return &innerpb.MembersAnswer{
		Leader: string(status.Leader), Term: uint64(status.Term), Commit: uint64(status.Commit),
		Members: membersToWire(status.Members),
	}, nil
}

// Watch answers a long poll.
func (s registryServer) Watch(ctx context.Context, r *innerpb.WatchRequest) (*innerpb.WatchAnswer, error) {
	a, err := s.watched.Watch(ctx, configsync.Question{
		Version: core.Version(r.GetVersion()), Hold: time.Duration(r.GetHoldMicros()) * time.Microsecond,
	})
	if err != nil {
		return nil, resultToTwirp(err)
	}
	w := &innerpb.WatchAnswer{
		Version: uint64(a.Version), Snapshot: a.Snapshot, AgeMicros: a.Age.Microseconds(), Proved: a.Proved,
		HeldMicros: a.Held.Microseconds(),
	}
	for _, c := range a.Commands {
		w.Commands = append(w.Commands, &innerpb.AcceptedCommand{Version: uint64(c.Version), Command: c.Command})
	}
	return w, nil
}

// The fields of a twirp error that carry a result.
const (
	metaCode   = "code"
	metaRan    = "ran"
	metaDetail = "detail"
)

func resultToTwirp(err error) error {
	e := result.From(err)
	return twirp.NewError(twirp.Unavailable, e.Error()).
		WithMeta(metaCode, strconv.Itoa(int(e.Code))).
		WithMeta(metaRan, strconv.Itoa(int(e.Ran))).
		WithMeta(metaDetail, e.Detail)
}

// resultFromTwirp returns the result that resultToTwirp encoded. Any other
// error means that the question was lost or its answer was.
func resultFromTwirp(err error) error {
	var te twirp.Error
	if !errors.As(err, &te) {
		return result.Wrap(result.CommitUnknown, err, "no answer from the other daemon")
	}
	code, codeErr := strconv.ParseUint(te.Meta(metaCode), 10, 16)
	ran, ranErr := strconv.ParseUint(te.Meta(metaRan), 10, 8)
	if codeErr != nil || ranErr != nil {
		return result.Wrap(result.CommitUnknown, err, "no answer from the other daemon")
	}
	e := result.New(result.Code(code), "%s", te.Meta(metaDetail))
	e.Ran = result.Ran(ran)
	return e
}
