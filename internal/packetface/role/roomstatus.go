package role

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/inner"
	"github.com/saltbend/saltbend/internal/packetface/report"
	"github.com/saltbend/saltbend/internal/packetface/steer"
)

func reportServices(views []steer.ServiceView) (out []report.Service) {
	for _, v := range views {
		out = append(out, report.Service{
			Service: v.Service, Agents: v.Agents, Recent: v.Recent, Slots: v.Slots, FreeSlots: v.FreeSlots,
			Short: v.Short, ShortForMS: v.ShortFor.Milliseconds(), Bar: report.BarOf(v.Bar), RefusedShare: v.RefusedShare,
			ShortestWaitMS: v.ShortestWait.Milliseconds(), LongestWaitMS: v.LongestWait.Milliseconds(),
			NewestAgeMS: v.NewestAge.Milliseconds(), OldestAgeMS: v.OldestAge.Milliseconds(),
		})
	}
	return out
}

func reportDataCentres(views []steer.DataCentreView) (out []report.DataCentre) {
	for _, v := range views {
		out = append(out, report.DataCentre{
			DataCentre: v.DataCentre, Agents: v.Agents, Slots: v.Slots, FreeSlots: v.FreeSlots, Utilization: v.Utilization,
		})
	}
	return out
}

// reportLoad returns the load that an agent has reported, nil if its build reports none.
func reportLoad(s *inner.Status, age time.Duration) *report.Load {
	if !s.HasLoad {
		return nil
	}
	load := &report.Load{
		WaitMS: s.Load.Wait.Milliseconds(), Utilization: s.Load.Utilization, Bar: report.BarOf(s.Load.Bar), AgeMS: age.Milliseconds(),
	}
	for _, t := range s.Load.Times {
		if t.Mean > 0 {
			load.ServiceTimes = append(load.ServiceTimes, report.ServiceTime{Priority: t.Priority, MeanMS: float64(t.Mean) / float64(time.Millisecond)})
		}
	}
	return load
}
