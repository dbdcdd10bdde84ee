package timeline

import (
	"cmp"
	"slices"
)

// Merge sorts the records of several daemons into one order: by stamp, then VM,
// then Seq, except that an event follows the first event whose Ref is its Cause,
// even if the stamps say otherwise. Duplicates are removed.
func Merge(records ...[]Event) []Event {
	var all []Event
	for _, r := range records {
		all = append(all, r...)
	}
	slices.SortStableFunc(all, compareEvents)
	all = slices.CompactFunc(all, func(a, b Event) bool { return a.VM == b.VM && a.Seq == b.Seq && a.Stamp == b.Stamp })
	return causesFirst(all)
}

func compareEvents(a, b Event) int {
	return cmp.Or(a.Stamp.Compare(b.Stamp), cmp.Compare(a.VM, b.VM), cmp.Compare(a.Seq, b.Seq))
}

// causesFirst moves each event behind the first event whose Ref is its Cause. A
// cycle of causes is broken at the event that is reached first.
func causesFirst(sorted []Event) []Event {
	first := map[string]int{}
	for i, e := range sorted {
		if _, ok := first[e.Ref]; e.Ref != "" && !ok {
			first[e.Ref] = i
		}
	}
	ordered := make([]Event, 0, len(sorted))
	done := make([]bool, len(sorted))
	var appendAfterCause func(i int)
	appendAfterCause = func(i int) {
		if done[i] {
			return
		}
		done[i] = true
		if cause, ok := first[sorted[i].Cause]; ok && sorted[i].Cause != "" {
			appendAfterCause(cause)
		}
		ordered = append(ordered, sorted[i])
	}
	for i := range sorted {
		appendAfterCause(i)
	}
	return ordered
}

// MissingCauses returns the Causes of events that are the Ref of none of them,
// each once.
func MissingCauses(events []Event) []string {
	known := map[string]bool{"": true}
	for _, e := range events {
		known[e.Ref] = true
	}
	var missing []string
	for _, e := range events {
		if !known[e.Cause] {
			known[e.Cause] = true
			missing = append(missing, e.Cause)
		}
	}
	return missing
}
