package roles

import (
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
)

// goneTicks is how long, in ticks of a tenth of a second, a replica is silent
// before one that has joined beyond the wanted number takes its place: longer
// than a restart.
const goneTicks = 30

// goneReplica returns a replica that the leader should remove: one whose disk
// is gone, since another has joined from its address; or a silent one, if
// enough others are heard. The remaining voters must be heard, so that the
// removal costs no tolerance.
func goneReplica(s raft.Status, wanted int) (gone core.VM, why string, ok bool) {
	for _, m := range s.Members {
		for _, o := range s.Members {
			if m.VM != s.Self && m.VM != o.VM && m.Address == o.Address && !m.Learner && !o.Learner && s.Match[m.VM] < s.Match[o.VM] {
				return m.VM, "another has joined from its address", true
			}
		}
	}
	voters := s.Members.Voters()
	if len(voters) <= wanted {
		return "", "", false
	}
	heard := 0
	for _, vm := range voters {
		switch {
		case vm == s.Self || s.TicksSinceContact[vm] < goneTicks:
			heard++
		case gone == "":
			gone = vm
		}
	}
	return gone, "silent while enough others are heard", gone != "" && heard >= wanted
}
