// Package fuzz injects random faults into whole systems of daemons, fake targets
// and callers, and checks one oracle for each promise of the system. Decisions:
// plan.go, which generates a plan from a seed, and oracle.go. Edges: run.go,
// steps.go, operators.go and callers.go, which execute a plan on loopback.
package fuzz

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreynotch/comfreynotch/bench/faketarget"
)

// Fault is one kind of step.
type Fault uint8

// The faults. Planned ones are routine operations of operators and platforms,
// which must not fail any request that has begun to run.
const (
	StopVM                 Fault = iota // planned; restarted at the end of the step
	DrainTarget                         // planned; the drain is cancelled at the end
	DataCentreOut                       // planned; status in again at the end
	WithdrawKey                         // planned; a new key at the end
	RacingChanges                       // planned: two changes with the same expected version
	ResendChange                        // planned: one change is sent three times
	ManyChanges                         // planned: a hundred changes, then VM 0 stops and starts again
	lastPlanned                  = ManyChanges
	CrashVM                Fault = iota
	IsolateVM                    // holds all its traffic without closing connections
	StallVMConnections           // its open inner connections pass no more bytes, new ones work
	CrashTwice                   // crashes another VM when the first one has started again
	FreezeTarget                 // stops answering until the end of the step
	RestartTarget                // new incarnation, cold
	ColdTarget                   // becomes cold without a restart
	DisconnectTarget             // closes and refuses connections until the end of the step
	StallTargetConnections       // never answers again on its open connections, new ones work
	SpoilAnswers                 // delayed, of another request, truncated, duplicated, mislabeled or lost
	LieAboutLoad                 // reports no load while it answers slowly
	lastFault              = LieAboutLoad
)

var faultNames = []string{
	"stop vm", "leave target", "data centre out", "withdraw key", "racing changes", "resend change", "many changes", "",
	"crash vm", "isolate vm", "silence vm", "crash twice", "freeze target", "restart target", "cold target",
	"cut target", "silence target", "spoil answers", "lie about load",
}

// String returns the fault's name in printed plans.
func (f Fault) String() string { return faultNames[f] }

// Step is one fault, with its time since the start of the run.
type Step struct {
	At     time.Duration
	Length time.Duration // until it is undone
	Fault  Fault
	Victim int // index of a VM, target or data centre, modulo their number
	Kind   int // of spoiled answers
}

// Plan determines everything that a run does except the timing of the machine.
type Plan struct {
	Seed         int
	Planned      bool // only planned faults
	DataCentres  int
	VMsEach      int
	ChecksFence  bool
	ShedsCold    bool
	Steps        []Step
	Length       time.Duration
	PerSecond    float64 // calls of each workspace
	LimitedRate  float64 // of the workspace that sends too much
	LimitedBurst float64
}

// NewPlan generates the plan of a seed.
func NewPlan(seed int) Plan {
	p := planGenerator().Example(seed)
	p.Seed = seed
	return p
}

const (
	firstStep  = 1 * time.Second
	stepApart  = 2500 * time.Millisecond
	lengthUnit = 100 * time.Millisecond
)

func planGenerator() *rapid.Generator[Plan] {
	return rapid.Custom(func(t *rapid.T) Plan {
		p := Plan{
			Planned:      rapid.IntRange(0, 2).Draw(t, "planned") == 0,
			DataCentres:  rapid.IntRange(1, 3).Draw(t, "data centres"),
			VMsEach:      rapid.SampledFrom([]int{1, 3}).Draw(t, "vms each"),
			ChecksFence:  rapid.Bool().Draw(t, "checks fence"),
			ShedsCold:    rapid.Bool().Draw(t, "sheds cold"),
			PerSecond:    40,
			LimitedRate:  float64(rapid.IntRange(10, 30).Draw(t, "limited rate")),
			LimitedBurst: float64(rapid.IntRange(1, 20).Draw(t, "limited burst")),
		}
		last := lastFault
		if p.Planned {
			last = lastPlanned
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "steps") {
			p.Steps = append(p.Steps, drawStep(t, i, last))
		}
		end := p.Steps[len(p.Steps)-1]
		p.Length = end.At + end.Length + 2*time.Second
		return p
	})
}

func drawStep(t *rapid.T, i int, last Fault) Step {
	f := rapid.Custom(func(t *rapid.T) Fault {
		f := Fault(rapid.IntRange(0, int(last)).Draw(t, "fault"))
		if faultNames[f] == "" {
			return FreezeTarget
		}
		return f
	}).Draw(t, "step")
	length := time.Duration(rapid.IntRange(3, 20).Draw(t, "length")) * lengthUnit
	if f == DrainTarget || f == DataCentreOut || f == WithdrawKey {
		length = gracePeriod + 2*time.Second
	}
	return Step{
		At: firstStep + time.Duration(i)*stepApart, Length: length, Fault: f,
		Victim: rapid.IntRange(0, 1000).Draw(t, "victim"),
		Kind:   rapid.IntRange(int(faketarget.AnswerDelayed), int(faketarget.AnswerLost)).Draw(t, "kind"),
	}
}

// String returns the plan's parameters and one line for each step.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: planned %t, %d data centres of %d VMs, checks fence %t, sheds cold %t, limited %g/s burst %g\n",
		p.Seed, p.Planned, p.DataCentres, p.VMsEach, p.ChecksFence, p.ShedsCold, p.LimitedRate, p.LimitedBurst)
	for _, s := range p.Steps {
		fmt.Fprintf(&b, "  at %v for %v: %s, victim %d, kind %d\n", s.At, s.Length, s.Fault, s.Victim, s.Kind)
	}
	return b.String()
}
