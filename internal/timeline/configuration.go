package timeline

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
)

// statusNames are the texts for the statuses of data centres in Event.Detail.
var statusNames = map[config.DataCentreStatus]string{
	0:                             "absent",
	config.DataCentreActive:       "in",
	config.DataCentreDraining:     "leaving",
	config.DataCentreOutOfService: "out",
	config.DataCentreDead:         "dead",
}

// ConfigurationEvents returns the events that follow from next coming into force
// after prev: first the new version, then the changes, whose Cause it is. If prev
// is nil, as at the start of a daemon, only the version is returned.
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

// homeMove groups the shards of one service that moved between the same cells.
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

// sameHomes reports whether two states share the backing array of their homes. As
// a change copies the array before writing to it, shared homes are equal, and
// this saves comparing every shard.
func sameHomes(a, b config.ShardHomes) bool {
	return len(a.Home) == len(b.Home) && (len(a.Home) == 0 || &a.Home[0] == &b.Home[0])
}
