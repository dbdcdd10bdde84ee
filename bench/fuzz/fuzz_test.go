package fuzz

import (
	"testing"

	"github.com/go-kit/log"
	"github.com/matryer/is"
)

// seeds are the plans that CI carries out.
var seeds = []int{2, 5, 8}

// TestWholeSystem holds every promise of the oracles on a fixed set of plans.
// The command search looks through others.
func TestWholeSystem(t *testing.T) {
	for _, seed := range seeds {
		p := NewPlan(seed)
		t.Run(p.String(), func(t *testing.T) {
			h, err := Run(t.Context(), p, log.NewNopLogger())
			if err != nil {
				t.Fatal(err)
			}
			for _, broken := range Check(h) {
				t.Error(broken)
			}
		})
	}
}

// TestSeedReplaysPlan holds that a printed seed gives the same plan again.
func TestSeedReplaysPlan(t *testing.T) {
	is := is.New(t)
	is.Equal(NewPlan(42), NewPlan(42))
	is.True(NewPlan(42).String() != NewPlan(43).String())
}
