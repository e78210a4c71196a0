package place

import (
	"cmp"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// mostTries is how many upstreams a request that reaches none is offered to.
	mostTries = 4
	// hedgeReserve is how many second sends are kept back for requests that failed.
	hedgeReserve = 1.0
	// hedgeSlowdown is the slowdown up to which an upstream gets second sends.
	hedgeSlowdown = 1.3
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
		r.lastFault = route.ReasonRefused
	case route.Refused:
		r.arrivals++
		r.lastFault = route.ReasonRefused
	case route.Lost, route.Cancelled:
		r.arrivals++
		r.mayHaveRun = true
		r.lastFault = route.ReasonLost
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
	return r.arrivals < max(1, r.MaxAttempts) && p.seconds.Spend()
}

// planHedge sets when r is sent to a second upstream, if it may be. The first
// attempt has had its usual time by then, and the second still has its own
// before the target.
func (p *Placer) planHedge(r *request, a *attempt) {
	if p.Tuning.NoHedge || !r.Idempotent || r.MaxAttempts < 2 || len(r.running) > 1 || r.arrivals > 0 {
		return
	}
	usual := p.usualTime(r.Route, r.Target)
	r.hedgeAt = a.started + clock.Millis(p.Tuning.HedgeAfter*usual)
}

// hedge sends r to a second upstream when one is known to be fast and the budget
// has more than what failures need.
func (p *Placer) hedge(now clock.Millis, r *request) {
	r.hedgeAt = 0
	if p.seconds.Kept() < 1+hedgeReserve {
		return
	}
	u := p.likeliest(now, r)
	if u == nil || !p.room(r, u) || u.slowdownAt(now, p.slowdown) > max(hedgeSlowdown, p.slowdown) {
		return
	}
	if p.seconds.Spend() {
		p.send(now, r, u)
	}
}
