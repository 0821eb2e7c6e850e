package role

import (
	"time"

	"github.com/saltbend/saltbend/internal/packetface/report"
	"github.com/saltbend/saltbend/internal/packetface/steer"
)

// report returns the current status report of the balancer.
func (b *balancer) report() report.Balancer {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock()
	view := b.core.View(now)
	out := report.Balancer{
		Host: b.env.Host.Name, DataCentre: b.env.Host.DataCentre,
		Ready: b.ready.Load() && !b.noAgentAnswers && !b.stopping.Load(), Stopping: b.stopping.Load(),
		Version: b.version, Routes: view.Routes, Era: view.List.AsOf.Era(), Settling: b.settling,
		ListAsOf: view.List.AsOf.String(), ListHeard: view.NewestReported.String(), ListOutdated: view.NewestReported > view.List.AsOf,
		StoreAgeMS: report.AgeMS(now, time.Duration(b.storeAnswered.Load())),
		Flows:      view.Counts.Flows, Searches: view.Counts.Searches, Agents: []report.Agent{}, Seeds: b.seeds,
	}
	out.Evacuations = b.evacuations.report(now, view.Evacuations)
	if b.source.IsValid() {
		out.ListensTo = b.source.String()
	}
	out.Listeners = b.watchShare.Listeners(now)
	out.Services, out.DataCentres = reportServices(view.Services), reportDataCentres(view.DataCentres)
	for i := range view.Agents {
		out.Agents = append(out.Agents, reportAgent(now, &view.Agents[i]))
	}
	return out
}

func reportAgent(now time.Duration, a *steer.AgentView) report.Agent {
	return report.Agent{
		Address: a.Addr, DataCentre: a.DataCentre, Service: a.Service,
		State: a.Status.State.String(), Running: int(a.Status.Running), Slots: int(a.Status.Slots), Flows: int(a.Status.Flows),
		HeardAgeMS: report.AgeMS(now, a.LastReceived), Suspected: a.Suspected, Unlisted: a.Unlisted, Evacuated: a.Evacuated,
		Load: reportLoad(&a.Status, a.StatusAge),
	}
}
