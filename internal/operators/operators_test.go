package operators

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/comfreynotch/comfreynotch/api/operatorspb"
	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/health"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/routing"
	"github.com/comfreynotch/comfreynotch/internal/timeline"
)

// fakeRegistry applies commands in the order of the calls.
type fakeRegistry struct{ state *config.State }

func (f *fakeRegistry) Current() *config.State { return f.state }

func (f *fakeRegistry) Propose(_ context.Context, c config.Command) (*config.State, error) {
	next, err := f.state.Apply(c)
	f.state = next
	return next, err
}

type fakeCell struct{ table *cell.Table }

func (f *fakeCell) Table() *cell.Table   { return f.table }
func (f *fakeCell) Coordinator() core.VM { return "vm-1" }

// fakePeers holds the events of other daemons; a VM that is absent cannot be reached.
type fakePeers map[core.VM][]timeline.Event

func (f fakePeers) Fetch(_ context.Context, vm config.VM, q timeline.Query) ([]timeline.Event, error) {
	events, ok := f[vm.Name]
	if !ok {
		return nil, errors.New("connection refused")
	}
	var found []timeline.Event
	for _, e := range events {
		if q.Matches(e) {
			found = append(found, e)
		}
	}
	return found, nil
}

func (f fakePeers) Events(ctx context.Context, q timeline.Query) ([]timeline.Event, error) {
	return f.Fetch(ctx, config.VM{Name: "vm-1"}, q)
}

// fakeVoters records the calls in their order.
type fakeVoters struct {
	calls []string
	err   error
}

func (f *fakeVoters) AddVoter(_ context.Context, vm config.VM) error {
	f.calls = append(f.calls, "add "+string(vm.Name))
	return f.err
}

func (f *fakeVoters) RemoveVoter(_ context.Context, vm core.VM) error {
	f.calls = append(f.calls, "remove "+string(vm))
	return nil
}

func (f *fakeVoters) Status(context.Context) (RegistryStatus, error) {
	return RegistryStatus{Leader: "vm-1", Term: 2, Voters: []core.VM{"vm-1"}}, nil
}

