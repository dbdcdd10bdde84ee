package innerproto

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/quota"
)

// Source answers draws of tokens.
type Source interface {
	Draw(ctx context.Context, d quota.Draw) (quota.Answer, error)
}

type quotaServer struct{ source Source }

// QuotaHandler serves the draws of other daemons, below QuotaPathPrefix.
func QuotaHandler(s Source) http.Handler { return innerpb.NewQuotaServer(quotaServer{s}) }

// QuotaPathPrefix is the path below which QuotaHandler serves.
const QuotaPathPrefix = innerpb.QuotaPathPrefix

// Draw implements innerpb.Quota.
func (s quotaServer) Draw(ctx context.Context, r *innerpb.DrawRequest) (*innerpb.DrawAnswer, error) {
	d := quota.Draw{
		Level:   quota.Level(r.GetLevel()),
		Cell:    core.Cell(r.GetCell()),
		Version: core.Version(r.GetConfigVersion()),
		Promise: quota.Promise{Stamp: stampFromWire(r.GetPromise()), Keeps: quota.Keeps{}},
	}
	for _, k := range r.GetKeeps() {
		d.Promise.Keeps[core.Workspace(k.GetWorkspace())] = k.GetPart()
	}
	for _, w := range r.GetWants() {
		d.Wants = append(d.Wants, quota.Want{Workspace: core.Workspace(w.GetWorkspace()), Tokens: int(w.GetTokens())})
	}
	got, err := s.source.Draw(ctx, d)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	answer := &innerpb.DrawAnswer{Stamp: stampToWire(got.Stamp)}
	for _, s := range got.Supplies {
		answer.Supplies = append(answer.Supplies, &innerpb.TokenSupply{
			Workspace: string(s.Workspace), Tokens: uint32(s.Tokens),
			RetryAfterMicros: uint32(s.RetryAfter.Microseconds()),
		})
	}
	return answer, nil
}

// QuotaClient draws tokens from other daemons.
type QuotaClient struct{ client *http.Client }

// NewQuotaClient returns a client that sends through c.
func NewQuotaClient(c *http.Client) *QuotaClient { return &QuotaClient{c} }

// Draw asks the source at a daemon. It is sent once.
func (c *QuotaClient) Draw(ctx context.Context, to config.VM, d quota.Draw) (quota.Answer, error) {
	r := &innerpb.DrawRequest{
		Level: uint32(d.Level), Cell: string(d.Cell), ConfigVersion: uint64(d.Version),
		Promise: stampToWire(d.Promise.Stamp),
	}
	for w, part := range d.Promise.Keeps {
		r.Keeps = append(r.Keeps, &innerpb.KeptFloor{Workspace: string(w), Part: part})
	}
	for _, w := range d.Wants {
		r.Wants = append(r.Wants, &innerpb.TokenWant{Workspace: string(w.Workspace), Tokens: uint32(w.Tokens)})
	}
	answer, err := innerpb.NewQuotaProtobufClient("http://"+to.InnerAddress, c.client).Draw(ctx, r)
	if err != nil {
		return quota.Answer{}, err
	}
	drawn := quota.Answer{Stamp: stampFromWire(answer.GetStamp())}
	for _, got := range answer.GetSupplies() {
		drawn.Supplies = append(drawn.Supplies, quota.Supply{
			Workspace: core.Workspace(got.GetWorkspace()), Tokens: int(got.GetTokens()),
			RetryAfter: time.Duration(got.GetRetryAfterMicros()) * time.Microsecond,
		})
	}
	return drawn, nil
}

// stampToWire returns nil for no stamp.
func stampToWire(s quota.Stamp) *innerpb.SourceStamp {
	if s == (quota.Stamp{}) {
		return nil
	}
	return &innerpb.SourceStamp{Term: s.Term, SinceMicros: uint64(s.Since.Microseconds())}
}

func stampFromWire(s *innerpb.SourceStamp) quota.Stamp {
	return quota.Stamp{Term: s.GetTerm(), Since: time.Duration(s.GetSinceMicros()) * time.Microsecond}
}
