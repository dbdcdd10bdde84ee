// Package health says what is wrong with one daemon and its cell, what the
// system does about it, and whether the daemon should get new requests. It is a
// decisions layer only.
package health

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/comfreynotch/comfreynotch/internal/cell"
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/result"
)

// View is what one daemon sees at one moment.
type View struct {
	Self        core.VM
	DataCentre  core.DataCentre
	State       *config.State
	Table       *cell.Table
	LeaseLive   bool    // this daemon may dispatch
	LeaderKnown bool    // a registry leader is known
	Coordinator core.VM // of the cell; empty: none known
	Stopping    bool    // a planned stop has begun
}

// Problem is one thing that is wrong and what the system does about it.
type Problem struct {
	What  string
	Doing string
	Code  result.Code // that callers see because of it; OK: none
}

// Ready reports whether the daemon should get new requests, and if not, why.
func Ready(v View) (reason string, ready bool) {
	switch {
	case v.Stopping:
		return "this daemon is stopping", false
	case v.State.Version == 0:
		return "no configuration has been accepted here yet", false
	case statusText[v.State.DataCentres[v.DataCentre].Status][0] != "":
		return fmt.Sprintf("data centre %s is %s", v.DataCentre, statusText[v.State.DataCentres[v.DataCentre].Status][0]), false
	case !v.LeaseLive:
		return fmt.Sprintf("no member lease in cell %s", v.Table.Cell), false
	}
	return "", true
}

// Problems returns what is wrong, most far-reaching first.
func Problems(v View) []Problem {
	var found []Problem
	if !v.LeaderKnown {
		found = append(found, Problem{
			What:  "no registry leader is known",
			Doing: "serving with the last accepted configuration; changes are refused until the voters elect a leader",
			Code:  result.NoLeader,
		})
	}
	found = append(found, dataCentreProblems(v)...)
	if v.Coordinator == "" {
		found = append(found, Problem{
			What:  fmt.Sprintf("cell %s has no coordinator", v.Table.Cell),
			Doing: "its members elect one by majority; assignments stay as they are until then",
		})
	}
	if !v.LeaseLive {
		found = append(found, Problem{
			What:  fmt.Sprintf("%s holds no member lease in cell %s", v.Self, v.Table.Cell),
			Doing: "sends nothing to targets until the coordinator renews the lease; other members take its targets over",
			Code:  result.NoLease,
		})
	}
	return append(found, serviceProblems(v)...)
}

var statusText = map[config.DataCentreStatus][2]string{
	config.DataCentreDraining:     {"leaving", "handing its shards over; it gets no new work"},
	config.DataCentreOutOfService: {"out", "the other data centres serve; bring it back with: comfreynotch data-centre bring-back"},
	config.DataCentreDead:         {"stated dead", "its leases count as ended and its shards have other homes"},
}

func dataCentreProblems(v View) []Problem {
	var found []Problem
	for name, dc := range v.State.DataCentres {
		if text, ok := statusText[dc.Status]; ok {
			found = append(found, Problem{What: fmt.Sprintf("data centre %s is %s", name, text[0]), Doing: text[1]})
		}
	}
	slices.SortFunc(found, func(a, b Problem) int { return cmp.Compare(a.What, b.What) })
	return found
}

func serviceProblems(v View) []Problem {
	targets := map[core.Service]int{}
	for _, e := range v.Table.Targets {
		if !e.Target.Draining {
			targets[e.Target.Service]++
		}
	}
	var found []Problem
	for name, svc := range v.State.Services {
		if targets[name] == 0 && takesWork(v) {
			found = append(found, Problem{
				What:  fmt.Sprintf("service %s has no target in cell %s", name, v.Table.Cell),
				Doing: "waiting for a target to announce itself",
				Code:  result.NoTarget,
			})
		}
		if n := unassigned(v, svc); n > 0 {
			found = append(found, Problem{
				What:  fmt.Sprintf("%d shards of service %s homed in cell %s have no owner", n, name, v.Table.Cell),
				Doing: "the coordinator grants them once the last grant has ended and a target is there",
				Code:  result.ShardUnassigned,
			})
		}
	}
	slices.SortFunc(found, func(a, b Problem) int { return cmp.Compare(a.What, b.What) })
	return found
}

func takesWork(v View) bool {
	return v.State.DataCentres[v.DataCentre].Status == config.DataCentreActive
}

// unassigned counts the shards whose home is this cell and that have no owner.
func unassigned(v View, svc config.Service) int {
	n := 0
	for s := range core.Shard(svc.Shards) {
		if home, ok := v.State.Home(svc.Name, s); !ok || home != v.Table.Cell {
			continue
		}
		if _, _, ok := v.Table.Owner(svc.Name, s); !ok {
			n++
		}
	}
	return n
}