type fixture struct {
	server   *Server
	registry *fakeRegistry
	cell     *fakeCell
	peers    fakePeers
	voters   *fakeVoters
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		registry: &fakeRegistry{state: config.NewState()}, cell: &fakeCell{table: cell.NewTable("padana-a")},
		peers: fakePeers{"vm-1": nil}, voters: &fakeVoters{},
	}
	f.server = NewServer(Components{
		Registry: f.registry, Cell: f.cell, Recorder: f.peers, Peers: f.peers, Voters: f.voters,
		View: func() health.View {
			return health.View{Self: "vm-1", State: f.registry.state, Table: f.cell.table}
		},
	})
	ctx := t.Context()
	_, err := f.server.PutDataCentre(ctx, &operatorspb.PutDataCentreRequest{
		DataCentre: &operatorspb.DataCentre{Name: "padana-a", Region: "lombardia", Status: "in"},
	})
	must(t, err)
	_, err = f.server.PutCell(ctx, &operatorspb.PutCellRequest{Cell: &operatorspb.Cell{
		Name: "padana-a", DataCentre: "padana-a", Members: []*operatorspb.VM{
			{Name: "vm-1", InnerAddress: "127.0.0.1:1"}, {Name: "vm-2", InnerAddress: "127.0.0.1:2"}, {Name: "vm-3", InnerAddress: "127.0.0.1:3"},
		},
	}})
	must(t, err)
	_, err = f.server.PutWorkspace(ctx, &operatorspb.PutWorkspaceRequest{Workspace: &operatorspb.Workspace{Name: "lab", Rate: 1, Burst: 1}})
	must(t, err)
	_, err = f.server.PutService(ctx, &operatorspb.PutServiceRequest{Service: &operatorspb.Service{Name: "archivio", Keyed: true, Shards: 8}})
	must(t, err)
	return f
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestInvalidChangesNameTheField checks that a request with an invalid value
// changes nothing and that the error names the field.
func TestInvalidChangesNameTheField(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	s, ctx, before := f.server, t.Context(), f.registry.state
	service := func(v *operatorspb.Service) error {
		_, err := s.PutService(ctx, &operatorspb.PutServiceRequest{Service: v})
		return err
	}
	workspace := func(w *operatorspb.Workspace) error {
		_, err := s.PutWorkspace(ctx, &operatorspb.PutWorkspaceRequest{Workspace: w})
		return err
	}
	cellOf := func(members ...*operatorspb.VM) error {
		_, err := s.PutCell(ctx, &operatorspb.PutCellRequest{Cell: &operatorspb.Cell{Name: "c", DataCentre: "padana-a", Members: members}})
		return err
	}
	vm := &operatorspb.VM{Name: "v", InnerAddress: "127.0.0.1:1"}
	_, status := s.SetDataCentreStatus(ctx, &operatorspb.SetDataCentreStatusRequest{Name: "padana-a", Status: "away"})
	_, hash := s.CreateCallerKey(ctx, &operatorspb.CreateCallerKeyRequest{Id: "k", Workspace: "lab", SecretSha256: []byte("short")})
	_, drain := s.DrainTarget(ctx, &operatorspb.DrainTargetRequest{})
	_, limit := s.GetEvents(ctx, &operatorspb.GetEventsRequest{Limit: -1})
	for field, err := range map[string]error{
		"service.name":               service(&operatorspb.Service{Name: "a b"}),
		"service.shards":             service(&operatorspb.Service{Name: "a", Keyed: true}),
		"service.deadline_ms":        service(&operatorspb.Service{Name: "a", DeadlineMs: -1}),
		"service.max_body_bytes":     service(&operatorspb.Service{Name: "a", MaxBodyBytes: maxBytes + 1}),
		"workspace.name":             workspace(&operatorspb.Workspace{}),
		"workspace.rate":             workspace(&operatorspb.Workspace{Name: "a", Rate: -1}),
		"workspace.burst":            workspace(&operatorspb.Workspace{Name: "a", Burst: maxRate * 2}),
		"cell.members":               cellOf(vm, vm),
		"cell.members.inner_address": cellOf(&operatorspb.VM{Name: "v", InnerAddress: "here"}),
		"status":                     status,
		"secret_sha256":              hash,
		"limit":                      limit,
		"target":                     drain,
	} {
		var call *CallError
		is.True(errors.As(FromTwirp(err), &call))
		is.Equal(call.Code, result.InvalidChange)
		is.True(strings.Contains(call.Message, "field "+field+":"))
	}
	is.Equal(f.registry.state, before)
}

// TestRetriedKeyCreationIsIdempotent checks that a client which lost the
// answer can retry: one caller key is stored, and the secret that the client
// generated authenticates its workspace.
func TestRetriedKeyCreationIsIdempotent(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	hash := config.HashSecret("s1")
	r := &operatorspb.CreateCallerKeyRequest{
		Change: &operatorspb.Change{RequestId: "r1"}, Id: "k1", Workspace: "lab", SecretSha256: hash[:],
	}
	first, err := f.server.CreateCallerKey(t.Context(), r)
	is.NoErr(err)
	second, err := f.server.CreateCallerKey(t.Context(), r)
	is.NoErr(err)
	is.Equal(first.GetVersion(), second.GetVersion())
	is.Equal(len(f.registry.state.CallerKeys), 1)
	workspace, ok := f.registry.state.Authenticate("s1")
	is.True(ok)
	is.Equal(workspace, core.Workspace("lab"))
}

// TestStaleVersionIsRefused checks that of two changes which expect the same
// version the second fails with a version conflict, also if it is not part of
// the configuration.
func TestStaleVersionIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	change := &operatorspb.Change{ExpectedVersion: uint64(f.registry.state.Version)}
	put := &operatorspb.PutWorkspaceRequest{Change: change, Workspace: &operatorspb.Workspace{Name: "w"}}
	_, err := f.server.PutWorkspace(t.Context(), put)
	is.NoErr(err)
	_, err = f.server.PutWorkspace(t.Context(), put)
	is.Equal(codeOf(err), result.VersionConflict)
	_, err = f.server.RemoveVoter(t.Context(), &operatorspb.RemoveVoterRequest{Change: change, Name: "vm-2"})
	is.Equal(codeOf(err), result.VersionConflict)
	is.Equal(f.voters.calls, nil)
}

func codeOf(err error) result.Code {
	var call *CallError
	if !errors.As(FromTwirp(err), &call) {
		return result.OK
	}
	return call.Code
}

