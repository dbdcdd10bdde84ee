package registry

import (
	"errors"

	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// refusal turns a refusal of the raft core, after which nothing was appended,
// into a typed error: the change has not run.
func refusal(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, raft.ErrBacklog):
		return result.Wrap(result.Overloaded, err, "registry")
	case errors.Is(err, raft.ErrInvalidChange):
		return result.Wrap(result.InvalidChange, err, "registry members")
	default:
		return result.Wrap(result.NoLeader, err, "registry")
	}
}

// settle says what an outcome at the index of a proposal means to it. Another
// entry at its index proves that it was never committed and never will be.
func settle(proposed raft.Term, o outcome) (answer, error) {
	if o.term != proposed {
		return answer{}, result.New(result.NoLeader, "another leader's entry took index %d", o.index)
	}
	return answer{version: o.version}, o.err
}

// MemberStep is the next change on the way to a membership.
type MemberStep uint8

// The steps of a change of the registry's members.
const (
	StepNone       MemberStep = 0
	StepAddLearner MemberStep = 1
	StepPromote    MemberStep = 2
	StepRemove     MemberStep = 3
)

// MemberChange is one change of the registry's members.
type MemberChange struct {
	Step   MemberStep
	Member raft.Member
}

// nextStep returns the change that brings a VM closer to being a voter, or to
// being no member. It makes a resend continue where the first one stopped.
func nextStep(members raft.Members, vm raft.Member, voter bool) MemberChange {
	have, known := members.Find(vm.VM)
	switch {
	case voter && !known:
		return MemberChange{StepAddLearner, vm}
	case voter && have.Learner:
		return MemberChange{StepPromote, have}
	case !voter && known:
		return MemberChange{StepRemove, have}
	default:
		return MemberChange{}
	}
}

// propose asks the core for a change of the members.
func (m MemberChange) propose(core *raft.Core) (raft.Index, raft.Term, error) {
	switch m.Step {
	case StepAddLearner:
		return core.AddLearner(m.Member)
	case StepPromote:
		return core.Promote(m.Member.VM)
	case StepRemove:
		return core.Remove(m.Member.VM)
	default:
		return 0, 0, raft.ErrInvalidChange
	}
}
