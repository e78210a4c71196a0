package place

import (
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// StoppingRetryAfter is the retry delay given by a host that stops: another one can take the
// request at once.
const StoppingRetryAfter = clock.Millisecond

// Stop says when this host stops. A request that may still be at an upstream then is not
// sent.
type Stop struct {
	// At is when the last answer can be given.
	At clock.Millis
	// LongUntil is until when requests that may run more than once are sent although they
	// may take until after At: few of them do, and their callers may send those again.
	LongUntil clock.Millis
}

// Excludes reports whether a request may not be sent now, whatever the usual time of its route.
// giveUp is the latest time of its answer.
func (s Stop) Excludes(now, giveUp clock.Millis, idempotent bool) bool {
	return s.At > 0 && giveUp > s.At && (!idempotent || now >= s.LongUntil)
}

// Outlasted reports whether a request that is sent now may still be unanswered when this
// host stops. Of the request, only Route, Target, GiveUp and Idempotent are used.
func (p *Placer) Outlasted(now clock.Millis, r Request) bool {
	return p.limitedByStop(r) && now >= p.sendUntil(r)
}

// limitedByStop reports whether this host may stop before the latest answer to r.
func (p *Placer) limitedByStop(r Request) bool { return p.stop.At > 0 && r.GiveUp > p.stop.At }

// sendUntil returns until when r, which is limited by the stop, is sent. One that may run more
// than once is sent as long as it is likely to be answered.
func (p *Placer) sendUntil(r Request) clock.Millis {
	if !r.Idempotent {
		return 0
	}
	return min(p.stop.LongUntil, p.stop.At-clock.Millis(lastStart*p.typicalTime(r.Route, r.Target)))
}

// waits reports whether r of this host is at no upstream and no other host.
func (r *request) waits() bool { return r.asker == nil && r.phase != ended && len(r.running) == 0 }

// SetStop makes this host refuse the requests that it may not answer before it stops: those
// that wait as soon as they can't be sent any more. Those that are at an upstream go on.
func (p *Placer) SetStop(now clock.Millis, s Stop) []Action {
	p.init()
	p.stop = s
	var waiting []*request
	for _, r := range p.requests {
		if r.waits() && p.Outlasted(now, r.Request) {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, byPriority)
	for _, r := range waiting {
		p.refuse(now, r, route.ReasonStopping)
	}
	return p.takeActions()
}

// Close ends all requests when this host ends: with Unknown if an upstream or another host has
// the request, as it may still run there.
func (p *Placer) Close(now clock.Millis) []Action {
	p.init()
	var open []*request
	for _, r := range p.requests {
		if r.asker == nil {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, byPriority)
	for _, r := range open {
		r.mayHaveRun = r.mayHaveRun || len(r.running) > 0
		p.refuse(now, r, route.ReasonStopping)
	}
	return p.takeActions()
}
