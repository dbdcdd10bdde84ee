package innerproto

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/comfreynotch/comfreynotch/internal/claims"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
)

// ClaimsPathPrefix is the path prefix of ClaimsHandler on the inner listener.
const ClaimsPathPrefix = innerpb.ClaimsPathPrefix

// ClaimsMember votes on and records the claims of idempotency keys in this VM's
// cell.
type ClaimsMember interface {
	Vote(ctx context.Context, c claims.Claim, epoch core.Epoch) (claims.Reply, error)
	RecordOutcome(ctx context.Context, c claims.Claim, ran bool, answer *claims.StoredAnswer) error
	Memory(ctx context.Context, to core.VM, boot claims.Boot, epoch core.Epoch) (claims.Memory, error)
}

type claimsServer struct{ member ClaimsMember }

// ClaimsHandler serves the claims of the cell's other members, below
// ClaimsPathPrefix.
func ClaimsHandler(m ClaimsMember) http.Handler { return innerpb.NewClaimsServer(claimsServer{m}) }

// Vote implements innerpb.Claims.
func (s claimsServer) Vote(ctx context.Context, r *innerpb.ClaimVoteRequest) (*innerpb.ClaimVoteAnswer, error) {
	got, err := s.member.Vote(ctx, claimFromWire(r.GetClaim()), core.Epoch(r.GetEpoch()))
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	answer := &innerpb.ClaimVoteAnswer{
		Verdict: uint32(got.Verdict), Boot: uint64(got.Boot),
		Synced: make(map[string]uint64, len(got.SyncedBy)), Answer: storedToWire(got.Answer),
	}
	for vm, boot := range got.SyncedBy {
		answer.Synced[string(vm)] = uint64(boot)
	}
	return answer, nil
}

// Settle implements innerpb.Claims.
func (s claimsServer) Settle(ctx context.Context, r *innerpb.ClaimSettleRequest) (*innerpb.ClaimSettleAnswer, error) {
	err := s.member.RecordOutcome(ctx, claimFromWire(r.GetClaim()), r.GetRan(), storedFromWire(r.GetAnswer()))
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return &innerpb.ClaimSettleAnswer{}, nil
}

// Memory implements innerpb.Claims.
func (s claimsServer) Memory(ctx context.Context, r *innerpb.ClaimMemoryRequest) (*innerpb.ClaimMemoryAnswer, error) {
	m, err := s.member.Memory(ctx, core.VM(r.GetVm()), claims.Boot(r.GetBoot()), core.Epoch(r.GetEpoch()))
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	answer := &innerpb.ClaimMemoryAnswer{Epoch: uint64(m.Epoch)}
	for _, name := range m.Complete {
		answer.Complete = append(answer.Complete, string(name))
	}
	for _, learned := range m.Claims {
		text := claimToWire(claims.Claim{Key: learned.Key, Request: learned.Request, Digest: learned.Digest, TTL: learned.Remaining})
		text.Done = learned.Done
		answer.Claims = append(answer.Claims, text)
	}
	return answer, nil
}

// ClaimsClient calls the ClaimsHandler of other daemons.
type ClaimsClient struct{ client *http.Client }

// NewClaimsClient returns a client that sends through c.
func NewClaimsClient(c *http.Client) *ClaimsClient { return &ClaimsClient{c} }

func (c *ClaimsClient) to(vm config.VM) innerpb.Claims {
	return innerpb.NewClaimsProtobufClient("http://"+vm.InnerAddress, c.client)
}

// Claim asks one member for its vote.
func (c *ClaimsClient) Claim(ctx context.Context, to config.VM, claim claims.Claim, epoch core.Epoch) (claims.Reply, error) {
	got, err := c.to(to).Vote(ctx, &innerpb.ClaimVoteRequest{Claim: claimToWire(claim), Epoch: uint64(epoch)})
	if err != nil {
		return claims.Reply{}, err
	}
	r := claims.Reply{
		Member: to.Name, Verdict: claims.Verdict(got.GetVerdict()), Boot: claims.Boot(got.GetBoot()),
		SyncedBy: make(map[core.VM]claims.Boot, len(got.GetSynced())), Answer: storedFromWire(got.GetAnswer()),
	}
	for vm, boot := range got.GetSynced() {
		r.SyncedBy[core.VM(vm)] = claims.Boot(boot)
	}
	return r, nil
}

// Settle reports to one member whether a claim's request ran, and its answer.
func (c *ClaimsClient) Settle(ctx context.Context, to config.VM, claim claims.Claim, ran bool, answer *claims.StoredAnswer) error {
	_, err := c.to(to).Settle(ctx, &innerpb.ClaimSettleRequest{
		Claim: claimToWire(claim), Ran: ran, Answer: storedToWire(answer),
	})
	return err
}

// Memory fetches all claims that one member holds.
func (c *ClaimsClient) Memory(ctx context.Context, to config.VM, self core.VM, boot claims.Boot, epoch core.Epoch) (claims.Memory, error) {
	got, err := c.to(to).Memory(ctx, &innerpb.ClaimMemoryRequest{Vm: string(self), Boot: uint64(boot), Epoch: uint64(epoch)})
	if err != nil {
		return claims.Memory{}, err
	}
	m := claims.Memory{Epoch: core.Epoch(got.GetEpoch())}
	for _, name := range got.GetComplete() {
		m.Complete = append(m.Complete, core.Service(name))
	}
	for _, wire := range got.GetClaims() {
		claim := claimFromWire(wire)
		m.Claims = append(m.Claims, claims.ClaimCopy{
			Key: claim.Key, Request: claim.Request, Digest: claim.Digest, Done: wire.GetDone(), Remaining: claim.TTL,
		})
	}
	return m, nil
}

func claimToWire(c claims.Claim) *innerpb.ClaimText {
	return &innerpb.ClaimText{
		Workspace: string(c.Key.Workspace), Service: string(c.Key.Service), Key: c.Key.Text,
		Request: string(c.Request), Digest: c.Digest, TtlMillis: c.TTL.Milliseconds(),
	}
}

func claimFromWire(t *innerpb.ClaimText) claims.Claim {
	return claims.Claim{
		Key: claims.Key{
			Workspace: core.Workspace(t.GetWorkspace()), Service: core.Service(t.GetService()), Text: t.GetKey(),
		},
		Request: core.RequestID(t.GetRequest()), Digest: t.GetDigest(),
		TTL: time.Duration(t.GetTtlMillis()) * time.Millisecond,
	}
}

func storedToWire(a *claims.StoredAnswer) *innerpb.StoredAnswer {
	if a == nil {
		return nil
	}
	w := &innerpb.StoredAnswer{Status: int32(a.Status), Body: a.Body}
	for name, values := range a.Header {
		w.Fields = append(w.Fields, &innerpb.StoredField{Name: name, Values: values})
	}
	return w
}

func storedFromWire(w *innerpb.StoredAnswer) *claims.StoredAnswer {
	if w == nil {
		return nil
	}
	a := &claims.StoredAnswer{Status: int(w.GetStatus()), Body: w.GetBody(), Header: map[string][]string{}}
	for _, f := range w.GetFields() {
		a.Header[f.GetName()] = f.GetValues()
	}
	return a
}