// TestReplacementVoterIsAddedFirst checks that a replacement never leaves the
// registry with fewer voters, also if adding the new one fails.
func TestReplacementVoterIsAddedFirst(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	r := &operatorspb.ReplaceVoterRequest{Old: "vm-1", Vm: &operatorspb.VM{Name: "vm-9", InnerAddress: "127.0.0.1:9"}}
	_, err := f.server.ReplaceVoter(t.Context(), r)
	is.NoErr(err)
	is.Equal(f.voters.calls, []string{"add vm-9", "remove vm-1"})
	f.voters.calls, f.voters.err = nil, result.New(result.NoLeader, "no leader")
	_, err = f.server.ReplaceVoter(t.Context(), r)
	is.Equal(codeOf(err), result.NoLeader)
	is.Equal(f.voters.calls, []string{"add vm-9"})
}

// TestMissingComponentIsUnsupported checks that a call whose component is nil
// fails with Unsupported.
func TestMissingComponentIsUnsupported(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	_, err := f.server.Assign(t.Context(), &operatorspb.AssignRequest{Service: "archivio", Target: "t1"})
	is.Equal(codeOf(err), result.Unsupported)
	_, err = f.server.PinKey(t.Context(), &operatorspb.PinKeyRequest{Service: "archivio", Key: "k", Target: "t1"})
	is.Equal(codeOf(err), result.Unsupported)
	_, err = f.server.ListHotKeys(t.Context(), &operatorspb.ListHotKeysRequest{Service: "archivio"})
	is.Equal(codeOf(err), result.Unsupported)
}

// TestExplainReturnsOwnerAndHistory checks that Explain returns the owner,
// fence, dispatcher and start of ownership, the history over all daemons, and
// the daemons that could not be reached. The second part repeats it for a daemon
// of another cell.
func TestExplainReturnsOwnerAndHistory(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	shard := routing.Shard("batch-7", 8)
	fence := core.Fence{Epoch: 1, Ballot: 2, Counter: 3}
	f.cell.table.Targets["t2"] = cell.TargetEntry{Target: core.Target{ID: "t2", Service: "archivio"}, Dispatcher: "vm-2"}
	f.cell.table.Shards["archivio"] = make([]cell.Assignment, 8)
	f.cell.table.Shards["archivio"][shard] = cell.Assignment{Target: "t2", Fence: fence}
	event := func(vm core.VM, at int64, kind timeline.Kind, target core.TargetID) timeline.Event { // every event has the same cause
		return timeline.Event{
			VM: vm, Stamp: timeline.Stamp{Micros: at}, Kind: kind, Service: "archivio",
			Shards: timeline.NewShardSet(shard), Target: target, Cause: "target t1#1",
		}
	}
	f.peers["vm-1"] = []timeline.Event{event("vm-1", 10, timeline.ShardGranted, "t2"), event("vm-1", 30, timeline.ShardGranted, "t2")}
	f.peers["vm-2"] = []timeline.Event{
		event("vm-2", 20, timeline.ShardReleased, "t1"),
		{VM: "vm-2", Kind: timeline.TargetJoined, Target: "t1", Ref: "target t1#1"},
		{VM: "vm-2", Kind: timeline.ShardGranted, Service: "archivio", Shards: timeline.NewShardSet((shard + 1) % 8)},
	}
	x, err := f.server.Explain(t.Context(), &operatorspb.ExplainRequest{Service: "archivio", Key: "batch-7"})
	is.NoErr(err)
	is.Equal([]string{x.Target, x.Fence, x.Dispatcher, x.HomeCell}, []string{"t2", "1.2.3", "vm-2", "padana-a"})
	is.Equal(x.SinceMicros, int64(30))
	is.Equal(strings.Count(strings.Join(x.Reasons, "\n"), "it was granted"), 1) // only the newest grant
	is.Equal(len(x.History), 4)
	is.Equal(x.History[0].Kind, string(timeline.TargetJoined)) // the cause; the query by key alone does not match it
	is.Equal(x.History[2].Kind, string(timeline.ShardReleased))
	is.Equal(x.Unreachable[0].Vm, "vm-3")

	table := f.cell.table
	f.cell.table = cell.NewTable("padana-b") // move this daemon to another cell
	f.server.components.Tables = HomeCellClient{Self: "vm-1", Registry: f.registry, Transport: &fakeTransport{table: table}}
	x, err = f.server.Explain(t.Context(), &operatorspb.ExplainRequest{Service: "archivio", Key: "batch-7"})
	is.NoErr(err)
	is.Equal([]string{x.Target, x.Fence, x.Dispatcher, x.HomeCell}, []string{"t2", "1.2.3", "vm-2", "padana-a"})
}

