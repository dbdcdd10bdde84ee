package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/core"
)

const (
	// minSubset is the smallest number of targets among which an entry VM chooses,
	// if the service has as many: enough to avoid those that are slow or busy for a
	// moment.
	minSubset = 16
	// minSendersPerTarget is the mean number of entry VMs that choose among a given
	// target, so that all targets get about equal parts of the requests.
	minSendersPerTarget = 12
	// remotePart is the number of targets of other data centres in a subset,
	// relative to that of the own data centre.
	remotePart = 0.5
)

// subset returns the targets of a service that this VM uses while they serve it
// well: some of its own data centre, and fewer of the others for when those are
// full. An entry VM of a large deployment sends too few requests to know all
// targets; with a subset its connections are used again, and what it knows of
// their load is recent. All VMs draw their subsets independently.
func (p *Pool) subset(s core.Service) []*target {
	if chosen, ok := p.subsets[s]; ok {
		return chosen
	}
	all := slices.Clone(p.services[s])
	slices.SortFunc(all, func(x, y *target) int {
		if x.DataCentre != y.DataCentre && (x.DataCentre == p.home) != (y.DataCentre == p.home) {
			if x.DataCentre == p.home {
				return -1
			}
			return 1
		}
		return cmp.Compare(x.rank, y.rank)
	})
	size := max(minSubset, int(math.Ceil(minSendersPerTarget*float64(len(all))/float64(max(p.entryVMs, 1)))))
	home := 0
	for _, t := range all {
		if t.DataCentre == p.home {
			home++
		}
	}
	remote := len(all) - home
	near := min(home, size)
	far := min(remote, max(size-near, int(remotePart*float64(size))))
	chosen := append(slices.Clone(all[:near]), all[home:home+far]...)
	p.subsets[s] = chosen
	return chosen
}
