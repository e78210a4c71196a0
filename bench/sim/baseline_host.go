package sim

import (
	"math/rand/v2"

	"siskinpath/core/admit"
	"siskinpath/core/route"
)

// baselineHost sends each request immediately to the upstream that a baseline
// policy chooses, and sends it only once.
type baselineHost struct {
	sim        *simulation
	zone       int
	policy     admit.Policy[Candidate]
	candidates []Candidate
	pool       *ProbePool // nil unless the policy probes
}

func (sim *simulation) addBaselineHosts() {
	for i := range sim.sc.Deployment.Hosts {
		rnd := rand.New(rand.NewPCG(sim.sc.Seed, uint64(1000+i)))
		h := &baselineHost{sim: sim, zone: sim.zoneOfHost(i), policy: sim.sc.Policy.Baseline(rnd)}
		if sim.sc.Policy.Probing {
			h.pool = newPool(sim, h.zone, rnd)
		}
		for k := range sim.upstreams {
			h.candidates = append(h.candidates, Candidate{Index: k, Pool: h.pool})
		}
		sim.hosts = append(sim.hosts, h)
	}
}

func (h *baselineHost) handle(c *call) {
	if h.pool != nil {
		h.pool.onRequest()
	}
	k := h.policy.Choose(h.sim.now.Millis(), h.candidates)
	u := h.sim.upstreams[k]
	h.candidates[k].InFlight++
	h.sim.result.Attempts++
	latency := h.sim.sc.Deployment.latency(h.zone, u.zone)
	open := true
	end := func(o outcome) {
		if open {
			open = false
			h.candidates[k].InFlight--
			c.end(o)
		}
	}
	j := &job{deadline: c.deadline}
	j.answer = func(status route.Status, _ *route.LoadReport) {
		h.sim.after(latency, func() { end(outcomeOf(status)) })
	}
	h.sim.after(latency, func() {
		if u.down {
			h.sim.after(connectTimeout, func() { end(refused) })
			return
		}
		u.arrive(j)
	})
	h.sim.at(c.deadline, func() {
		if open {
			u.cancel(j)
			end(unknown)
		}
	})
}

// outcomeOf converts the result of an attempt to the outcome of its call.
func outcomeOf(status route.Status) outcome {
	switch status {
	case route.Succeeded:
		return answered
	case route.Errored:
		return errored
	case route.Refused, route.NotSent:
		return refused
	default:
		return unknown
	}
}
