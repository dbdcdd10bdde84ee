package daemon

import (
	"strconv"

	"github.com/comfreynotch/comfreynotch/internal/config"
	"github.com/comfreynotch/comfreynotch/internal/core"
	"github.com/comfreynotch/comfreynotch/internal/settings"
)

// bootstrapState returns the configuration of a first start.
func bootstrapState(s *settings.Settings) (*config.State, error) {
	state := config.NewState()
	for i, change := range bootstrapChanges(s.Bootstrap) {
		next, err := state.Apply(config.Command{RequestID: "bootstrap-" + strconv.Itoa(i), Change: change})
		if err != nil {
			return nil, err
		}
		state = next
	}
	return state, nil
}

func bootstrapChanges(b settings.Bootstrap) []config.Change {
	var changes []config.Change
	for _, c := range b.Cells {
		changes = append(changes, config.PutDataCentre{DataCentre: config.DataCentre{
			Name: core.DataCentre(c.DataCentre), Region: core.Region(c.Region), Status: config.DataCentreIn,
		}})
	}
	for _, c := range b.Cells {
		put := config.PutCell{Cell: config.Cell{Name: core.Cell(c.Name), DataCentre: core.DataCentre(c.DataCentre)}}
		for _, m := range c.Members {
			put.Cell.Members = append(put.Cell.Members, core.VM(m.VM))
			put.VMs = append(put.VMs, config.VM{Name: core.VM(m.VM), InnerAddress: m.Inner})
		}
		changes = append(changes, put)
	}
	return changes
}
