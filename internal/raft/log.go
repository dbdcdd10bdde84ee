package raft

import "fmt"

// entryLog holds the log entries after index base in memory. Invariants:
// entries[i].Index == base+1+i; base <= snapshot.Index; terms never decrease.
type entryLog struct {
	base     Index
	baseTerm Term
	entries  []Entry
	snapshot Snapshot
	unstable Index // first index that Take has not returned yet

	// configs are the sets of replicas with the index at which each takes effect,
	// in ascending order. The first is that of the snapshot. A set takes effect as
	// soon as it is appended, before it is committed.
	configs []indexedMembers
}

type indexedMembers struct {
	index   Index
	members Members
}

func newLog(s StoredState) *entryLog {
	l := &entryLog{
		base: s.Snapshot.Index, baseTerm: s.Snapshot.Term, snapshot: s.Snapshot,
		configs: []indexedMembers{{s.Snapshot.Index, s.Snapshot.Members}},
	}
	l.append(s.Entries...)
	l.unstable = l.last() + 1
	return l
}

func (l *entryLog) last() Index { return l.base + Index(len(l.entries)) }

func (l *entryLog) lastTerm() Term {
	t, _ := l.term(l.last())
	return t
}

// term returns the term of the entry at i, false if the log does not hold it.
func (l *entryLog) term(i Index) (Term, bool) {
	switch {
	case i == l.base:
		return l.baseTerm, true
	case i < l.base || i > l.last():
		return 0, false
	default:
		return l.entries[i-l.base-1].Term, true
	}
}

func (l *entryLog) matches(i Index, t Term) bool {
	stored, ok := l.term(i)
	return ok && stored == t
}

// slice returns the entries from first to last inclusive, at most limit of them.
func (l *entryLog) slice(first, last Index, limit int) []Entry {
	if first > last {
		return nil
	}
	s := l.entries[first-l.base-1 : last-l.base]
	if len(s) > limit {
		s = s[:limit]
	}
	return s[:len(s):len(s)]
}

func (l *entryLog) append(entries ...Entry) {
	for _, e := range entries {
		if e.Index != l.last()+1 {
			panic(fmt.Sprintf("raft: entry %d appended after %d", e.Index, l.last()))
		}
		l.entries = append(l.entries, e)
		if e.Kind == EntryMembers {
			l.configs = append(l.configs, indexedMembers{e.Index, e.Members})
		}
	}
}

// truncate removes the entry at first and all entries after it.
func (l *entryLog) truncate(first Index) {
	kept := l.entries[:first-l.base-1]
	l.entries = kept[:len(kept):len(kept)] // a sent message may share the array: force append to copy it
	l.unstable = min(l.unstable, first)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= first {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// merge appends the entries that the log does not hold yet and removes the
// existing entries that conflict with them.
func (l *entryLog) merge(entries []Entry) {
	for i, e := range entries {
		if l.matches(e.Index, e.Term) {
			continue
		}
		if e.Index <= l.last() {
			l.truncate(e.Index)
		}
		l.append(entries[i:]...)
		return
	}
}

// members returns the newest set of replicas, committed or not.
func (l *entryLog) members() Members { return l.configs[len(l.configs)-1].members }

// membersIndex returns the index of the entry that set the newest members.
func (l *entryLog) membersIndex() Index { return l.configs[len(l.configs)-1].index }

// membersUpTo returns the set of replicas in effect at index i.
func (l *entryLog) membersUpTo(i Index) Members {
	m := l.configs[0].members
	for _, c := range l.configs {
		if c.index <= i {
			m = c.members
		}
	}
	return m
}

// install replaces the whole log with a snapshot.
func (l *entryLog) install(s Snapshot) {
	l.base, l.baseTerm, l.snapshot = s.Index, s.Term, s
	l.entries = nil
	l.unstable = s.Index + 1
	l.configs = []indexedMembers{{s.Index, s.Members}}
}

// compact records s as the newest snapshot and drops the entries that it covers,
// except for the last keep of them.
func (l *entryLog) compact(s Snapshot, keep Index) {
	l.snapshot = s
	for len(l.configs) > 1 && l.configs[1].index <= s.Index {
		l.configs = l.configs[1:]
	}
	if s.Index < l.base+keep {
		return
	}
	base := s.Index - keep
	t, _ := l.term(base)
	l.entries = append([]Entry(nil), l.entries[base-l.base:]...)
	l.base, l.baseTerm = base, t
}

// conflictHint returns the last index not above i whose term is not above t:
// no later entry can match a leader whose entry at i has term t.
func (l *entryLog) conflictHint(i Index, t Term) Index {
	for i = min(i, l.last()); i > l.base; i-- {
		if stored, _ := l.term(i); stored <= t {
			return i
		}
	}
	return i
}
