package sim

import (
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// connectTimeout is the time after which a connection to a lost upstream is
// given up.
const connectTimeout = 250 * Millisecond

func (h *shardHost) send(a route.Action) {
	u := h.upstreamNamed(a.Upstream)
	c := h.calls[a.Request]
	link := h.w.sc.Deployment.link(h.zone, u.zone)
	s := &sending{id: a.Attempt, upstream: u, job: &job{deadline: c.deadline}}
	h.attempts[a.Attempt] = s
	if h.w.now >= warmUp {
		h.w.result.Attempts++
	}
	s.job.answer = func(status route.Status, load *route.LoadReport) {
		h.w.after(link, func() { h.finished(s, status, load) })
	}
	h.w.after(link, func() {
		if u.down {
			h.w.after(connectTimeout, func() { h.finished(s, route.NotSent, nil) })
			return
		}
		u.arrive(s.job)
	})
}

func (h *shardHost) finished(s *sending, status route.Status, load *route.LoadReport) {
	if s.over || h.down {
		return
	}
	s.over = true
	h.lastStatus = status
	h.apply(h.shard.AttemptEnded(h.now(), route.Result{Attempt: s.id, Status: status, Load: load}))
	delete(h.attempts, s.id)
}

// outcomeOfAttempt tells how the attempt ended whose end is being handled.
func (h *shardHost) outcomeOfAttempt(_ route.Action) outcome { return outcomeOf(h.lastStatus) }

// cancel closes the attempt's connection: its end is known at once, and the
// upstream learns of it after the link.
func (h *shardHost) cancel(a route.Action) {
	s := h.attempts[a.Attempt]
	if s == nil || s.over {
		return
	}
	s.over = true
	h.w.after(h.w.sc.Deployment.link(h.zone, s.upstream.zone), func() { s.upstream.cancel(s.job) })
	h.w.after(0, func() {
		delete(h.attempts, s.id)
		if !h.down {
			h.apply(h.shard.AttemptEnded(h.now(), route.Result{Attempt: s.id, Status: route.Cancelled}))
		}
	})
}

func (h *shardHost) forward(a route.Action) {
	c := h.calls[a.Request]
	i := slices.IndexFunc(h.w.hosts, func(o host) bool { return o.(*shardHost).name == a.Host })
	to := h.w.hosts[i].(*shardHost)
	link := h.w.sc.Deployment.link(h.zone, to.zone)
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
		h.w.after(link, func() { back(o, &d) })
	}
	h.w.after(link, func() {
		if to.down {
			back(refused, nil)
			return
		}
		to.take(passed)
	})
	h.w.at(c.deadline+1, func() { back(unknown, nil) })
}

// tell sends a digest to the other owners.
func (h *shardHost) tell(d route.Digest) {
	for _, o := range h.w.owners() {
		if o == h {
			continue
		}
		if h.w.now >= warmUp {
			h.w.result.Digests++
		}
		h.w.after(h.w.sc.Deployment.link(h.zone, o.zone), func() {
			if !o.down {
				o.apply(o.shard.ReceiveDigest(o.now(), d))
			}
		})
	}
}

func (h *shardHost) probe(name string) {
	u := h.upstreamNamed(name)
	link := h.w.sc.Deployment.link(h.zone, u.zone)
	span := 2*link + probeWork
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

func (h *shardHost) collect(r *Result) {
	c := h.shard.State().Counters
	r.Hedges += int(c.Hedged - h.measured.Hedged)
	r.Retries += int(c.Retried - h.measured.Retried)
	r.Hops += int(c.Forwarded - h.measured.Forwarded)
}
