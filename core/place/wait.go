package place

import (
	"math"

	"siskinpath/core/clock"
)

// planWait sets how long r may wait for a slot.
//
// A host that decides by itself knows nothing of the requests of others, so that r waits
// for a share of its target only. An allocator has all of them in one queue: there r waits
// as long as it can be in time, and then behind those that still can, as an answer that is
// late is worth more to its caller than none.
func (p *Placer) planWait(now clock.Millis, r *request) {
	r.waitUntil = min(r.GiveUp, r.Arrived+clock.Millis(p.waitShare(now, r)*float64(r.Target)))
	if !p.allocates(now) || p.Tuning.NoPatience {
		return
	}
	typical := clock.Millis(p.typicalTime(r.Route, r.Target))
	r.lateFrom = r.Arrived + r.Target - typical
	if !p.Tuning.NoReturnOrder {
		r.lateFrom -= p.spentTime.of(now, r.Route, r.CallerLeft)
	}
	r.late = r.lateFrom <= now
	r.waitUntil = max(r.waitUntil, r.GiveUp-clock.Millis(lastStart*float64(typical)))
}

// lastStart is how long before the latest answer to a request it may be sent, as a multiple
// of the typical time of its route.
const lastStart = 1.5

// waitsBehind reports whether requests that go before r wait at an allocator, so that a slot
// that has been found is theirs.
func (p *Placer) waitsBehind(r *request) bool {
	return r.lateFrom > 0 && len(p.queue) > 0 && byPriority(p.queue[0], r) < 0
}

// hasSlot reports whether u has a slot free at an allocator. u is kept at the load at which
// it is not slowed down, if it completes more requests then than with all slots occupied.
func (p *Placer) hasSlot(now clock.Millis, u *upstream) bool {
	slots := float64(u.Slots)
	if fast := math.Floor(highLoadShare * slots); fast >= slots/highLoadFactor {
		slots = fast
	}
	return float64(p.load(now, u)+1) <= slots
}

// wastesSlot reports whether u is too slow for r at an allocator, although it has room. A
// request keeps the speed with which it starts, and would occupy the slot for longer than
// most slow spells last.
func (p *Placer) wastesSlot(now clock.Millis, r *request, u *upstream) bool {
	return r.lateFrom > 0 && now < r.waitUntil && u.slowdownAt(now, p.meanSlowdown) >= slowThreshold
}

// turnLate sends r, which can just be in time, to whatever upstream has room, or moves it
// behind the requests that can be in time.
func (p *Placer) turnLate(now clock.Millis, r *request) {
	if u := p.lastResort(now, r); u != nil {
		p.send(now, r, u)
		return
	}
	p.dequeue(r)
	r.late = true
	p.enqueue(now, r)
}
