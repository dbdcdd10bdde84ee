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

// TokenSource hands out rate limit tokens.
type TokenSource interface {
	Draw(ctx context.Context, d quota.Draw) (quota.Answer, error)
}

type quotaServer struct{ source TokenSource }

// QuotaHandler serves the draws of other daemons, below QuotaPathPrefix.
func QuotaHandler(s TokenSource) http.Handler { return innerpb.NewQuotaServer(quotaServer{s}) }

// QuotaPathPrefix is the path prefix of QuotaHandler on the inner listener.
const QuotaPathPrefix = innerpb.QuotaPathPrefix

// Draw implements innerpb.Quota.
func (s quotaServer) Draw(ctx context.Context, r *innerpb.DrawRequest) (*innerpb.DrawAnswer, error) {
	d := quota.Draw{
		Level:   quota.Level(r.GetLevel()),
		Cell:    core.Cell(r.GetCell()),
		Version: core.Version(r.GetConfigVersion()),
		Promise: quota.Promise{Stamp: stampFromWire(r.GetPromise()), Kept: quota.KeptFractions{}},
	}
	for _, k := range r.GetKeeps() {
		d.Promise.Kept[core.Workspace(k.GetWorkspace())] = k.GetPart()
	}
	d.Wants = wantsFromWire(r.GetWants())
	got, err := s.source.Draw(ctx, d)
	if err != nil {
		return nil, twirp.Unavailable.Error(err.Error())
	}
	return &innerpb.DrawAnswer{Stamp: stampToWire(got.Stamp), Supplies: suppliesToWire(got.Supplies)}, nil
}

func wantsToWire(wants []quota.Want) []*innerpb.TokenWant {
	var out []*innerpb.TokenWant
	for _, w := range wants {
		out = append(out, &innerpb.TokenWant{Workspace: string(w.Workspace), Tokens: uint32(w.Tokens)})
	}
	return out
}

func wantsFromWire(wants []*innerpb.TokenWant) []quota.Want {
	var out []quota.Want
	for _, w := range wants {
		out = append(out, quota.Want{Workspace: core.Workspace(w.GetWorkspace()), Tokens: int(w.GetTokens())})
	}
	return out
}

func suppliesToWire(supplies []quota.Supply) []*innerpb.TokenSupply {
	var out []*innerpb.TokenSupply
	for _, s := range supplies {
		out = append(out, &innerpb.TokenSupply{
			Workspace: string(s.Workspace), Tokens: uint32(s.Tokens),
			RetryAfterMicros: uint32(s.RetryAfter.Microseconds()),
		})
	}
	return out
}

func suppliesFromWire(supplies []*innerpb.TokenSupply) []quota.Supply {
	var out []quota.Supply
	for _, s := range supplies {
		out = append(out, quota.Supply{
			Workspace: core.Workspace(s.GetWorkspace()), Tokens: int(s.GetTokens()),
			RetryAfter: time.Duration(s.GetRetryAfterMicros()) * time.Microsecond,
		})
	}
	return out
}

// QuotaClient draws tokens from other daemons.
type QuotaClient struct{ client *http.Client }

// NewQuotaClient returns a client that sends through c.
func NewQuotaClient(c *http.Client) *QuotaClient { return &QuotaClient{c} }

// Draw requests tokens from the source of another daemon. It never retries, since
// tokens whose answer was lost count as spent.
func (c *QuotaClient) Draw(ctx context.Context, to config.VM, d quota.Draw) (quota.Answer, error) {
	r := &innerpb.DrawRequest{
		Level: uint32(d.Level), Cell: string(d.Cell), ConfigVersion: uint64(d.Version),
		Promise: stampToWire(d.Promise.Stamp), Wants: wantsToWire(d.Wants),
	}
	for w, part := range d.Promise.Kept {
		r.Keeps = append(r.Keeps, &innerpb.KeptFloor{Workspace: string(w), Part: part})
	}
	answer, err := innerpb.NewQuotaProtobufClient("http://"+to.InnerAddress, c.client).Draw(ctx, r)
	if err != nil {
		return quota.Answer{}, err
	}
	return quota.Answer{Stamp: stampFromWire(answer.GetStamp()), Supplies: suppliesFromWire(answer.GetSupplies())}, nil
}

// stampToWire returns nil for the zero stamp.
func stampToWire(s quota.Stamp) *innerpb.SourceStamp {
	if s == (quota.Stamp{}) {
		return nil
	}
	return &innerpb.SourceStamp{Term: s.Term, SinceMicros: uint64(s.Since.Microseconds())}
}

func stampFromWire(s *innerpb.SourceStamp) quota.Stamp {
	return quota.Stamp{Term: s.GetTerm(), Since: time.Duration(s.GetSinceMicros()) * time.Microsecond}
}
