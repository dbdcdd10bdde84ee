package raft

import (
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

// maxPromotionLag is the maximum number of entries that a learner may lack when
// it is promoted.
const maxPromotionLag = 64

// AddLearner adds a VM as a learner, which receives the log but does not vote.
func (c *Core) AddLearner(m Member) (Index, Term, error) {
	m.Learner = true
	if _, ok := c.log.members().Find(m.VM); ok || m.VM == "" {
		return 0, 0, ErrInvalidChange
	}
	return c.changeMembers(append(slices.Clone(c.log.members()), m))
}

// Promote turns a learner that has caught up with the log into a voter.
func (c *Core) Promote(vm core.VM) (Index, Term, error) {
	next := slices.Clone(c.log.members())
	i := slices.IndexFunc(next, func(m Member) bool { return m.VM == vm })
	if i < 0 || !next[i].Learner {
		return 0, 0, ErrInvalidChange
	}
	if c.role == Leader && c.matchOf(vm)+maxPromotionLag < c.log.last() {
		return 0, 0, ErrNotCaughtUp
	}
	next[i].Learner = false
	return c.changeMembers(next)
}

// Remove removes a member. The last voter cannot be removed.
func (c *Core) Remove(vm core.VM) (Index, Term, error) {
	next := slices.DeleteFunc(slices.Clone(c.log.members()), func(m Member) bool { return m.VM == vm })
	if len(next) == len(c.log.members()) || len(next.Voters()) == 0 {
		return 0, 0, ErrInvalidChange
	}
	return c.changeMembers(next)
}

// changeMembers appends a set of replicas that differs from the current one by
// one member. Any majority of the old set and any majority of the new one then
// share a voter, provided that the old set is committed and the leader has
// committed an entry of its own term.
func (c *Core) changeMembers(next Members) (Index, Term, error) {
	if err := c.checkCanAppend(); err != nil {
		return 0, 0, err
	}
	if c.log.membersIndex() > c.commit || !c.log.matches(c.commit, c.term) {
		return 0, 0, ErrChangePending
	}
	c.appendAsLeader(Entry{Kind: EntryMembers, Members: next.Sorted()})
	return c.log.last(), c.term, nil
}
