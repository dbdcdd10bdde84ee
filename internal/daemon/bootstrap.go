package daemon

import (
	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/raft"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// firstChange returns the first change of a registry without any, nil if the
// settings name none.
func firstChange(b settings.Bootstrap) *config.Bootstrap {
	if len(b.Cells) == 0 {
		return nil
	}
	first := &config.Bootstrap{}
	for _, c := range b.Cells {
		first.DataCentres = append(first.DataCentres, config.DataCentre{
			Name: core.DataCentre(c.DataCentre), Region: core.Region(c.Region), Status: config.DataCentreActive,
		})
		put := config.PutCell{Cell: config.Cell{Name: core.Cell(c.Name), DataCentre: core.DataCentre(c.DataCentre)}}
		for _, m := range c.Members {
			put.Cell.Members = append(put.Cell.Members, core.VM(m.VM))
			put.VMs = append(put.VMs, config.VM{Name: core.VM(m.VM), InnerAddress: m.Inner})
		}
		first.Cells = append(first.Cells, put)
	}
	return first
}

// firstMembers returns the first members of the registry. Without a list, a
// voter is alone, unless seeds show that it joins one.
func firstMembers(s *settings.Settings, self raft.Member) raft.Members {
	var members raft.Members
	for _, v := range s.Bootstrap.Voters {
		members = append(members, raft.Member{VM: core.VM(v.VM), Address: v.Inner})
	}
	if len(members) == 0 && len(s.Seeds) == 0 {
		members = raft.Members{self}
	}
	return members.Sorted()
}
