package sim

import (
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// connectTimeout is the time after which connecting to a lost upstream fails.
const connectTimeout = 250 * Millisecond

// startAttempt sends a request to an upstream.
func (h *shardHost) startAttempt(a route.Action) {
	u := h.upstreamNamed(a.Upstream)
	c := h.calls[a.Request]
	latency := h.sim.sc.Deployment.latency(h.zone, u.zone)
	att := &attempt{id: a.Attempt, upstream: u, job: &job{deadline: c.deadline}}
	h.attempts[a.Attempt] = att
	if h.sim.now >= warmUp {
		h.sim.result.Attempts++
	}
	att.job.answer = func(status route.Status, load *route.LoadReport) {
		h.sim.after(latency, func() { h.attemptEnded(att, status, load) })
	}
	h.sim.after(latency, func() {
		if u.down {
			h.sim.after(connectTimeout, func() { h.attemptEnded(att, route.NotSent, nil) })
			return
		}
		u.arrive(att.job)
	})
}

// attemptEnded reports the end of an attempt to the shard, unless it has ended
// before or this host is down.
func (h *shardHost) attemptEnded(att *attempt, status route.Status, load *route.LoadReport) {
	if att.ended || h.down {
		return
	}
	att.ended = true
	h.lastStatus = status
	h.apply(h.shard.AttemptEnded(h.now(), route.Result{Attempt: att.id, Status: status, Load: load}))
	delete(h.attempts, att.id)
}

// outcomeOfAttempt returns the outcome of the attempt whose end is being
// processed.
func (h *shardHost) outcomeOfAttempt(_ route.Action) outcome { return outcomeOf(h.lastStatus) }

// cancelAttempt closes the connection of an attempt. The shard is notified
// without delay, the upstream after the network latency.
func (h *shardHost) cancelAttempt(a route.Action) {
	att := h.attempts[a.Attempt]
	if att == nil || att.ended {
		return
	}
	att.ended = true
	h.sim.after(h.sim.sc.Deployment.latency(h.zone, att.upstream.zone), func() { att.upstream.cancel(att.job) })
	h.sim.after(0, func() {
		delete(h.attempts, att.id)
		if !h.down {
			h.apply(h.shard.AttemptEnded(h.now(), route.Result{Attempt: att.id, Status: route.Cancelled}))
		}
	})
}

// forward passes a request on to another owner. Its answer carries a digest of
// that host. The outcome is unknown if no answer arrives by the deadline.
func (h *shardHost) forward(a route.Action) {
	c := h.calls[a.Request]
	i := slices.IndexFunc(h.sim.hosts, func(o host) bool { return o.(*shardHost).name == a.Host })
	to := h.sim.hosts[i].(*shardHost)
	latency := h.sim.sc.Deployment.latency(h.zone, to.zone)
	forwarded := &call{arrived: c.arrived, deadline: c.deadline, idempotent: c.idempotent, hops: c.hops + 1}
	open := true
	done := func(o outcome, d *route.Digest) {
		if !open || h.down {
			return
		}
		open = false
		if o != refused {
			h.end(a.Request, o)
		}
		h.apply(h.shard.ForwardEnded(h.now(), route.ForwardResult{
			Request: a.Request, Host: a.Host, NotRun: o == refused, Digest: d,
		}))
	}
	forwarded.end = func(o outcome) {
		d := to.shard.LocalDigest(to.now())
		h.sim.after(latency, func() { done(o, &d) })
	}
	h.sim.after(latency, func() {
		if to.down {
			done(refused, nil)
			return
		}
		to.handle(forwarded)
	})
	h.sim.at(c.deadline+1, func() { done(unknown, nil) })
}

// sendDigest sends this host's digest to all other owners.
func (h *shardHost) sendDigest(d route.Digest) {
	for _, o := range h.sim.owners() {
		if o == h {
			continue
		}
		if h.sim.now >= warmUp {
			h.sim.result.Digests++
		}
		h.sim.after(h.sim.sc.Deployment.latency(h.zone, o.zone), func() {
			if !o.down {
				o.apply(o.shard.ReceiveDigest(o.now(), d))
			}
		})
	}
}

// probe sends a health probe to an upstream and reports its result to the shard.
func (h *shardHost) probe(name string) {
	u := h.upstreamNamed(name)
	latency := h.sim.sc.Deployment.latency(h.zone, u.zone)
	elapsed := 2*latency + probeServiceTime
	if h.sim.now >= warmUp {
		h.sim.result.Probes++
	}
	h.sim.after(elapsed, func() {
		if h.down {
			return
		}
		load := u.load()
		h.apply(h.shard.ProbeEnded(h.now(), route.ProbeResult{
			Upstream: name, OK: !u.down && !u.failing, Latency: clock.Millis(elapsed / Millisecond), Load: &load,
		}))
	})
}

// collect adds the shard's counters since the end of the warm-up to r.
func (h *shardHost) collect(r *Result) {
	c := h.shard.State().Counters
	r.Hedges += int(c.Hedged - h.warmUpCounters.Hedged)
	r.Retries += int(c.Retried - h.warmUpCounters.Retried)
	r.Hops += int(c.Forwarded - h.warmUpCounters.Forwarded)
}
