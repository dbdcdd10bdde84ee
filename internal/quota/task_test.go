package quota

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
	"github.com/comfreynotch/comfreynotch/internal/task"
)

// terms is an Authority whose terms the test sets.
type terms struct{ coordinator, leader task.Snapshot[Term] }

func newTerms() terms {
	return terms{task.NewSnapshot(&Term{}), task.NewSnapshot(&Term{})}
}

func (t terms) Coordinator() Term { return *t.coordinator.Load() }
func (t terms) Leader() Term      { return *t.leader.Load() }

// directPeers connects tasks directly; draws from the unreachable daemon time
// out.
type directPeers struct {
	tasks       map[core.VM]*Task
	unreachable task.Snapshot[core.VM]
}

func (w directPeers) Draw(ctx context.Context, to config.VM, d Draw) (Answer, error) {
	if *w.unreachable.Load() == to.Name {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	return w.tasks[to.Name].Draw(ctx, d)
}

type noRegistry struct{}

func (noRegistry) Propose(context.Context, config.Command) (*config.State, error) {
	return nil, errors.New("no registry")
}

// startPair starts two daemons of one cell. Daemon a is coordinator and leader.
// The rate of workspace w is 10 requests per second with a burst of 5.
func startPair(t *testing.T, ctx context.Context) (map[core.VM]*Task, terms, directPeers) {
	t.Helper()
	state := config.NewState()
	state.Cells["c"] = config.Cell{Name: "c", Members: []core.VM{"a", "b"}}
	state.VMs["a"] = config.VM{Name: "a", Cell: "c"}
	state.VMs["b"] = config.VM{Name: "b", Cell: "c"}
	state.Workspaces["w"] = config.Workspace{Name: "w", Rate: 10, Burst: 5}
	authority := newTerms()
	authority.set("a", 1, time.Hour)
	w := directPeers{tasks: map[core.VM]*Task{}, unreachable: task.NewSnapshot(new(core.VM))}
	for _, vm := range []core.VM{"a", "b"} {
		q := NewTask(vm, "c", authority, w, noRegistry{})
		w.tasks[vm] = q
		go func() { _ = q.Serve(ctx) }()
		q.ConfigChanged(state)
	}
	return w.tasks, authority, w
}

func (t terms) set(holder core.VM, number uint64, length time.Duration) {
	term := Term{Holder: holder, Number: number, From: time.Now(), Until: time.Now().Add(length)}
	t.coordinator.Publish(&term)
	t.leader.Publish(&term)
}

// TestDaemonsShareOneRate checks that the rate limits all VMs together.
func TestDaemonsShareOneRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tasks, _, _ := startPair(t, ctx)
		admitted, start := 0, time.Now()
		for time.Since(start) < 10*time.Second {
			for _, q := range tasks {
				if q.Admit(ctx, "w") == nil {
					admitted++
				}
			}
		}
		is.True(admitted <= 10*10+5+5) // rate, burst, and one wait of 250 ms at each daemon
		is.True(admitted >= 10*10-5)
		cancel()
		synctest.Wait()
	})
	goleak.VerifyNone(t)
}

// TestRefusalCarriesRetryAfter checks that a request refused for its rate has
// not run and that the error has a RetryAfter.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tasks, _, _ := startPair(t, ctx)
		verdicts := make(chan error, 50)
		for range 50 {
			go func() { verdicts <- tasks["b"].Admit(ctx, "w") }()
		}
		refused := 0
		for range 50 {
			if e := result.From(<-verdicts); e != nil {
				refused++
				is.Equal(e.Code, result.RateExceeded)
				is.Equal(e.Ran, result.NotRun)
				is.True(e.RetryAfter > 0)
			}
		}
		is.True(refused > 30)
		is.Equal(result.CodeOf(tasks["b"].Admit(ctx, "nobody")), result.RateExceeded)
		cancel()
		synctest.Wait()
	})
}

// TestLowRateReturnsRateExceeded checks that requests of a workspace whose next
// token is seconds away are refused with RateExceeded, not CellUnreachable.
func TestLowRateReturnsRateExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tasks, _, _ := startPair(t, ctx)
		slow := config.NewState()
		slow.Cells["c"] = config.Cell{Name: "c", Members: []core.VM{"a", "b"}}
		slow.Workspaces["w"] = config.Workspace{Name: "w", Rate: 0.1, Burst: 1}
		tasks["a"].ConfigChanged(slow)
		for range 4 {
			err := tasks["a"].Admit(ctx, "w")
			is.Equal(result.CodeOf(err), result.RateExceeded)
			time.Sleep(10 * time.Millisecond)
		}
		cancel()
		synctest.Wait()
	})
}

// TestRequestWaitsForNewCoordinator checks that a request within its rate waits
// for the next coordinator instead of being refused.
func TestRequestWaitsForNewCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tasks, authority, w := startPair(t, ctx)
		time.Sleep(time.Second)
		lost := core.VM("a")
		w.unreachable.Publish(&lost)
		authority.set("a", 1, 0)
		verdict := make(chan error, 1)
		go func() { verdict <- tasks["b"].Admit(ctx, "w") }()
		time.Sleep(700 * time.Millisecond)
		authority.set("b", 2, time.Hour)
		is.NoErr(<-verdict)
		cancel()
		synctest.Wait()
	})
}

// TestExpiredTermRejectsDraws checks that a coordinator whose term has expired,
// for example because its process was paused, hands out no tokens.
func TestExpiredTermRejectsDraws(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tasks, authority, _ := startPair(t, ctx)
		draw := Draw{Level: CellLevel, Cell: "c", Wants: []Want{{"w", 1}}}
		authority.set("a", 1, 600*time.Millisecond)
		time.Sleep(500 * time.Millisecond)
		got, err := tasks["a"].Draw(ctx, draw)
		is.NoErr(err)
		is.Equal(got.Supplies[0].Tokens, 1)
		time.Sleep(200 * time.Millisecond)
		_, err = tasks["a"].Draw(ctx, draw)
		is.Equal(result.CodeOf(err), result.NotOwner)
		_, err = tasks["b"].Draw(ctx, draw)
		is.Equal(result.CodeOf(err), result.NotOwner)
		cancel()
		synctest.Wait()
	})
}

// BenchmarkAdmit measures one admission through the task.
func BenchmarkAdmit(b *testing.B) {
	ctx := b.Context()
	state := config.NewState()
	state.Cells["c"] = config.Cell{Name: "c", Members: []core.VM{"a"}}
	state.Workspaces["w"] = config.Workspace{Name: "w", Rate: 1e9, Burst: 1e9}
	authority := newTerms()
	authority.set("a", 1, time.Hour)
	q := NewTask("a", "c", authority, directPeers{}, noRegistry{})
	go func() { _ = q.Serve(ctx) }()
	q.ConfigChanged(state)
	b.ReportAllocs()
	for b.Loop() {
		if err := q.Admit(ctx, "w"); err != nil {
			b.Fatal(err)
		}
	}
}
