// Package fuzz drives whole systems of daemons, stand-ins and callers through
// random faults and holds one oracle for each promise. Decisions: plan.go, which
// makes a plan of a seed, and the oracle files. Edges: run.go, steps.go and
// callers.go, which carry a plan out on loopback.
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

// The faults. Planned ones are operators' and platforms' ordinary work, after
// which no request may fail that has begun.
const (
	StopVM        Fault = iota // planned; restarted at the end of the step
	LeaveTarget                // planned; stays again at the end
	DataCentreOut              // planned; in again at the end
	WithdrawKey                // planned; a new key at the end
	RacingChanges              // planned: two operators with one expected version
	ResendChange               // planned: one change three times
	ManyChanges                // planned: a hundred changes, then a voter restarts
	lastPlanned         = ManyChanges
	CrashVM       Fault = iota
	IsolateVM           // no byte reaches it, in silence
	SilenceVM           // its open inner connections go silent for good
	CrashTwice          // a second VM right after the first is back
	FreezeTarget        // and thaw
	RestartTarget       // cold
	ColdTarget          // falls cold without warning
	CutTarget           // and heal
	SilenceTarget       // its open connections go silent for good
	SpoilAnswers        // late, crossed, cut, doubled, mislabeled or lost
	LieAboutLoad        // and straggle
	lastFault     = LieAboutLoad
)

var faultNames = []string{
	"stop vm", "leave target", "data centre out", "withdraw key", "racing changes", "resend change", "many changes", "",
	"crash vm", "isolate vm", "silence vm", "crash twice", "freeze target", "restart target", "cold target",
	"cut target", "silence target", "spoil answers", "lie about load",
}

// String names the fault in plans.
func (f Fault) String() string { return faultNames[f] }

// Step is one fault with its time.
type Step struct {
	At     time.Duration
	Length time.Duration // until it is undone
	Fault  Fault
	Victim int // index of a VM, target or data centre, modulo their number
	Kind   int // of spoiled answers
}

// Plan is everything that a run does, but for the machine's timing.
type Plan struct {
	Seed         int
	Planned      bool // only planned steps
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

// NewPlan returns the plan of a seed.
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
	if f == LeaveTarget || f == DataCentreOut || f == WithdrawKey {
		length = graceTime + 2*time.Second
	}
	return Step{
		At: firstStep + time.Duration(i)*stepApart, Length: length, Fault: f,
		Victim: rapid.IntRange(0, 1000).Draw(t, "victim"),
		Kind:   rapid.IntRange(int(faketarget.AnswerDelayed), int(faketarget.AnswerLost)).Draw(t, "kind"),
	}
}

// String shows the plan in one line a step.
func (p Plan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: planned %t, %d data centres of %d VMs, checks fence %t, sheds cold %t, limited %g/s burst %g\n",
		p.Seed, p.Planned, p.DataCentres, p.VMsEach, p.ChecksFence, p.ShedsCold, p.LimitedRate, p.LimitedBurst)
	for _, s := range p.Steps {
		fmt.Fprintf(&b, "  at %v for %v: %s, victim %d, kind %d\n", s.At, s.Length, s.Fault, s.Victim, s.Kind)
	}
	return b.String()
}
