package route

import "siskinpath/core/clock"

const (
	// stragglerFactor is the multiple of the 90th percentile of latencies above
	// which the age of a request in flight makes its upstream a straggler.
	stragglerFactor = 2.5
	// stragglerQueueRatio is the number of waiting requests per slot of a
	// non-straggler above which the slots of stragglers are used as well.
	stragglerQueueRatio = 0.5
	dispatchScanLimit   = 8 // queued requests examined for one that a free upstream can take
)

// candidates are the upstreams with a free slot for one request, by preference.
type candidates struct {
	healthy    []*upstream
	stragglers []*upstream // avoided while the queue is short
	lastResort []*upstream // failing or draining
}

// picks are the best upstream of each group of candidates, nil for none.
type picks struct {
	healthy    *upstream
	straggler  *upstream
	lastResort *upstream
}

// choose returns the best upstreams with a free slot for r.
func (s *Shard) choose(now clock.Millis, r *request) (c picks) {
	s.classifyUpstreams(now, r)
	if list := s.found.healthy; len(list) > 0 {
		c.healthy = list[s.policy.Choose(now, list)]
	}
	if list := s.found.stragglers; len(list) > 0 {
		c.straggler = list[youngestInFlight{}.Choose(now, list)]
	}
	if list := s.found.lastResort; len(list) > 0 {
		c.lastResort = list[s.policy.Choose(now, list)]
	}
	return c
}

// classifyUpstreams groups the upstreams that could take r now into s.found.
func (s *Shard) classifyUpstreams(now clock.Millis, r *request) {
	f := &s.found
	f.healthy, f.stragglers, f.lastResort = f.healthy[:0], f.stragglers[:0], f.lastResort[:0]
	for _, u := range s.upstreams {
		switch {
		case !s.canAccept(now, u), r.isRunningAt(u), r.hasTried(u) && s.hasUntried(r):
		case u.health == lastResort:
			f.lastResort = append(f.lastResort, u)
		case s.isStraggler(now, u):
			f.stragglers = append(f.stragglers, u)
		default:
			f.healthy = append(f.healthy, u)
		}
	}
}

// canAccept reports whether u has a free slot and its rate limit allows a request.
// Otherwise, when the rate limit is the obstacle, it records when that has room.
func (s *Shard) canAccept(now clock.Millis, u *upstream) bool {
	if !u.acceptsWork() || u.health == ejected || u.inFlight >= u.limit(&s.Ablation) {
		return false
	}
	if u.rate.Ready(now) {
		u.rateReadyAt = 0
		return true
	}
	u.rateReadyAt = u.rate.NextAt(now)
	return false
}

// hasUntried reports whether a usable upstream exists that r has not tried.
func (s *Shard) hasUntried(r *request) bool {
	for _, u := range s.upstreams {
		if u.acceptsWork() && u.health != ejected && !r.hasTried(u) {
			return true
		}
	}
	return false
}

// isStraggler reports whether u's oldest request has been in flight for longer than
// the service's latencies explain.
func (s *Shard) isStraggler(now clock.Millis, u *upstream) bool {
	return !s.Ablation.NoStragglerAvoidance && s.exceedsStragglerAge(u.oldestAge(now))
}

// exceedsStragglerAge reports whether an attempt of this age has been in flight for
// longer than the service's latencies explain.
func (s *Shard) exceedsStragglerAge(age clock.Millis) bool {
	return s.latencies.hasQuantiles() && float64(age) > stragglerFactor*s.latencies.p90
}

// selectUpstream returns the pick to use while n requests wait, nil when r should
// wait too. It never returns the upstream of last resort.
func (s *Shard) selectUpstream(now clock.Millis, c picks, n int) *upstream {
	if c.healthy != nil {
		return c.healthy
	}
	if c.straggler != nil && s.queueJustifiesStragglers(now, n) {
		return c.straggler
	}
	return nil
}

// queueJustifiesStragglers reports whether n waiting requests are too many for the
// slots of non-stragglers alone.
func (s *Shard) queueJustifiesStragglers(now clock.Millis, n int) bool {
	slots := 0
	for _, u := range s.upstreams {
		if u.acceptsWork() && u.health == healthy && !s.isStraggler(now, u) {
			slots += u.limit(&s.Ablation)
		}
	}
	return float64(n+1) > stragglerQueueRatio*float64(slots)
}

// healthySlots returns the number of slots of healthy upstreams, used or not.
func (s *Shard) healthySlots() int {
	n := 0
	for _, u := range s.upstreams {
		if u.acceptsWork() && u.health == healthy {
			n += u.limit(&s.Ablation)
		}
	}
	return n
}

// spareSlots returns the number of free slots at upstreams that are not
// stragglers.
func (s *Shard) spareSlots(now clock.Millis) int {
	n := 0
	for _, u := range s.upstreams {
		if !s.isStraggler(now, u) {
			n += u.free(&s.Ablation)
		}
	}
	return n
}

// estimateWait estimates how long a request waits behind n others; 0 while latencies
// are not known.
func (s *Shard) estimateWait(n int) clock.Millis {
	if !s.latencies.hasQuantiles() {
		return 0
	}
	slots := max(1, s.healthySlots())
	return clock.Millis(float64(n+1) * s.latencies.mean / float64(slots))
}
