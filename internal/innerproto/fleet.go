package innerproto

import (
	"context"
	"net/http"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/fleet"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/quota"
)

// FleetPathPrefix is the path prefix of FleetHandler on the inner listener.
const FleetPathPrefix = innerpb.FleetPathPrefix

// FleetService is the task on a control VM that answers the reports of entry VMs.
type FleetService interface {
	Poll(ctx context.Context, q fleet.PollRequest) (fleet.Update, error)
	Draw(ctx context.Context, wants []quota.Want, backup bool) ([]quota.Supply, error)
}

type fleetServer struct{ service FleetService }

// FleetHandler serves the calls of entry VMs.
func FleetHandler(s FleetService) http.Handler { return innerpb.NewFleetServer(fleetServer{s}) }

// Report implements innerpb.Fleet. It is a long poll: the answer waits for a change
// for up to the time that the report allows.
func (s fleetServer) Report(ctx context.Context, r *innerpb.FleetReport) (*innerpb.FleetNews, error) {
	q := fleet.PollRequest{
		Report: fleet.Report{VM: core.VM(r.GetVm()), NoShares: r.GetFresh()},
		Term:   r.GetTerm(), Sequence: r.GetSequence(), Hold: time.Duration(r.GetHoldMicros()) * time.Microsecond,
	}
	for _, d := range r.GetDemand() {
		q.Demand = append(q.Demand, fleet.Demand{Workspace: core.Workspace(d.GetWorkspace()), Rate: d.GetRate(), GrantedRate: d.GetHeld()})
	}
	for _, k := range r.GetHeat() {
		q.KeyLoads = append(q.KeyLoads, fleet.KeyLoad{Service: core.Service(k.GetService()), Key: k.GetKey(), Busy: float64(k.GetBusy())})
	}
	for _, v := range r.GetSpeeds() {
		q.ServiceTimes = append(q.ServiceTimes, fleet.TargetServiceTime{Target: core.TargetID(v.GetTarget()), Factor: float64(v.GetSpeed())})
	}
	for _, t := range r.GetLeaving() {
		q.Leaving = append(q.Leaving, fleet.LeavingTarget{Target: core.TargetID(t.GetTarget()), Incarnation: core.Incarnation(t.GetLife())})
	}
	n, err := s.service.Poll(ctx, q)
	if err != nil {
		return nil, resultToTwirp(err)
	}
	return newsToWire(n), nil
}

// Draw implements innerpb.Fleet.
func (s fleetServer) Draw(ctx context.Context, r *innerpb.FleetDraw) (*innerpb.FleetSupply, error) {
	supplies, err := s.service.Draw(ctx, wantsFromWire(r.GetWants()), r.GetBackup())
	if err != nil {
		return nil, resultToTwirp(err)
	}
	return &innerpb.FleetSupply{Supplies: suppliesToWire(supplies)}, nil
}

func newsToWire(n fleet.Update) *innerpb.FleetNews {
	w := &innerpb.FleetNews{
		Term: n.Term, Sequence: n.Sequence, Leader: string(n.Leader), Entries: uint32(n.EntryVMs), Place: uint32(n.Index),
	}
	for _, vm := range n.ControlVMs {
		w.Control = append(w.Control, string(vm))
	}
	for _, t := range n.Targets {
		w.Targets = append(w.Targets, &innerpb.FleetTarget{
			Id: string(t.ID), Life: uint64(t.Incarnation), Service: string(t.Service), Address: t.Address,
			DataCentre: string(t.DataCentre), Slots: uint32(t.Slots), Leaving: t.Draining, Gone: t.Gone,
			ColdMicros: uint64(t.ColdFor.Microseconds()), Granted: uint64(t.Granted),
			ColdAllowance: int32(t.ColdAllowance),
		})
	}
	for _, s := range n.Shares {
		w.Shares = append(w.Shares, &innerpb.WorkspaceShare{Workspace: string(s.Workspace), Rate: s.Rate, Burst: s.Burst})
	}
	return w
}

// FleetClient calls the FleetHandler of control VMs.
type FleetClient struct{ client *http.Client }

// NewFleetClient returns a client that sends through transport.
func NewFleetClient(transport http.RoundTripper) *FleetClient {
	return &FleetClient{&http.Client{Transport: stallTransport{transport}}}
}

// Poll sends a report to the control VM at an inner address and returns its answer.
func (c *FleetClient) Poll(ctx context.Context, address string, q fleet.PollRequest) (fleet.Update, error) {
	r := &innerpb.FleetReport{
		Vm: string(q.VM), Term: q.Term, Sequence: q.Sequence, HoldMicros: uint64(q.Hold.Microseconds()),
		Fresh: q.NoShares,
	}
	for _, d := range q.Demand {
		r.Demand = append(r.Demand, &innerpb.WorkspaceDemand{Workspace: string(d.Workspace), Rate: d.Rate, Held: d.GrantedRate})
	}
	for _, k := range q.KeyLoads {
		r.Heat = append(r.Heat, &innerpb.ShardHeat{Service: string(k.Service), Key: k.Key, Busy: float32(k.Busy)})
	}
	for _, v := range q.ServiceTimes {
		r.Speeds = append(r.Speeds, &innerpb.TargetSpeed{Target: string(v.Target), Speed: float32(v.Factor)})
	}
	for _, t := range q.Leaving {
		r.Leaving = append(r.Leaving, &innerpb.LeavingTarget{Target: string(t.Target), Life: uint64(t.Incarnation)})
	}
	ctx = withFirstByteTimeout(ctx, q.Hold+q.AnswerTimeout)
	w, err := innerpb.NewFleetProtobufClient("http://"+address, c.client).Report(ctx, r)
	if err != nil {
		return fleet.Update{}, resultFromTwirp(err)
	}
	return newsFromWire(w), nil
}

// Draw requests tokens from the control VM at an inner address.
func (c *FleetClient) Draw(ctx context.Context, address string, wants []quota.Want, backup bool) ([]quota.Supply, error) {
	w, err := innerpb.NewFleetProtobufClient("http://"+address, c.client).Draw(ctx, &innerpb.FleetDraw{Wants: wantsToWire(wants), Backup: backup})
	if err != nil {
		return nil, resultFromTwirp(err)
	}
	return suppliesFromWire(w.GetSupplies()), nil
}

func newsFromWire(w *innerpb.FleetNews) fleet.Update {
	n := fleet.Update{
		Term: w.GetTerm(), Sequence: w.GetSequence(), Leader: core.VM(w.GetLeader()),
		EntryVMs: int(w.GetEntries()), Index: int(w.GetPlace()),
	}
	for _, vm := range w.GetControl() {
		n.ControlVMs = append(n.ControlVMs, core.VM(vm))
	}
	for _, t := range w.GetTargets() {
		n.Targets = append(n.Targets, fleet.TargetState{
			Target: core.Target{
				ID: core.TargetID(t.GetId()), Incarnation: core.Incarnation(t.GetLife()), Service: core.Service(t.GetService()),
				Address: t.GetAddress(), DataCentre: core.DataCentre(t.GetDataCentre()), Slots: int(t.GetSlots()), Draining: t.GetLeaving(),
			},
			Gone: t.GetGone(), ColdFor: time.Duration(t.GetColdMicros()) * time.Microsecond, Granted: core.Version(t.GetGranted()),
			ColdAllowance: int(t.GetColdAllowance()),
		})
	}
	for _, s := range w.GetShares() {
		n.Shares = append(n.Shares, fleet.Share{Workspace: core.Workspace(s.GetWorkspace()), Rate: s.GetRate(), Burst: s.GetBurst()})
	}
	return n
}
