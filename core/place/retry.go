package place

import (
	"cmp"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// maxTries is how many upstreams are tried for a request that none of them receives.
	maxTries = 4
	// hedgeReserve is the share of the retry budget, beyond one send, that is reserved
	// for retries and not spent on hedges.
	hedgeReserve = 0.5
	// firstTryReserve and normalReserve are the shares of the retry budget, beyond one
	// send, that are reserved from retries of requests whose caller has not come back, and
	// of those that are not urgent.
	firstTryReserve = 0.5
	normalReserve   = 0.3
	// hedgeFromSlowdown is the least slowdown of the current upstream for a hedge.
	hedgeFromSlowdown = 1.6
	// hedgeToMaxSlowdown and hedgeToMaxFill are the highest slowdown and the highest
	// share of occupied slots of an upstream that a hedge is sent to.
	hedgeToMaxSlowdown = 1.3
	hedgeToMaxFill     = 0.8
	// minHedgeAge is the least age of an attempt at which a hedge is considered, as a
	// multiple of the typical time. Earlier, nothing is known about its progress.
	minHedgeAge = 0.4
)

// afterAttempt finishes, retries or refuses r after its attempt a has ended.
func (p *Placer) afterAttempt(now clock.Millis, r *request, a *attempt, status route.Status) {
	switch status {
	case route.Succeeded:
		p.finish(r, a.id)
		return
	case route.Errored:
		r.arrivals++
		r.fallback = a.id
		r.lastReason = route.ReasonUpstreamRefused
	case route.Refused:
		r.arrivals++
		r.lastReason = route.ReasonUpstreamRefused
	case route.ConnectionLost:
		r.arrivals++
		r.mayHaveRun = true
		r.lastReason = route.ReasonConnectionLost
	case route.Cancelled:
		r.arrivals++
		r.mayHaveRun = true
		r.lastReason = route.ReasonReplyMemory
	case route.NotSent:
		r.lastReason = route.ReasonNoUpstream
	}
	if len(r.running) > 0 {
		return // another attempt may still answer
	}
	if r.withheld {
		p.refuse(now, r, route.ReasonQuarantined)
		return
	}
	if !p.mayRetry(now, r, status) {
		p.refuse(now, r, cmp.Or(r.lastReason, route.ReasonOverloaded))
		return
	}
	r.waitUntil = max(r.waitUntil, now+p.Tuning.ProbeWait)
	p.findSlot(now, r)
}

// Withhold stops a request from being sent to further upstreams. If none runs it, it is
// refused, and its caller told to come back after span. Attempts in flight go on.
func (p *Placer) Withhold(now clock.Millis, id route.RequestID, span clock.Millis) []Action {
	r := p.requests[id]
	if r == nil {
		return nil
	}
	r.withheld, r.retryAfter = true, span
	r.hedgeAt = 0
	if len(r.running) > 0 {
		r.phase = sent
		return nil
	}
	p.refuse(now, r, route.ReasonQuarantined)
	return p.takeActions()
}

// mayRetry reports whether r may be sent again, and withdraws from the retry budget
// if an upstream has received it before.
func (p *Placer) mayRetry(now clock.Millis, r *request, status route.Status) bool {
	if r.mayHaveRun && !r.Idempotent || r.fallback != 0 && !r.Idempotent {
		return false
	}
	if now >= r.GiveUp || len(r.tried) >= maxTries {
		return false
	}
	if status == route.Cancelled {
		return false // there would be no memory for another reply either
	}
	if status == route.NotSent && r.arrivals == 0 {
		return true
	}
	return r.arrivals < max(1, r.MaxAttempts) && p.mayUseRetry(r, status) && p.repeatBudget.Withdraw()
}

// mayUseRetry reports whether the retry budget holds enough for r, which an upstream has
// refused. A part is reserved for urgent requests, and one for callers that came back: the
// others have another chance, as they come back.
func (p *Placer) mayUseRetry(r *request, status route.Status) bool {
	if status != route.Refused || !p.cfg.Overload || p.Tuning.NoShedRules {
		return true
	}
	reserved := 0.0
	if !r.CameBack {
		reserved += firstTryReserve
	}
	if r.Priority >= p.Tuning.FirstNormalPriority {
		reserved += normalReserve
	}
	return p.repeatBudget.Balance() >= 1+reserved*(p.repeatBudget.Burst-1)
}

// planHedge sets when a hedge of r is considered: the latest time at which a second
// upstream can still answer within the target.
func (p *Placer) planHedge(r *request, a *attempt) {
	if p.Tuning.NoHedge || !r.Idempotent || r.MaxAttempts < 2 || len(r.running) > 1 || r.arrivals > 0 {
		return
	}
	typical := p.typicalTime(r.Route, r.Target)
	latest := r.Arrived + r.Target - clock.Millis(p.Tuning.HedgeLeadTime*typical) - p.Tuning.ProbeWait
	if latest < a.started+clock.Millis(typical*minHedgeAge) {
		return // too early to judge the first attempt
	}
	r.hedgeAt = latest
}

// probeForHedge probes the upstream that has r and other candidates, to decide on a
// hedge.
func (p *Placer) probeForHedge(now clock.Millis, r *request) {
	r.hedgeAt = 0
	if p.repeatBudget.Balance() < 1+hedgeReserve*(p.repeatBudget.Burst-1) || len(r.running) != 1 || !p.hasSpareProbes(now) {
		return
	}
	r.phase = hedgeProbing
	r.probed = r.probed[:0]
	r.probeUntil = now + p.Tuning.ProbeWait
	p.probeUpstream(now, r, r.running[0].upstream)
	p.probeMore(now, r)
	if !slices.ContainsFunc(r.probed, func(u *upstream) bool { return u.probing }) {
		p.hedge(now, r)
	}
}

// hedge sends r to a second upstream if the current one is slow, or has not answered
// the probe, and the second is fast and has room.
func (p *Placer) hedge(now clock.Millis, r *request) {
	r.phase = sent
	if len(r.running) != 1 || r.running[0].host != "" {
		return
	}
	current := r.running[0].upstream
	if !current.probing && current.slowdownAt(now, p.meanSlowdown) < hedgeFromSlowdown {
		return
	}
	u := p.cheapestOf(now, r, r.probed)
	if u == nil && p.outOfReach() && p.chooseHost(now, r) != "" && p.repeatBudget.Withdraw() {
		p.forward(now, r)
		return
	}
	if u == nil || u.slowdownAt(now, p.meanSlowdown) > hedgeToMaxSlowdown || float64(p.load(now, u)+1) > hedgeToMaxFill*float64(u.Slots) {
		return
	}
	if p.repeatBudget.Withdraw() {
		p.send(now, r, u)
	}
}
