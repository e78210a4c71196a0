package loadsim

import (
	"siskinpath/core/clock"
)

const (
	// useWindow is the span over which the use of a quota is counted.
	useWindow = 5 * clock.Second
	// quotaFactor is the quota of an organisation as a multiple of its usual demand.
	quotaFactor = 1.6
	// quotaBurst is the number of requests that a quota allows besides its rate, so that
	// a few requests of a small organisation are no large part of it.
	quotaBurst = 4
)

// Organisation is an organisation that sends a part of a workload.
type Organisation struct {
	Name   string
	Share  float64 // its usual share of the workload; the sum is 1
	Factor float64 // its demand as a multiple of the usual; 0 counts as 1
}

func (o Organisation) weight() float64 {
	if o.Factor == 0 {
		return o.Share
	}
	return o.Share * o.Factor
}

func totalWeight(list []Organisation) (sum float64) {
	for _, o := range list {
		sum += o.weight()
	}
	return sum
}

// demand is the demand of one organisation over all workloads. The simulation enforces no
// quota: it only tells policies how much of it is used.
type demand struct {
	usualPerSecond float64
	arrivals       []clock.Millis // within useWindow
}

func (sim *Simulation) addUsualDemand(k Workload) {
	for _, o := range k.Organisations {
		if sim.demand[o.Name] == nil {
			sim.demand[o.Name] = &demand{}
		}
		sim.demand[o.Name].usualPerSecond += k.PerSecond * o.Share
	}
}

// drawOrganisation draws the organisation of a request and counts it; "" for none.
func (sim *Simulation) drawOrganisation(list []Organisation) string {
	if len(list) == 0 {
		return ""
	}
	at := sim.Rand.Float64() * totalWeight(list)
	name := list[len(list)-1].Name
	for _, o := range list {
		if at -= o.weight(); at < 0 {
			name = o.Name
			break
		}
	}
	d := sim.demand[name]
	d.arrivals = append(d.arrivals, sim.now)
	return name
}

// use returns the share of an organisation's quota that it has used in the last
// useWindow; 0 for no organisation.
func (sim *Simulation) use(name string) float64 {
	d := sim.demand[name]
	if d == nil {
		return 0
	}
	for len(d.arrivals) > 0 && d.arrivals[0] <= sim.now-useWindow {
		d.arrivals = d.arrivals[1:]
	}
	quota := quotaFactor*d.usualPerSecond*float64(useWindow)/float64(clock.Second) + quotaBurst
	return float64(len(d.arrivals)) / quota
}
