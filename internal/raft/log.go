package raft

import "fmt"

// entryLog holds the entries after base in memory. Invariants:
// entries[i].Index == base+1+i; base <= snapshot.Index; terms never decrease.
type entryLog struct {
	base     Index
	baseTerm Term
	entries  []Entry
	snapshot Snapshot
	unstable Index // first index that no Actions carried yet

	// configs are the sets of replicas by the index from which they hold, the
	// oldest being that of the snapshot. A set holds as soon as it is appended.
	configs []membersAt
}

type membersAt struct {
	index   Index
	members Members
}

func newLog(s Stored) *entryLog {
	l := &entryLog{
		base: s.Snapshot.Index, baseTerm: s.Snapshot.Term, snapshot: s.Snapshot,
		configs: []membersAt{{s.Snapshot.Index, s.Snapshot.Members}},
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
	have, ok := l.term(i)
	return ok && have == t
}

// slice returns the entries from first to last, both included, at most limit.
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
			l.configs = append(l.configs, membersAt{e.Index, e.Members})
		}
	}
}

// truncate removes the entries from first on.
func (l *entryLog) truncate(first Index) {
	kept := l.entries[:first-l.base-1]
	l.entries = kept[:len(kept):len(kept)] // a sent message may share the array
	l.unstable = min(l.unstable, first)
	for len(l.configs) > 1 && l.configs[len(l.configs)-1].index >= first {
		l.configs = l.configs[:len(l.configs)-1]
	}
}

// merge appends the entries that the log does not hold yet and removes those
// that conflict with them.
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

// members is the newest set of replicas, committed or not.
func (l *entryLog) members() Members { return l.configs[len(l.configs)-1].members }

// membersIndex is the index from which members holds.
func (l *entryLog) membersIndex() Index { return l.configs[len(l.configs)-1].index }

// membersUpTo is the set of replicas in force at index i.
func (l *entryLog) membersUpTo(i Index) Members {
	m := l.configs[0].members
	for _, c := range l.configs {
		if c.index <= i {
			m = c.members
		}
	}
	return m
}

// install replaces the whole log by a snapshot.
func (l *entryLog) install(s Snapshot) {
	l.base, l.baseTerm, l.snapshot = s.Index, s.Term, s
	l.entries = nil
	l.unstable = s.Index + 1
	l.configs = []membersAt{{s.Index, s.Members}}
}

// compact takes s as the newest snapshot and drops entries, all but the last
// keep before it.
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
		if have, _ := l.term(i); have <= t {
			return i
		}
	}
	return i
}
