package configsync

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// maxProofAge is the maximum age of the proof in a source's answers. If the
// proof is older, another source is polled; otherwise daemons that are
// partitioned together could keep confirming an outdated state to each other.
//
// A voter's proof is up to 1 s old, and each level of the tree of daemons below
// the voters adds up to longPollHold.
const maxProofAge = 3 * time.Second

// MaxVoterProofAge is the maximum age of the proof for a daemon that polls only
// voters. A voter that is partitioned from the leader delays a change at this daemon
// by at most MaxVoterProofAge, one that no longer answers by answerTimeout more.
const MaxVoterProofAge = 1300 * time.Millisecond

// Source is a daemon that can be polled for the configuration.
type Source struct {
	Address string
	Member  core.VM // a member of this daemon's cell; empty for a registry voter
}

// sourcesOf returns the sources that daemon self polls, in order of preference:
// the coordinator of its cell unless that is self or unknown, the registry's
// voters, and the other members of the cell. Each daemon has its own order of
// voters and members, which spreads the load over them.
func sourcesOf(s *config.State, self core.VM, cell core.Cell, coordinator core.VM, voters []string) []Source {
	var sources []Source
	add := func(vm core.VM) {
		if known, ok := s.VMs[vm]; ok && vm != self && known.InnerAddress != "" {
			sources = append(sources, Source{Address: known.InnerAddress, Member: vm})
		}
	}
	if coordinator != self {
		add(coordinator)
	}
	for _, address := range shuffle(voters, self) {
		sources = append(sources, Source{Address: address})
	}
	for _, vm := range rotate(s.Cells[cell].Members, self) {
		if vm != coordinator {
			add(vm)
		}
	}
	return sources
}

// shuffle returns the addresses in an order that depends on the daemon. Addresses of
// one data centre are neighbours in most lists; if it is cut off, the next source
// after one that fails must not be another of its voters.
func shuffle(addresses []string, self core.VM) []string {
	position := func(address string) uint64 { return xxhash.Sum64String(string(self) + "\x00" + address) }
	shuffled := slices.Clone(addresses)
	slices.SortFunc(shuffled, func(x, y string) int { return cmp.Compare(position(x), position(y)) })
	return shuffled
}

// rotate returns list rotated by an offset that depends on the daemon.
func rotate[T any](list []T, self core.VM) []T {
	if len(list) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(self))
	first := int(h.Sum32() % uint32(len(list)))
	return append(slices.Clone(list[first:]), list[:first]...)
}

// sourceSelector selects the source to poll. It advances to the next source when
// one fails or its proof is too old, and periodically returns to the preferred
// one.
type sourceSelector struct {
	index int
	since time.Time // when the source at index was selected
}

// fallbackPeriod is how long a source other than the preferred one is polled
// before the preferred one is tried again.
const fallbackPeriod = 20 * time.Second

// current returns the selected source. It first returns to the preferred source if
// another one has been selected for longer than fallbackPeriod.
func (s *sourceSelector) current(sources []Source, now time.Time) (Source, bool) {
	if len(sources) == 0 {
		return Source{}, false
	}
	if s.index%len(sources) != 0 && now.Sub(s.since) > fallbackPeriod {
		s.index, s.since = 0, now
	}
	return sources[s.index%len(sources)], true
}

// advance selects the next source.
func (s *sourceSelector) advance(now time.Time) {
	s.index++
	s.since = now
}

// respondents is the set of cell members that answered since this daemon
// started. Before a majority of the cell has answered or the registry has proved
// a version, no version is put in force: a single member may lag behind and have
// an outdated one.
type respondents struct{ answered map[core.VM]bool }

func (r *respondents) add(vm core.VM) {
	if r.answered == nil {
		r.answered = map[core.VM]bool{}
	}
	r.answered[vm] = true
}

// majority reports whether a majority of the cell's members has answered. This
// daemon has just started, so it isn't counted itself; in a cell of two, the
// other member is enough.
func (r *respondents) majority(members []core.VM) bool {
	answered := 0
	for _, vm := range members {
		if r.answered[vm] {
			answered++
		}
	}
	return len(members) > 1 && answered >= min(len(members)/2+1, len(members)-1)
}
