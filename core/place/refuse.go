package place

import (
	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// refuse ends r without success: with an upstream's error answer if there is one, with
// Unknown if an attempt may have run, and else with Refuse, which promises that it did
// not run.
func (p *Placer) refuse(now clock.Millis, r *request, reason route.Reason) {
	if r.fallback != 0 {
		p.finish(r, r.fallback)
		return
	}
	p.spentTime.recordRefusal(now)
	p.countWithheld(now, r)
	if r.asker != nil {
		p.deny(now, r, reason)
		return
	}
	p.remove(r)
	if r.mayHaveRun {
		p.emit(route.Action{Kind: route.Unknown, Request: r.ID, Reason: reason})
		return
	}
	if reason == route.ReasonOverloaded {
		p.throughput.recordRefusal(now)
	}
	after := p.retryAfter(now, r, reason)
	p.actions = append(p.actions, Action{
		Action:  route.Action{Kind: route.Refuse, Request: r.ID, Reason: reason, RetryAfter: after},
		Refusal: p.refusalDetail(now, r),
	})
}

// retryAfter returns when the caller of a refused request may come back.
func (p *Placer) retryAfter(now clock.Millis, r *request, reason route.Reason) clock.Millis {
	if reason == route.ReasonEvacuated {
		return evacuatedRetryAfter
	}
	if reason == route.ReasonStopping {
		return StoppingRetryAfter
	}
	if r.shed && !p.Tuning.NoPromptReturn && reason == route.ReasonUpstreamRefused && p.backPressureLeft(now, r) == 0 {
		return max(r.retryAfter, shedRetryAfter/2+clock.Millis(p.Rand.Int64N(int64(shedRetryAfter))))
	}
	after := max(r.retryAfter, p.retryDelay.RecordRefusal(now, clock.Millis(p.typicalTime(r.Route, r.Target)/4), p.Rand))
	if left := p.backPressureLeft(now, r); left > 0 {
		after += left
	}
	return after
}

func (p *Placer) refusalDetail(now clock.Millis, r *request) RefusalDetail {
	if r.denied != nil {
		c := *r.denied
		c.Waited, c.Allocator = now-r.Arrived, r.deniedBy
		return c
	}
	c := RefusalDetail{Waited: now - r.Arrived, Probed: len(r.probed), Upstreams: len(p.upstreams), Queued: len(p.queue), OutOfReach: p.outOfReach()}
	for _, u := range p.upstreams {
		if !p.usable(now, r, u) {
			if p.inUse(now, r, u) {
				c.Cold++
			}
			continue
		}
		c.Usable++
		if p.hasRoom(now, r, u) {
			c.WithRoom++
		}
	}
	return c
}

// giveUp ends a request that has reached its deadline.
func (p *Placer) giveUp(now clock.Millis, r *request) {
	if len(r.running) > 0 {
		for _, a := range r.running {
			p.recordTimeout(now, a)
		}
		r.mayHaveRun = true
		p.refuse(now, r, route.ReasonTimeout)
		return
	}
	p.refuse(now, r, route.ReasonDeadline)
}
