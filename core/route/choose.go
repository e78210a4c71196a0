package route

import "siskinpath/core/clock"

const (
	// stragglerFactor times the 90th percentile is the age from which a request
	// in flight makes its upstream a straggler.
	stragglerFactor = 2.5
	// stragglerWait is the number of waiting requests, for each slot that is not
	// at a straggler, from which a straggler's slot is used all the same.
	stragglerWait = 0.5
	queueLook     = 8 // queued requests looked at for a free upstream
)

// candidates are the upstreams with a free slot for one request.
type candidates struct {
	good       []*upstream
	stragglers []*upstream // passed over while the queue is short
	last       []*upstream // failing or draining
}

// choice is the best upstream of each kind, nil for none.
type choice struct {
	good      *upstream
	straggler *upstream
	last      *upstream
}

// choose looks for a free slot for r.
func (s *Shard) choose(now clock.Millis, r *request) (c choice) {
	s.gather(now, r)
	if list := s.found.good; len(list) > 0 {
		c.good = list[s.policy.Choose(now, list)]
	}
	if list := s.found.stragglers; len(list) > 0 {
		c.straggler = list[youngest{}.Choose(now, list)]
	}
	if list := s.found.last; len(list) > 0 {
		c.last = list[s.policy.Choose(now, list)]
	}
	return c
}

// gather sorts the upstreams that could take r now by kind.
func (s *Shard) gather(now clock.Millis, r *request) {
	f := &s.found
	f.good, f.stragglers, f.last = f.good[:0], f.stragglers[:0], f.last[:0]
	for _, u := range s.upstreams {
		switch {
		case !s.takes(now, u), r.runsAt(u), r.hasTried(u) && s.otherThan(r):
		case u.standing == lastUsed:
			f.last = append(f.last, u)
		case s.straggling(now, u):
			f.stragglers = append(f.stragglers, u)
		default:
			f.good = append(f.good, u)
		}
	}
}

// takes tells whether u has a slot and a token free.
func (s *Shard) takes(now clock.Millis, u *upstream) bool {
	if !u.inUse() || u.standing == ejected || u.inFlight >= u.limit(&s.Ablation) {
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
	return !s.Ablation.NoStragglerAvoidance && s.straggled(u.oldestAge(now))
}

// straggled tells whether an attempt of this age has been in flight for longer
// than the service's own latencies explain.
func (s *Shard) straggled(age clock.Millis) bool {
	return s.latencies.trusted() && float64(age) > stragglerFactor*s.latencies.p90
}

// pick settles which of a choice is used, when n requests wait.
func (s *Shard) pick(now clock.Millis, c choice, n int) *upstream {
	if c.good != nil {
		return c.good
	}
	if c.straggler != nil && s.waitsLong(now, n) {
		return c.straggler
	}
	return nil
}

// waitsLong tells whether n requests wait long for the slots that are not at
// stragglers.
func (s *Shard) waitsLong(now clock.Millis, n int) bool {
	slots := 0
	for _, u := range s.upstreams {
		if u.inUse() && u.standing == good && !s.straggling(now, u) {
			slots += u.limit(&s.Ablation)
		}
	}
	return float64(n+1) > stragglerWait*float64(slots)
}

// slots returns the slots of upstreams that take work, used or not.
func (s *Shard) slots() int {
	n := 0
	for _, u := range s.upstreams {
		if u.inUse() && u.standing == good {
			n += u.limit(&s.Ablation)
		}
	}
	return n
}

// spare returns the slots that are free and not at a straggler.
func (s *Shard) spare(now clock.Millis) int {
	n := 0
	for _, u := range s.upstreams {
		if !s.straggling(now, u) {
			n += u.free(&s.Ablation)
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
