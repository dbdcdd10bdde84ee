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

// terms is an authority whose terms a test sets.
type terms struct{ coordinator, leader task.Snapshot[Term] }

func newTerms() terms {
	return terms{task.NewSnapshot(&Term{}), task.NewSnapshot(&Term{})}
}

func (t terms) Coordinator() Term { return *t.coordinator.Load() }
func (t terms) Leader() Term      { return *t.leader.Load() }

// wire connects tasks directly; a cut daemon cannot be asked.
type wire struct {
	tasks map[core.VM]*Task
	cut   task.Snapshot[core.VM]
}

func (w wire) Draw(ctx context.Context, to config.VM, d Draw) (Answer, error) {
	if *w.cut.Load() == to.Name {
		<-ctx.Done()
		return Answer{}, ctx.Err()
	}
	return w.tasks[to.Name].Draw(ctx, d)
}

type noRegistry struct{}

func (noRegistry) Propose(context.Context, config.Command) (*config.State, error) {
	return nil, errors.New("no registry")
}

// pair starts two daemons of one cell. Daemon a is coordinator and leader.
func pair(t *testing.T, ctx context.Context) (map[core.VM]*Task, terms, wire) {
	t.Helper()
	state := config.NewState()
	state.Cells["c"] = config.Cell{Name: "c", Members: []core.VM{"a", "b"}}
	state.VMs["a"] = config.VM{Name: "a", Cell: "c"}
	state.VMs["b"] = config.VM{Name: "b", Cell: "c"}
	state.Workspaces["w"] = config.Workspace{Name: "w", Rate: 10, Burst: 5}
	authority := newTerms()
	authority.set("a", 1, time.Hour)
	w := wire{tasks: map[core.VM]*Task{}, cut: task.NewSnapshot(new(core.VM))}
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

// TestDaemonsShareOneRate holds that the rate counts over all VMs together.
func TestDaemonsShareOneRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tasks, _, _ := pair(t, ctx)
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

// TestRefusalSaysWhenToComeBack holds that a refusal of the rate is "not run"
// and carries advice.
func TestRefusalSaysWhenToComeBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tasks, _, _ := pair(t, ctx)
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

// TestSlowRateIsNamed holds that a workspace whose next token is far off is told
// so, and not that its source is out of reach.
func TestSlowRateIsNamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tasks, _, _ := pair(t, ctx)
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

// TestRequestsOutlastALostCoordinator holds that a request inside its rate waits
// for the next coordinator instead of being refused.
func TestRequestsOutlastALostCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tasks, authority, w := pair(t, ctx)
		time.Sleep(time.Second)
		lost := core.VM("a")
		w.cut.Publish(&lost)
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

// TestEndedTermAnswersNoDraw holds that a coordinator whose lease ran out, such
// as a paused one, hands out nothing.
func TestEndedTermAnswersNoDraw(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		tasks, authority, _ := pair(t, ctx)
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

// BenchmarkAdmit measures one admission of a busy workspace through the task.
func BenchmarkAdmit(b *testing.B) {
	ctx := b.Context()
	state := config.NewState()
	state.Cells["c"] = config.Cell{Name: "c", Members: []core.VM{"a"}}
	state.Workspaces["w"] = config.Workspace{Name: "w", Rate: 1e9, Burst: 1e9}
	authority := newTerms()
	authority.set("a", 1, time.Hour)
	q := NewTask("a", "c", authority, wire{}, noRegistry{})
	go func() { _ = q.Serve(ctx) }()
	q.ConfigChanged(state)
	b.ReportAllocs()
	for b.Loop() {
		if err := q.Admit(ctx, "w"); err != nil {
			b.Fatal(err)
		}
	}
}
