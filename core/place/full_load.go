package place

import (
	"cmp"
	"math"

	"siskinpath/core/clock"
)

const (
	// initialFullSlowdown is the assumed slowdown of an upstream whose slots are all occupied,
	// until it has been seen.
	initialFullSlowdown = 1.45
	// fullSlowdownWeight is the weight of one answer in the observed slowdown.
	fullSlowdownWeight = 0.03
	// fullSlowdownMemory is how long an observed slowdown counts without a new one.
	fullSlowdownMemory = 20 * clock.Second
	// fullLoadDelay is how long a request waits for an upstream that is not slowed down before
	// it may take the last slots of one.
	fullLoadDelay = 25 * clock.Millisecond
)

// fullLoad observes by how much requests take longer at upstreams with all slots occupied.
type fullLoad struct {
	slowdown   float64
	observedAt clock.Millis
	fastTimes  map[string]float64 // by route: typical time where some slots were free, in ms
}

// record records the time of an answer, divided by the slowdown that the upstream reported.
func (f *fullLoad) record(now clock.Millis, route string, full bool, took float64) {
	fast := f.fastTimes[route]
	switch {
	case fast == 0 && full:
	case fast == 0:
		if f.fastTimes == nil {
			f.fastTimes = map[string]float64{}
		}
		f.fastTimes[route] = took
	case full:
		s := f.current(now)
		f.slowdown = s + fullSlowdownWeight*(min(took/fast, 2*s)-s)
		f.observedAt = now
	default:
		f.fastTimes[route] = fast + typicalTimeWeight*(min(took, 3*fast)-fast)
	}
}

func (f *fullLoad) current(now clock.Millis) float64 {
	if now-f.observedAt > fullSlowdownMemory {
		return initialFullSlowdown
	}
	return cmp.Or(f.slowdown, initialFullSlowdown)
}

// hasSlot reports whether u has a slot for r at an allocator: one at which it is not slowed
// down, or, if there has been none for a while, any as long as upstreams with all slots
// occupied complete at least as many requests.
func (p *Placer) hasSlot(now clock.Millis, r *request, u *upstream) bool {
	slots, next := float64(u.Slots), float64(u.load()+1)
	fast := max(1, math.Floor(highLoadShare*slots))
	return next <= fast || next <= slots && now-r.waitingSince >= fullLoadDelay && slots/p.fullLoad.current(now) >= fast
}
