package configsync

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// maxAge is how old the proof behind a source's answers may be. Past it another
// source is asked, so that daemons that are cut off together do not keep each
// other content.
//
// A voter's proof is up to a second old; each hop below it adds holdTime.
const maxAge = 3 * time.Second

// VoterAge is the same for a daemon that asks voters only. A voter that is cut
// off from the leader keeps it from a change for this and one holdTime.
const VoterAge = 1500 * time.Millisecond

// Source is a daemon that can be asked.
type Source struct {
	Address string
	Member  core.VM // of this daemon's cell; empty: a registry voter
}

// sourcesOf returns whom daemon self asks, best first: its cell's coordinator,
// or the voters if it is the coordinator or none is known; then the other
// members. The voters are in an order of each daemon's own, which spreads them.
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
	for _, address := range rotate(voters, self) {
		sources = append(sources, Source{Address: address})
	}
	for _, vm := range rotate(s.Cells[cell].Members, self) {
		if vm != coordinator {
			add(vm)
		}
	}
	return sources
}

// rotate starts list at a place that depends on the daemon.
func rotate[T any](list []T, self core.VM) []T {
	if len(list) == 0 {
		return nil
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(self))
	first := int(h.Sum32() % uint32(len(list)))
	return append(slices.Clone(list[first:]), list[:first]...)
}

// choice remembers which source is asked. It moves on when a source fails or
// its proofs are old, and returns to the best one now and then.
type choice struct {
	place int
	since time.Time
}

// bestAgain is how long a source that is not the best one is kept.
const bestAgain = 20 * time.Second

func (c *choice) source(sources []Source, now time.Time) (Source, bool) {
	if len(sources) == 0 {
		return Source{}, false
	}
	if c.place%len(sources) != 0 && now.Sub(c.since) > bestAgain {
		c.place, c.since = 0, now
	}
	return sources[c.place%len(sources)], true
}

func (c *choice) next(now time.Time) {
	c.place++
	c.since = now
}

// votes counts the cell members that answered since this daemon started, until
// the registry or a majority stands behind the newest version: a member that
// lags can't bring an old one back.
type votes struct{ answered map[core.VM]bool }

func (v *votes) add(vm core.VM) {
	if v.answered == nil {
		v.answered = map[core.VM]bool{}
	}
	v.answered[vm] = true
}

// majority reports whether enough members of the cell answered. This daemon
// itself knows nothing that counts.
func (v *votes) majority(members []core.VM) bool {
	answered := 0
	for _, vm := range members {
		if v.answered[vm] {
			answered++
		}
	}
	return len(members) > 1 && answered >= min(len(members)/2+1, len(members)-1)
}
