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

// RegistryPathPrefix is the path prefix of RegistryHandler on the inner listener.
const RegistryPathPrefix = innerpb.RegistryPathPrefix

// Replica is this daemon's replica of the registry.
type Replica interface {
	Deliver(ctx context.Context, from raft.Member, messages []raft.Message) []raft.Message
	ProposeEncoded(ctx context.Context, command []byte) (core.Version, error)
	ProposeLocal(ctx context.Context, command []byte) (core.Version, error)
	AddVoter(ctx context.Context, vm core.VM, address string) error
	RemoveVoter(ctx context.Context, vm core.VM) error
	ChangeMemberLocal(ctx context.Context, change registry.MemberChange) error
	Status(ctx context.Context) (raft.Status, error)
}

// ConfigSource returns the configuration changes that follow a version.
type ConfigSource interface {
	Watch(ctx context.Context, q configsync.Request) (configsync.Answer, error)
}

type registryServer struct {
	self    core.VM
	replica Replica // nil if this daemon has no replica
	config  ConfigSource
}

// RegistryHandler serves the registry's members and the daemons that follow the
// configuration. replica is nil on a daemon without a replica.
func RegistryHandler(self core.VM, replica Replica, c ConfigSource) http.Handler {
	return innerpb.NewRegistryServer(registryServer{self, replica, c})
}

// Deliver passes raft messages to the replica and returns the messages that it
// sends in direct response.
func (s registryServer) Deliver(ctx context.Context, b *innerpb.RaftBatch) (*innerpb.RaftDelivered, error) {
	if s.replica == nil {
		return nil, s.noReplica()
	}
	if core.VM(b.GetTo()) != s.self {
		// A replica that lost its disk gets a new name at the same address. It must
		// not answer for the votes and log entries of its predecessor.
		return nil, resultToTwirp(result.New(result.NotFound, "messages are for replica %s, but this is replica %s", b.GetTo(), s.self))
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
	return resultToTwirp(result.New(result.NoLeader, "VM %s has no replica of the registry", s.self))
}

// Propose implements innerpb.Registry. It proposes a command to this replica or, if
// the request allows that, through the leader.
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

// ChangeMember implements innerpb.Registry. It does one step of a change of members,
// or the whole change.
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

// Members implements innerpb.Registry.
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

// Watch implements innerpb.Registry. It is a long poll: the answer waits for a newer
// version for up to the time that the request allows.
func (s registryServer) Watch(ctx context.Context, r *innerpb.WatchRequest) (*innerpb.WatchAnswer, error) {
	a, err := s.config.Watch(ctx, configsync.Request{
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

// Keys of the metadata of a twirp error that encode a result.
const (
	metaCode   = "code"
	metaRan    = "ran"
	metaDetail = "detail"
)

// resultToTwirp encodes a result as a twirp error.
func resultToTwirp(err error) error {
	e := result.From(err)
	return twirp.NewError(twirp.Unavailable, e.Error()).
		WithMeta(metaCode, strconv.Itoa(int(e.Code))).
		WithMeta(metaRan, strconv.Itoa(int(e.Ran))).
		WithMeta(metaDetail, e.Detail)
}

// resultFromTwirp decodes the result of resultToTwirp. Any other error means that
// the request or its answer was lost, so it is unknown whether the request had an
// effect.
func resultFromTwirp(err error) error {
	var twirpErr twirp.Error
	if !errors.As(err, &twirpErr) {
		return result.Wrap(result.CommitUnknown, err, "no answer from the other daemon")
	}
	code, codeErr := strconv.ParseUint(twirpErr.Meta(metaCode), 10, 16)
	ran, ranErr := strconv.ParseUint(twirpErr.Meta(metaRan), 10, 8)
	if codeErr != nil || ranErr != nil {
		return result.Wrap(result.CommitUnknown, err, "no answer from the other daemon")
	}
	e := result.New(result.Code(code), "%s", twirpErr.Meta(metaDetail))
	e.Ran = result.Ran(ran)
	return e
}
