package route

import "siskinpath/core/clock"

const (
	// stragglerFactor times the 90th percentile is the age from which a request
	// in flight makes its upstream a straggler.
	stragglerFactor = 2.5
	queueLook       = 8 // queued requests looked at for a free upstream
)

// choice is the best upstream of each kind for one request.
type choice struct {
	good      *upstream // ordinary
	straggler *upstream // passed over while the queue is short
	last      *upstream // failing or draining
}

// choose looks for a free slot for r.
func (s *Shard) choose(now clock.Millis, r *request) choice {
	var c choice
	var costs [3]float64
	for _, u := range s.upstreams {
		if !s.takes(now, u) || r.hasTried(u) && s.otherThan(r) || r.runsAt(u) {
			continue
		}
		cost := u.cost(&s.Tuning)
		switch {
		case u.standing == lastUsed:
			better(s, &c.last, &costs[0], u, cost)
		case s.straggling(now, u):
			better(s, &c.straggler, &costs[1], u, float64(u.oldestAge(now)))
		default:
			better(s, &c.good, &costs[2], u, cost)
		}
	}
	return c
}

// better replaces *best by u when u costs less, and at times when it costs the same.
func better(s *Shard, best **upstream, least *float64, u *upstream, cost float64) {
	if *best == nil || cost < *least || cost == *least && s.Rand.Uint64()&1 == 0 {
		*best = u
		*least = cost
	}
}

// takes tells whether u has a slot and a token free.
func (s *Shard) takes(now clock.Millis, u *upstream) bool {
	if !u.inUse() || u.standing == ejected || u.inFlight >= u.limit(&s.Tuning) {
		return false
	}
	if u.rate.Ready(now) {
		u.bucketAt = 0
		return true
	}
	u.bucketAt = u.rate.NextAt(now)
	return false
}

// otherThan tells whether there is an upstream in use that r has not tried.
func (s *Shard) otherThan(r *request) bool {
	for _, u := range s.upstreams {
		if u.inUse() && u.standing != ejected && !r.hasTried(u) {
			return true
		}
	}
	return false
}

// straggling tells whether u's oldest request has been in flight for longer
// than the service's own latencies explain.
func (s *Shard) straggling(now clock.Millis, u *upstream) bool {
	if s.Tuning.NoPassOver || !s.latencies.trusted() {
		return false
	}
	return float64(u.oldestAge(now)) > stragglerFactor*s.latencies.p90
}

// pick settles which of a choice is used, when n requests wait: a straggler
// only when waiting would take longer than it has taken already.
func (s *Shard) pick(now clock.Millis, c choice, n int) *upstream {
	if c.good != nil {
		return c.good
	}
	if c.straggler != nil && s.waitFor(n) > c.straggler.oldestAge(now) {
		return c.straggler
	}
	return nil
}

// slots returns the slots of upstreams that take work, used or not.
func (s *Shard) slots() int {
	n := 0
	for _, u := range s.upstreams {
		if u.inUse() && u.standing == good {
			n += u.limit(&s.Tuning)
		}
	}
	return n
}

// spare returns the slots that are free and not at a straggler.
func (s *Shard) spare(now clock.Millis) int {
	n := 0
	for _, u := range s.upstreams {
		if !s.straggling(now, u) {
			n += u.free(&s.Tuning)
		}
	}
	return n
}

// waitFor estimates how long a request waits behind n others.
func (s *Shard) waitFor(n int) clock.Millis {
	if !s.latencies.trusted() {
		return 0
	}
	slots := max(1, s.slots())
	return clock.Millis(float64(n+1) * s.latencies.mean / float64(slots))
}
