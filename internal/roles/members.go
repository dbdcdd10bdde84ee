package roles

import (
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
)

// unreachableTicks is how long, in ticks of 100 ms, a replica must have been
// unreachable before it is removed in favour of a replica that joined beyond the
// wanted number. It is longer than a restart.
const unreachableTicks = 30

// replicaToRemove returns a replica that the leader should remove. That is a
// replica whose disk was lost, which shows in another having joined from its
// address; or an unreachable one, if at least wanted other voters are reachable,
// so that the removal doesn't reduce the number of failures the registry
// tolerates.
func replicaToRemove(s raft.Status, wanted int) (remove core.VM, reason string, ok bool) {
	for _, m := range s.Members {
		for _, other := range s.Members {
			if m.VM != s.Self && m.VM != other.VM && m.Address == other.Address && !m.Learner && !other.Learner && s.Match[m.VM] < s.Match[other.VM] {
				return m.VM, "another replica has joined from its address", true
			}
		}
	}
	voters := s.Members.Voters()
	if len(voters) <= wanted {
		return "", "", false
	}
	reachable := 0
	for _, vm := range voters {
		switch {
		case vm == s.Self || s.TicksSinceContact[vm] < unreachableTicks:
			reachable++
		case remove == "":
			remove = vm
		}
	}
	return remove, "unreachable while enough other voters are reachable", remove != "" && reachable >= wanted
}

// silentTicks is how long, in ticks of 100 ms, a replica must have been silent to be
// left out of the control VMs that entry VMs use. It is longer than several
// heartbeats of the registry.
const silentTicks = 12

// reachableMembers returns the members of the registry that the leader has heard from
// recently. Entry VMs fetch the configuration from them, and each counts a part of
// the workspaces, so that the loss of a VM is noticed within a second or two.
func reachableMembers(s raft.Status) []core.VM {
	var members []core.VM
	for _, m := range s.Members {
		if m.VM == s.Self || s.TicksSinceContact[m.VM] < silentTicks {
			members = append(members, m.VM)
		}
	}
	return members
}
