package timeline

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

var statusNames = map[config.DataCentreStatus]string{
	0:                             "absent",
	config.DataCentreActive:       "in",
	config.DataCentreDraining:     "leaving",
	config.DataCentreOutOfService: "out",
	config.DataCentreDead:         "dead",
}

// ConfigurationEvents returns what follows from next coming into force after
// prev. With a nil prev, such as at a start, that is the version alone.
func ConfigurationEvents(prev, next *config.State) []Event {
	version := Event{Kind: ConfigurationChanged, Version: next.Version, Ref: VersionRef(next.Version)}
	if prev == nil {
		return []Event{version}
	}
	if prev.Version == next.Version {
		return nil
	}
	events := append(dataCentreEvents(prev, next), keyEvents(prev, next)...)
	events = append(events, homeEvents(prev, next)...)
	slices.SortFunc(events, func(a, b Event) int {
		return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.DataCentre, b.DataCentre),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Detail, b.Detail))
	})
	for i := range events {
		events[i].Version, events[i].Cause = next.Version, version.Ref
	}
	return append([]Event{version}, events...)
}

func dataCentreEvents(prev, next *config.State) []Event {
	var events []Event
	for name, dc := range next.DataCentres {
		if old := prev.DataCentres[name]; old.Status != dc.Status {
			events = append(events, Event{
				Kind: DataCentreChanged, DataCentre: name,
				Detail: fmt.Sprintf("%s, was %s", statusNames[dc.Status], statusNames[old.Status]),
			})
		}
	}
	return events
}

func keyEvents(prev, next *config.State) []Event {
	var events []Event
	for hash, key := range prev.CallerKeys {
		if _, ok := next.CallerKeys[hash]; !ok {
			events = append(events, Event{Kind: CallerKeyWithdrawn, Workspace: key.Workspace, Detail: "caller key " + key.ID})
		}
	}
	return events
}

// homeMove is a number of shards of one service that changed their home alike.
type homeMove struct {
	service  core.Service
	from, to core.Cell
}

func homeEvents(prev, next *config.State) []Event {
	moves := map[homeMove][]core.Shard{}
	for name, svc := range next.Services {
		if sameHomes(prev.Homes[name], next.Homes[name]) {
			continue
		}
		for shard := range core.Shard(svc.Shards) {
			from, had := prev.Home(name, shard)
			to, has := next.Home(name, shard)
			if had && has && from != to {
				m := homeMove{name, from, to}
				moves[m] = append(moves[m], shard)
			}
		}
	}
	events := make([]Event, 0, len(moves))
	for m, shards := range moves {
		events = append(events, Event{
			Kind: HomeMoved, Service: m.service, Cell: m.to, Shards: shardSetAround(shards), Count: uint64(len(shards)),
			Detail: fmt.Sprintf("%d shards from cell %s to cell %s", len(shards), m.from, m.to),
		})
	}
	return events
}

// sameHomes reports whether two states share one assignment of homes, as
// successive states do unless a change touched it.
func sameHomes(a, b config.ShardHomes) bool {
	return len(a.Home) == len(b.Home) && (len(a.Home) == 0 || &a.Home[0] == &b.Home[0])
}
