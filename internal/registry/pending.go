package registry

import (
	"errors"

	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// proposalError converts an error of the raft core to a result code of class "not
// run": the core appended nothing.
func proposalError(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, raft.ErrTooManyUncommitted):
		return result.Wrap(result.Overloaded, err, "proposal was refused")
	case errors.Is(err, raft.ErrInvalidChange):
		return result.Wrap(result.InvalidChange, err, "change of the registry's members was refused")
	default:
		return result.Wrap(result.NoLeader, err, "this replica cannot accept the proposal")
	}
}

// proposalAnswer returns the answer to a proposal made in term proposed, given the
// outcome of the entry committed at its index. An entry of another term there
// proves that the proposal was not and never will be committed.
func proposalAnswer(proposed raft.Term, o outcome) (answer, error) {
	if o.term != proposed {
		return answer{}, result.New(result.NoLeader, "index %d was committed with another leader's entry", o.index)
	}
	return answer{version: o.version}, o.err
}

// MemberStep is one step of making a VM a voter or removing it.
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

// nextStep returns the next change that is needed to make a VM a voter, or to
// remove it. It depends on the current members only, so that a repeated call
// continues where an earlier one stopped.
func nextStep(members raft.Members, vm raft.Member, voter bool) MemberChange {
	current, isMember := members.Find(vm.VM)
	switch {
	case voter && !isMember:
		return MemberChange{StepAddLearner, vm}
	case voter && current.Learner:
		return MemberChange{StepPromote, current}
	case !voter && isMember:
		return MemberChange{StepRemove, current}
	default:
		return MemberChange{}
	}
}

// propose proposes the change to the core.
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
