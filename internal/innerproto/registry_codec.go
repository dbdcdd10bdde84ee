package innerproto

import (
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/innerproto/innerpb"
	"github.com/comfreynotch/comfreynotch/internal/raft"
)

func raftToWire(m raft.Message) *innerpb.RaftMessage {
	w := &innerpb.RaftMessage{
		Type: uint32(m.Type), Term: uint64(m.Term), LogIndex: uint64(m.LogIndex), LogTerm: uint64(m.LogTerm),
		Commit: uint64(m.Commit), Reject: m.Reject, Hint: uint64(m.ConflictHint), Transfer: m.Transfer, Sequence: m.Sequence,
		Lazy: m.Lazy,
	}
	for _, e := range m.Entries {
		w.Entries = append(w.Entries, &innerpb.RaftEntry{
			Index: uint64(e.Index), Term: uint64(e.Term), Kind: uint32(e.Kind),
			Data: e.Data, Members: membersToWire(e.Members),
		})
	}
	if s := m.Snapshot; s != nil {
		w.Snapshot = &innerpb.RaftSnapshot{
			Index: uint64(s.Index), Term: uint64(s.Term), Data: s.Data, Members: membersToWire(s.Members),
		}
	}
	return w
}

func raftFromWire(w *innerpb.RaftMessage, from, to core.VM) raft.Message {
	m := raft.Message{
		Type: raft.MessageType(w.GetType()), From: from, To: to, Term: raft.Term(w.GetTerm()),
		LogIndex: raft.Index(w.GetLogIndex()), LogTerm: raft.Term(w.GetLogTerm()), Commit: raft.Index(w.GetCommit()),
		Reject: w.GetReject(), ConflictHint: raft.Index(w.GetHint()), Transfer: w.GetTransfer(), Sequence: w.GetSequence(),
		Lazy: w.GetLazy(),
	}
	for _, e := range w.GetEntries() {
		m.Entries = append(m.Entries, raft.Entry{
			Index: raft.Index(e.GetIndex()), Term: raft.Term(e.GetTerm()), Kind: raft.EntryKind(e.GetKind()),
			Data: e.GetData(), Members: membersFromWire(e.GetMembers()),
		})
	}
	if s := w.GetSnapshot(); s != nil {
		m.Snapshot = &raft.Snapshot{
			Index: raft.Index(s.GetIndex()), Term: raft.Term(s.GetTerm()), Data: s.GetData(),
			Members: membersFromWire(s.GetMembers()),
		}
	}
	return m
}

func membersToWire(members raft.Members) []*innerpb.RaftMember {
	var w []*innerpb.RaftMember
	for _, m := range members {
		w = append(w, memberToWire(m))
	}
	return w
}

func memberToWire(m raft.Member) *innerpb.RaftMember {
	return &innerpb.RaftMember{Vm: string(m.VM), Address: m.Address, Learner: m.Learner}
}

func membersFromWire(w []*innerpb.RaftMember) raft.Members {
	var members raft.Members
	for _, m := range w {
		members = append(members, memberFromWire(m))
	}
	return members
}

func memberFromWire(w *innerpb.RaftMember) raft.Member {
	return raft.Member{VM: core.VM(w.GetVm()), Address: w.GetAddress(), Learner: w.GetLearner()}
}
