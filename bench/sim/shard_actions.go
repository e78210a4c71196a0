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
	latency := h.w.sc.Deployment.latency(h.zone, u.zone)
	s := &attempt{id: a.Attempt, upstream: u, job: &job{deadline: c.deadline}}
	h.attempts[a.Attempt] = s
	if h.w.now >= warmUp {
		h.w.result.Attempts++
	}
	s.job.answer = func(status route.Status, load *route.LoadReport) {
		h.w.after(latency, func() { h.attemptEnded(s, status, load) })
	}
	h.w.after(latency, func() {
		if u.down {
			h.w.after(connectTimeout, func() { h.attemptEnded(s, route.NotSent, nil) })
			return
		}
		u.arrive(s.job)
	})
}

// attemptEnded reports the end of an attempt to the shard, unless it has ended
// before or this host is down.
func (h *shardHost) attemptEnded(s *attempt, status route.Status, load *route.LoadReport) {
	if s.ended || h.down {
		return
	}
	s.ended = true
	h.lastStatus = status
	h.apply(h.shard.AttemptEnded(h.now(), route.Result{Attempt: s.id, Status: status, Load: load}))
	delete(h.attempts, s.id)
}

// outcomeOfAttempt returns the outcome of the attempt whose end is being
// processed.
func (h *shardHost) outcomeOfAttempt(_ route.Action) outcome { return outcomeOf(h.lastStatus) }

// cancelAttempt closes the connection of an attempt. The shard is notified
// without delay, the upstream after the network latency.
func (h *shardHost) cancelAttempt(a route.Action) {
	s := h.attempts[a.Attempt]
	if s == nil || s.ended {
		return
	}
	s.ended = true
	h.w.after(h.w.sc.Deployment.latency(h.zone, s.upstream.zone), func() { s.upstream.cancel(s.job) })
	h.w.after(0, func() {
		delete(h.attempts, s.id)
		if !h.down {
			h.apply(h.shard.AttemptEnded(h.now(), route.Result{Attempt: s.id, Status: route.Cancelled}))
		}
	})
}

// forward passes a request on to another owner. Its answer carries a digest of
// that host. The outcome is unknown if no answer arrives by the deadline.
func (h *shardHost) forward(a route.Action) {
	c := h.calls[a.Request]
	i := slices.IndexFunc(h.w.hosts, func(o host) bool { return o.(*shardHost).name == a.Host })
	to := h.w.hosts[i].(*shardHost)
	latency := h.w.sc.Deployment.latency(h.zone, to.zone)
	passed := &call{arrived: c.arrived, deadline: c.deadline, idempotent: c.idempotent, hops: c.hops + 1}
	open := true
	back := func(o outcome, d *route.Digest) {
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
	passed.end = func(o outcome) {
		d := to.shard.LocalDigest(to.now())
		h.w.after(latency, func() { back(o, &d) })
	}
	h.w.after(latency, func() {
		if to.down {
			back(refused, nil)
			return
		}
		to.handle(passed)
	})
	h.w.at(c.deadline+1, func() { back(unknown, nil) })
}

// sendDigest sends this host's digest to all other owners.
func (h *shardHost) sendDigest(d route.Digest) {
	for _, o := range h.w.owners() {
		if o == h {
			continue
		}
		if h.w.now >= warmUp {
			h.w.result.Digests++
		}
		h.w.after(h.w.sc.Deployment.latency(h.zone, o.zone), func() {
			if !o.down {
				o.apply(o.shard.ReceiveDigest(o.now(), d))
			}
		})
	}
}

// probe sends a health probe to an upstream and reports its result to the shard.
func (h *shardHost) probe(name string) {
	u := h.upstreamNamed(name)
	latency := h.w.sc.Deployment.latency(h.zone, u.zone)
	span := 2*latency + probeServiceTime
	if h.w.now >= warmUp {
		h.w.result.Probes++
	}
	h.w.after(span, func() {
		if h.down {
			return
		}
		load := u.load()
		h.apply(h.shard.ProbeEnded(h.now(), route.ProbeResult{
			Upstream: name, OK: !u.down && !u.failing, Latency: clock.Millis(span / Millisecond), Load: &load,
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
