package place

import (
	"cmp"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// Tick handles the timers that have expired.
func (p *Placer) Tick(now clock.Millis) []Action {
	var due []*request
	for _, r := range p.requests {
		if p.wakeAt(r) <= now {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, byPriority)
	for _, r := range due {
		p.wake(now, r)
	}
	if p.allocating {
		p.serveQueue(now)
	}
	p.probeForReach(now)
	p.wakeWarm(now)
	p.planWarmUp(now)
	return p.takeActions()
}

// NextTick returns when Tick is due, 0 for never.
func (p *Placer) NextTick() clock.Millis {
	var next clock.Millis
	for _, r := range p.requests {
		if at := p.wakeAt(r); next == 0 || at < next {
			next = at
		}
	}
	if p.warmUpAt > 0 && (next == 0 || p.warmUpAt < next) {
		next = p.warmUpAt
	}
	if p.reach.cutOff && (next == 0 || p.reach.probeAt < next) {
		next = p.reach.probeAt
	}
	return next
}

// wakeAt returns when the next timer of r expires.
func (p *Placer) wakeAt(r *request) clock.Millis {
	at := r.phaseTimer()
	if r.waits() && p.limitedByStop(r.Request) {
		at = min(at, p.sendUntil(r.Request))
	}
	return at
}

// phaseTimer returns when the next timer of r expires that comes from its phase.
func (r *request) phaseTimer() clock.Millis {
	switch r.phase {
	case probing, hedgeProbing:
		return min(r.GiveUp, r.probeUntil)
	case queued:
		at := min(r.GiveUp, r.waitUntil, r.reprobeAt)
		if r.lateFrom > 0 && !r.late {
			at = min(at, r.lateFrom)
		}
		return at
	case asking:
		return min(r.GiveUp, r.ask.until)
	}
	if r.hedgeAt > 0 {
		return min(r.GiveUp, r.hedgeAt)
	}
	return r.GiveUp
}

func (p *Placer) wake(now clock.Millis, r *request) {
	if r.phase == ended {
		return // completed by an earlier request of this Tick
	}
	switch {
	case now >= r.GiveUp:
		p.giveUp(now, r)
	case r.waits() && p.Outlasted(now, r.Request):
		p.refuse(now, r, route.ReasonStopping)
	case r.phase == probing:
		p.choose(now, r)
	case r.phase == hedgeProbing:
		p.hedge(now, r)
	case r.phase == asking:
		p.askLost(now, r)
	case r.phase == queued && r.lateFrom > 0 && !r.late && now >= r.lateFrom:
		p.turnLate(now, r)
	case r.phase == queued && now >= r.waitUntil:
		if u := p.lastResort(now, r); u != nil && !p.betterRefused(now, r, u) {
			p.send(now, r, u)
			return
		}
		if p.allInDoubt(now, r) {
			p.awaitProbes(now, r)
			return
		}
		p.turnAway(now, r, cmp.Or(r.lastReason, route.ReasonOverloaded))
	case r.phase == queued:
		p.reprobe(now, r)
	case r.hedgeAt > 0 && now >= r.hedgeAt:
		p.probeForHedge(now, r)
	}
}