// TestUnauthenticatedCallsAreRefused checks that a call without a valid token
// is refused before it reaches the server.
func TestUnauthenticatedCallsAreRefused(t *testing.T) {
	is := is.New(t)
	reached := 0
	next := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { reached++ })
	statusOf := func(p Policy, authorization string) int {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set("Authorization", authorization)
		w := httptest.NewRecorder()
		Authenticate(p, next).ServeHTTP(w, r)
		return w.Code
	}
	tokens := Policy{Tokens: []TokenHash{HashToken("old"), HashToken("new")}}
	is.Equal(statusOf(tokens, "Bearer old"), http.StatusOK)
	is.Equal(statusOf(tokens, "Bearer new"), http.StatusOK)
	is.Equal(reached, 2)
	for _, authorization := range []string{"", "Bearer ", "Bearer other", "old", "Basic old"} {
		is.Equal(statusOf(tokens, authorization), http.StatusUnauthorized)
	}
	is.Equal(statusOf(Policy{}, "Bearer "), http.StatusUnauthorized)
	is.Equal(statusOf(Policy{Certificates: true}, ""), http.StatusUnauthorized) // no verified chain
	is.Equal(reached, 2)
}

// TestTokenIsCreatedOnce checks that the first call returns a token and
// stores only its hash, and that later calls return none.
func TestTokenIsCreatedOnce(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "data", "tokens")
	token, err := CreateTokenFile(path)
	is.NoErr(err)
	is.True(len(token) >= 26)
	hashes, err := ReadTokenHashes(path)
	is.NoErr(err)
	is.Equal(hashes, []TokenHash{HashToken(token)})
	again, err := CreateTokenFile(path)
	is.NoErr(err)
	is.Equal(again, "")
}

// fakeTransport answers Assign and Fetch for the members of another cell.
type fakeTransport struct {
	answers map[core.VM]error
	called  []core.VM
	table   *cell.Table
}

func (f *fakeTransport) Call(_ context.Context, to config.VM, _ core.VM, c cell.Call) (cell.Answer, error) {
	if _, ok := c.(cell.Fetch); ok {
		return cell.FetchAnswer{Table: cell.Diff(nil, f.table)}, nil
	}
	f.called = append(f.called, to.Name)
	return cell.AssignAnswer{Err: f.answers[to.Name]}, nil
}

type fakeLocalCell struct {
	*fakeCell
	pins []cell.Pin
}

func (f *fakeLocalCell) Assign(_ context.Context, p cell.Pin) error {
	f.pins = append(f.pins, p)
	return nil
}

// TestAssignmentsReachTheHomeCell checks that an assignment goes to the
// coordinator of the shard's home cell, whichever daemon receives the call, and
// that an unknown target is refused.
func TestAssignmentsReachTheHomeCell(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	local := &fakeLocalCell{fakeCell: f.cell}
	transport := &fakeTransport{answers: map[core.VM]error{"vm-1": result.New(result.NoLeader, "not the coordinator")}}
	f.server.components.Assigner = HomeCellClient{Self: "vm-1", Registry: f.registry, Local: local, Transport: transport}
	assign := func() result.Code {
		_, err := f.server.Assign(t.Context(), &operatorspb.AssignRequest{Service: "archivio", Key: "batch-7", Target: "t1"})
		return codeOf(err)
	}
	is.Equal(assign(), result.NotFound)
	f.cell.table.Targets["t1"] = cell.TargetEntry{Target: core.Target{ID: "t1", Service: "archivio"}}
	is.Equal(assign(), result.OK)
	is.Equal(local.pins, []cell.Pin{{Service: "archivio", Shard: routing.Shard("batch-7", 8), Target: "t1"}})
	f.cell.table = cell.NewTable("padana-b") // move this daemon to another cell
	is.Equal(assign(), result.OK)
	is.Equal(transport.called, []core.VM{"vm-1", "vm-2"}) // the second is the coordinator
}
