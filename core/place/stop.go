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

// outlasted reports whether a request that is sent now may still be unanswered when the host
// stops.
func (s Stop) outlasted(now, giveUp clock.Millis, idempotent bool) bool {
	return s.At > 0 && giveUp > s.At && (!idempotent || now >= s.LongUntil)
}

// Outlasted reports whether a request that is sent now may still be unanswered when this
// host stops. giveUp is the latest time of its answer.
func (p *Placer) Outlasted(now, giveUp clock.Millis, idempotent bool) bool {
	return p.stop.outlasted(now, giveUp, idempotent)
}

// SetStop makes this host refuse the requests that it may not answer before it stops. Those
// that are at an upstream go on.
func (p *Placer) SetStop(now clock.Millis, s Stop) []Action {
	p.init()
	p.stop = s
	var waiting []*request
	for _, r := range p.requests {
		if r.asker == nil && len(r.running) == 0 && p.Outlasted(now, r.GiveUp, r.Idempotent) {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, byPriority)
	for _, r := range waiting {
		p.refuse(now, r, route.ReasonStopping)
	}
	return p.takeActions()
}
