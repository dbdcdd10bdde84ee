package fuzz

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// seeds are the seeds of the plans that CI executes.
var seeds = []int{2, 5, 8}

// TestWholeSystem checks every oracle on a fixed set of plans. The command
// search executes other plans.
func TestWholeSystem(t *testing.T) {
	for _, seed := range seeds {
		p := NewPlan(seed)
		t.Run(p.String(), func(t *testing.T) {
			history, err := Run(t.Context(), p, log.NewNopLogger())
			if err != nil {
				t.Fatal(err)
			}
			for _, broken := range Check(history) {
				t.Error(broken)
			}
		})
	}
}

// TestSeedReplaysPlan checks that a seed always gives the same plan.
func TestSeedReplaysPlan(t *testing.T) {
	is := is.New(t)
	is.Equal(NewPlan(42), NewPlan(42))
	is.True(NewPlan(42).String() != NewPlan(43).String())
}
