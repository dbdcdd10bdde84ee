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
	Draw(ctx context.Context, d quota.Draw) ([]quota.Supply, error)
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
	}
	for _, w := range r.GetWants() {
		d.Wants = append(d.Wants, quota.Want{Workspace: core.Workspace(w.GetWorkspace()), Tokens: int(w.GetTokens())})
	}
	supplies, err := s.source.Draw(ctx, d)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	answer := &innerpb.DrawAnswer{}
	for _, got := range supplies {
		answer.Supplies = append(answer.Supplies, &innerpb.TokenSupply{
			Workspace: string(got.Workspace), Tokens: uint32(got.Tokens),
			RetryAfterMicros: uint32(got.RetryAfter.Microseconds()),
		})
	}
	return answer, nil
}

// QuotaClient draws tokens from other daemons.
type QuotaClient struct{ client *http.Client }

// NewQuotaClient returns a client that sends through c.
func NewQuotaClient(c *http.Client) *QuotaClient { return &QuotaClient{c} }

// Draw asks the source at a daemon. It is sent once.
func (c *QuotaClient) Draw(ctx context.Context, to config.VM, d quota.Draw) ([]quota.Supply, error) {
	r := &innerpb.DrawRequest{
		Level: uint32(d.Level), Cell: string(d.Cell), ConfigVersion: uint64(d.Version),
	}
	for _, w := range d.Wants {
		r.Wants = append(r.Wants, &innerpb.TokenWant{Workspace: string(w.Workspace), Tokens: uint32(w.Tokens)})
	}
	answer, err := innerpb.NewQuotaProtobufClient("http://"+to.InnerAddress, c.client).Draw(ctx, r)
	if err != nil {
		return nil, err
	}
	var supplies []quota.Supply
	for _, got := range answer.GetSupplies() {
		supplies = append(supplies, quota.Supply{
			Workspace: core.Workspace(got.GetWorkspace()), Tokens: int(got.GetTokens()),
			RetryAfter: time.Duration(got.GetRetryAfterMicros()) * time.Microsecond,
		})
	}
	return supplies, nil
}
