package sim

import (
	"math/rand/v2"

	"siskinpath/core/admit"
	"siskinpath/core/route"
)

// baselineHost sends each request immediately to the upstream that a baseline
// policy chooses, and sends it only once.
type baselineHost struct {
	w          *simulation
	zone       int
	policy     admit.Policy[Candidate]
	candidates []Candidate
	pool       *ProbePool // nil unless the policy probes
}

func (w *simulation) addBaselineHosts() {
	for i := range w.sc.Deployment.Hosts {
		rnd := rand.New(rand.NewPCG(w.sc.Seed, uint64(1000+i)))
		h := &baselineHost{w: w, zone: w.zoneOfHost(i), policy: w.sc.Policy.Baseline(rnd)}
		if w.sc.Policy.Probing {
			h.pool = newPool(w, h.zone, rnd)
		}
		for k := range w.upstreams {
			h.candidates = append(h.candidates, Candidate{Index: k, Pool: h.pool})
		}
		w.hosts = append(w.hosts, h)
	}
}

func (h *baselineHost) handle(c *call) {
	if h.pool != nil {
		h.pool.onRequest()
	}
	k := h.policy.Choose(h.w.now.Millis(), h.candidates)
	u := h.w.upstreams[k]
	h.candidates[k].InFlight++
	h.w.result.Attempts++
	latency := h.w.sc.Deployment.latency(h.zone, u.zone)
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
		h.w.after(latency, func() { end(outcomeOf(status)) })
	}
	h.w.after(latency, func() {
		if u.down {
			h.w.after(connectTimeout, func() { end(refused) })
			return
		}
		u.arrive(j)
	})
	h.w.at(c.deadline, func() {
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
