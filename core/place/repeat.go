package place

import (
	"cmp"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// mostTries is how many upstreams a request that reaches none is offered to.
	mostTries = 4
	// hedgeReserve is the share of the second sends that may be saved up beyond one
	// which is kept back for requests that failed.
	hedgeReserve = 0.5
	// slowHedge is the slowdown from which an upstream is helped out.
	slowHedge = 1.6
	// fastHedge is the slowdown up to which an upstream gets second sends, and
	// hedgeFill the share of its slots.
	fastHedge = 1.3
	hedgeFill = 0.8
	// leastHedgeAge is the least age of an attempt, in usual times, at which it is
	// looked after: sooner nothing is known of it.
	leastHedgeAge = 0.4
)

// settle decides how a request goes on after an attempt of it has ended.
func (p *Placer) settle(now clock.Millis, r *request, a *attempt, status route.Status) {
	switch status {
	case route.Succeeded:
		p.finish(r, a.id)
		return
	case route.Errored:
		r.arrivals++
		r.fallback = a.id
		r.lastFault = route.ReasonUpstreamRefused
	case route.Refused:
		r.arrivals++
		r.lastFault = route.ReasonUpstreamRefused
	case route.ConnectionLost, route.Cancelled:
		r.arrivals++
		r.mayHaveRun = true
		r.lastFault = route.ReasonConnectionLost
	case route.NotSent:
		r.lastFault = route.ReasonNoUpstream
	}
	if len(r.running) > 0 {
		return // another attempt may still answer
	}
	if !p.mayRepeat(now, r, status) {
		p.refuse(now, r, cmp.Or(r.lastFault, route.ReasonOverloaded))
		return
	}
	r.waitUntil = max(r.waitUntil, now+p.Tuning.AskWait)
	p.seek(now, r)
}

// mayRepeat tells whether r may be sent once more, and pays for it.
func (p *Placer) mayRepeat(now clock.Millis, r *request, status route.Status) bool {
	if r.mayHaveRun && !r.Idempotent || r.fallback != 0 && !r.Idempotent {
		return false
	}
	if now >= r.GiveUp || len(r.tried) >= mostTries {
		return false
	}
	if status == route.NotSent && r.arrivals == 0 {
		return true
	}
	return r.arrivals < max(1, r.MaxAttempts) && p.repeats.Spend()
}

// planHedge sets when it is looked whether r needs a second upstream: as late as
// one that is asked then can still answer within the target.
func (p *Placer) planHedge(r *request, a *attempt) {
	if p.Tuning.NoHedge || !r.Idempotent || r.MaxAttempts < 2 || len(r.running) > 1 || r.arrivals > 0 {
		return
	}
	usual := p.usualTime(r.Route, r.Target)
	latest := r.Arrived + r.Target - clock.Millis(p.Tuning.HedgeBefore*usual) - p.Tuning.AskWait
	if latest < a.started+clock.Millis(usual*leastHedgeAge) {
		return // the first has hardly begun by then
	}
	r.hedgeAt = latest
}

// check asks the upstream that has r, and others, how slow they are now.
func (p *Placer) check(now clock.Millis, r *request) {
	r.hedgeAt = 0
	if p.repeats.Kept() < 1+hedgeReserve*(p.repeats.Burst-1) || len(r.running) != 1 || !p.sparesProbes(now) {
		return
	}
	r.phase = checking
	r.asked = r.asked[:0]
	r.askUntil = now + p.Tuning.AskWait
	p.measure(now, r, r.running[0].upstream)
	p.ask(now, r)
	if !slices.ContainsFunc(r.asked, func(u *upstream) bool { return u.probing }) {
		p.hedge(now, r)
	}
}

// hedge sends r to a second upstream when the one that has it is slow now, and
// the other is fast and has room.
func (p *Placer) hedge(now clock.Millis, r *request) {
	r.phase = sent
	if len(r.running) != 1 {
		return
	}
	has := r.running[0].upstream
	if !has.probing && has.slowdownAt(now, p.slowdown) < slowHedge {
		return
	}
	u := p.bestOf(now, r, r.asked)
	if u == nil || u.slowdownAt(now, p.slowdown) > fastHedge || float64(u.load()+1) > hedgeFill*float64(u.Slots) {
		return
	}
	if p.repeats.Spend() {
		p.send(now, r, u)
	}
}
