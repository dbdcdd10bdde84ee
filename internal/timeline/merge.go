package timeline

import (
	"cmp"
	"slices"
)

// Merge puts the records of several daemons into one order: by stamp, then VM,
// then position, except that an event never stands before the first event that
// its Cause names. Events that occur twice are kept once.
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

// causesFirst moves each event behind the first event that its cause names.
// Events on a cycle of causes keep their place.
func causesFirst(sorted []Event) []Event {
	first := map[string]int{}
	for i, e := range sorted {
		if _, ok := first[e.Ref]; e.Ref != "" && !ok {
			first[e.Ref] = i
		}
	}
	out := make([]Event, 0, len(sorted))
	placed := make([]bool, len(sorted))
	var place func(i int)
	place = func(i int) {
		if placed[i] {
			return
		}
		placed[i] = true
		if cause, ok := first[sorted[i].Cause]; ok && sorted[i].Cause != "" {
			place(cause)
		}
		out = append(out, sorted[i])
	}
	for i := range sorted {
		place(i)
	}
	return out
}

// MissingCauses returns the causes that events name and that are not among them.
func MissingCauses(events []Event) []string {
	have := map[string]bool{"": true}
	for _, e := range events {
		have[e.Ref] = true
	}
	var missing []string
	for _, e := range events {
		if !have[e.Cause] {
			have[e.Cause] = true
			missing = append(missing, e.Cause)
		}
	}
	return missing
}
