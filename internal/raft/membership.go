package raft

import (
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// maxLag is how many entries a learner may lack when it is promoted.
const maxLag = 64

// AddLearner lets a VM receive the log without counting in majorities.
func (c *Core) AddLearner(m Member) (Index, Term, error) {
	m.Learner = true
	if _, ok := c.log.members().Find(m.VM); ok || m.VM == "" {
		return 0, 0, ErrInvalidChange
	}
	return c.changeMembers(append(slices.Clone(c.log.members()), m))
}

// Promote makes a learner that has caught up a voter.
func (c *Core) Promote(vm core.VM) (Index, Term, error) {
	next := slices.Clone(c.log.members())
	i := slices.IndexFunc(next, func(m Member) bool { return m.VM == vm })
	if i < 0 || !next[i].Learner {
		return 0, 0, ErrInvalidChange
	}
	if c.role == Leader && c.matchOf(vm)+maxLag < c.log.last() {
		return 0, 0, ErrNotCaughtUp
	}
	next[i].Learner = false
	return c.changeMembers(next)
}

// Remove takes a member out. The last voter stays.
func (c *Core) Remove(vm core.VM) (Index, Term, error) {
	next := slices.DeleteFunc(slices.Clone(c.log.members()), func(m Member) bool { return m.VM == vm })
	if len(next) == len(c.log.members()) || len(next.Voters()) == 0 {
		return 0, 0, ErrInvalidChange
	}
	return c.changeMembers(next)
}

// changeMembers appends a set of replicas that differs by one member. Any
// majorities of the two sets share a voter, as long as the set before is
// committed and the leader has committed an entry of its own term.
func (c *Core) changeMembers(next Members) (Index, Term, error) {
	if err := c.mayAppend(); err != nil {
		return 0, 0, err
	}
	if c.log.membersIndex() > c.commit || !c.log.matches(c.commit, c.term) {
		return 0, 0, ErrChangePending
	}
	c.appendOwn(Entry{Kind: EntryMembers, Members: next.Sorted()})
	return c.log.last(), c.term, nil
}
