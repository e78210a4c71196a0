package route

import "siskinpath/core/clock"

const (
	failuresInARow   = 5   // after which an upstream is ejected
	returnFailures   = 2   // the same, for one that has just returned
	ejectBelow       = 0.5 // success share below which an upstream is ejected
	ejectSamples     = 10  // attempts before the success share means anything
	returnSuccess    = 0.8 // success share from which an upstream is good again
	drainDoubted     = 3   // new answers after which such a report no longer counts
	successesForgive = 10
)

// learn takes in what the end of an attempt tells of its upstream.
func (s *Shard) learn(now clock.Millis, a *attempt, result Result) {
	u := a.upstream
	age := now - a.started
	s.learnDraining(now, a, result)
	switch result.Status {
	case Succeeded:
		s.latencies.add(age)
		s.succeeded(now, u, float64(age))
	case Cancelled:
		s.learnCancelled(a, age)
		if a.timedOut && s.straggled(age) {
			s.failed(now, u)
		}
	case NotSent:
		if result.BlockedLocally || a.request != nil && now >= a.request.Deadline {
			return
		}
		u.window = coldWindow
		s.failed(now, u)
	default:
		s.failed(now, u)
	}
}

// learnDraining takes a report of draining at its word until the upstream has
// served new work several times in spite of it.
func (s *Shard) learnDraining(now clock.Millis, a *attempt, result Result) {
	u := a.upstream
	if result.Load == nil {
		return
	}
	if !result.Load.Draining {
		u.drainSeen = 0
		u.drainLies = 0
		return
	}
	if u.drainSeen == 0 {
		u.drainSeen = now
	}
	if result.Status == Succeeded && a.started > u.drainSeen {
		u.drainLies++
	}
	if u.drainLies < drainDoubted {
		s.demote(now, u, drainFor)
	}
}

// learnCancelled counts a cancelled attempt that was slow already: leaving it
// out would make the service look faster than it is. One that was in flight at
// its deadline may be at an upstream that answers nothing, and counts as a failure
// instead.
func (s *Shard) learnCancelled(a *attempt, age clock.Millis) {
	if !a.timedOut && s.latencies.trusted() && float64(age) > s.latencies.p95 {
		s.latencies.add(age)
	}
}

func (s *Shard) succeeded(now clock.Millis, u *upstream, age float64) {
	if u.latency == 0 {
		u.latency = age
	}
	u.latency += latencyWeight * (age - u.latency)
	u.success += successWeight * (1 - u.success)
	u.samples++
	u.failures = 0
	u.heard = now
	u.window = min(float64(max(1, u.Share)), u.window+1/u.window)
	if u.samples >= successesForgive {
		u.ejections = 0
	}
	if u.standing == lastUsed && u.until == 0 && u.success >= returnSuccess {
		u.standing = good
	}
}

func (s *Shard) failed(now clock.Millis, u *upstream) {
	u.success -= successWeight * u.success
	u.samples++
	u.failures++
	u.heard = now
	u.window = max(coldWindow, u.window*windowCut)
	if s.Ablation.NoEjection || u.standing == ejected {
		return
	}
	row := failuresInARow
	if u.ejections > 0 {
		row = returnFailures
	}
	if u.failures >= row || (u.samples >= ejectSamples && u.success < ejectBelow) {
		s.eject(now, u)
	}
}
