package innerproto

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/lease"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// CellMember is the task that answers the calls of the cell's other members.
type CellMember interface {
	Answer(ctx context.Context, from core.VM, c cell.Call) (cell.Answer, error)
}

// CellHandler serves calls of the cell's other members, below CellPathPrefix.
func CellHandler(m CellMember) http.Handler { return innerpb.NewCellMemberServer(cellServer{m}) }

// CellPathPrefix is the path prefix of CellHandler on the inner listener.
const CellPathPrefix = innerpb.CellMemberPathPrefix

type cellServer struct{ member CellMember }

// callMember passes a call to m. A is the type of the answer to that call.
func callMember[A cell.Answer](ctx context.Context, m CellMember, from string, c cell.Call) (A, error) {
	a, err := m.Answer(ctx, core.VM(from), c)
	if typed, ok := a.(A); ok && err == nil {
		return typed, nil
	}
	var none A
	if err == nil {
		err = errors.New("answer has a type that does not match the call")
	}
	return none, twirp.NewError(twirp.Unavailable, err.Error())
}

func (s cellServer) Prepare(ctx context.Context, r *innerpb.CellPrepare) (*innerpb.CellPromise, error) {
	a, err := callMember[cell.Promise](ctx, s.member, r.From, cell.Prepare{Prepare: lease.Prepare{
		Number: numberFromWire(r.Number), Holder: lease.Holder{VM: core.VM(r.Holder), Session: r.Session},
	}})
	if err != nil {
		return nil, err
	}
	return &innerpb.CellPromise{Number: numberToWire(a.Number), Ok: a.OK, Promised: numberToWire(a.Promised)}, nil
}

func (s cellServer) Heartbeat(ctx context.Context, r *innerpb.CellHeartbeat) (*innerpb.CellHeartbeatAnswer, error) {
	a, err := callMember[cell.HeartbeatAnswer](ctx, s.member, r.From, heartbeatFromWire(r))
	if err != nil {
		return nil, err
	}
	return &innerpb.CellHeartbeatAnswer{
		Number: numberToWire(a.Number), Seq: a.Seq, Ok: a.OK,
		Promised: numberToWire(a.Promised), Status: statusToWire(a.Status),
	}, nil
}

func (s cellServer) Report(ctx context.Context, r *innerpb.CellReport) (*innerpb.CellReportAnswer, error) {
	a, err := callMember[cell.ReportAnswer](ctx, s.member, r.From, cell.Report{Status: statusFromWire(r.Status)})
	if err != nil {
		return nil, err
	}
	return &innerpb.CellReportAnswer{NewsSeen: a.AckedVersion}, nil
}

func (s cellServer) Fetch(ctx context.Context, r *innerpb.CellFetch) (*innerpb.CellDelta, error) {
	a, err := callMember[cell.FetchAnswer](ctx, s.member, r.From, cell.Fetch{})
	if err != nil {
		return nil, err
	}
	return deltaToWire(a.Table), nil
}

func (s cellServer) Assign(ctx context.Context, r *innerpb.CellAssign) (*innerpb.CellAssignAnswer, error) {
	a, err := callMember[cell.AssignAnswer](ctx, s.member, r.From, cell.Assign{Pin: cell.Pin{
		Service: core.Service(r.Service), Shard: core.Shard(r.Shard), Key: r.Key, Hash: r.Hash,
		Target: core.TargetID(r.Target), Automatic: r.Automatic,
	}})
	if err != nil {
		return nil, err
	}
	if e := result.From(a.Err); e != nil {
		return &innerpb.CellAssignAnswer{Code: uint32(e.Code), Detail: e.Detail}, nil
	}
	return &innerpb.CellAssignAnswer{}, nil
}

// CellTransport sends calls to other members of the cell over pooled connections.
type CellTransport struct {
	client *http.Client
	scheme string
}

// NewCellTransport returns a transport that sends through client. If client is nil,
// it creates one with its own connection pool. scheme is http or https.
func NewCellTransport(client *http.Client, scheme string) *CellTransport {
	if client == nil {
		client = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, DisableCompression: true,
		}}
	}
	return &CellTransport{client: client, scheme: scheme}
}

// Call sends one call to a member and returns its answer.
func (t *CellTransport) Call(ctx context.Context, to config.VM, from core.VM, c cell.Call) (cell.Answer, error) {
	pb := innerpb.NewCellMemberProtobufClient(t.scheme+"://"+to.InnerAddress, t.client)
	switch c := c.(type) {
	case cell.Prepare:
		r, err := pb.Prepare(ctx, &innerpb.CellPrepare{
			From: string(from), Number: numberToWire(c.Number), Holder: string(c.Holder.VM), Session: c.Holder.Session,
		})
		return cell.Promise{Promise: lease.Promise{
			Number: numberFromWire(r.GetNumber()), OK: r.GetOk(), Promised: numberFromWire(r.GetPromised()),
		}}, err
	case cell.Heartbeat:
		r, err := pb.Heartbeat(ctx, heartbeatToWire(from, c))
		return cell.HeartbeatAnswer{
			Accept: lease.Accept{
				Number: numberFromWire(r.GetNumber()), Seq: r.GetSeq(), OK: r.GetOk(), Promised: numberFromWire(r.GetPromised()),
			},
			Status: statusFromWire(r.GetStatus()),
		}, err
	case cell.Report:
		r, err := pb.Report(ctx, &innerpb.CellReport{From: string(from), Status: statusToWire(c.Status)})
		return cell.ReportAnswer{AckedVersion: r.GetNewsSeen()}, err
	case cell.Fetch:
		r, err := pb.Fetch(ctx, &innerpb.CellFetch{From: string(from)})
		return cell.FetchAnswer{Table: deltaFromWire(r)}, err
	case cell.Assign:
		return t.assign(ctx, pb, from, c)
	default:
		return nil, errors.New("unknown type of cell call")
	}
}

func (t *CellTransport) assign(ctx context.Context, pb innerpb.CellMember, from core.VM, c cell.Assign) (cell.Answer, error) {
	r, err := pb.Assign(ctx, &innerpb.CellAssign{
		From: string(from), Service: string(c.Pin.Service), Shard: uint32(c.Pin.Shard),
		Key: c.Pin.Key, Hash: c.Pin.Hash, Target: string(c.Pin.Target), Automatic: c.Pin.Automatic,
	})
	if err != nil {
		return nil, err
	}
	if code := result.Code(r.GetCode()); code != result.OK {
		return cell.AssignAnswer{Err: result.New(code, "%s", r.GetDetail())}, nil
	}
	return cell.AssignAnswer{}, nil
}
