package route

import "siskinpath/core/clock"

const (
	failuresInARow   = 5   // after which an upstream is ejected
	returnFailures   = 2   // the same, for one that has just returned
	ejectBelow       = 0.5 // success share below which an upstream is ejected
	ejectSamples     = 10  // attempts before the success share means anything
	returnSuccess    = 0.8 // success share from which an upstream is good again
	keptPart         = 0.5 // part of the upstreams that is never ejected
	ejectFor         = clock.Second
	ejectAtMost      = 30 * clock.Second
	ejectSteps       = 5
	drainFor         = 2 * clock.Second // for which a report of draining counts
	drainDoubted     = 3                // new answers after which such a report no longer counts
	probeGrace       = 2 * clock.Second // an ejected upstream returns unprobed after that
	probeTimeout     = 5 * clock.Second
	idleProbeAfter   = 5 * clock.Second
	probeRetry       = clock.Second
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
		if a.request != nil && now >= a.request.Deadline {
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
	if s.Tuning.NoEject || u.standing == ejected {
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

// eject takes u out of work for a while, or, where too few would be left, makes
// it the last to be used.
func (s *Shard) eject(now clock.Millis, u *upstream) {
	if !s.mayEject() {
		u.standing = lastUsed
		u.until = 0
		return
	}
	s.counters.Ejected++
	u.standing = ejected
	u.until = now + min(ejectAtMost, ejectFor<<min(u.ejections, ejectSteps))
	u.wake = u.until
	u.ejections++
}

// mayEject tells whether enough upstreams stay in work without one more.
func (s *Shard) mayEject() bool {
	wanted, kept := 0, 0
	for _, u := range s.upstreams {
		if !u.inUse() {
			continue
		}
		wanted++
		if u.standing != ejected {
			kept++
		}
	}
	return float64(kept-1) >= keptPart*float64(wanted)
}

// demote makes u the last to be used for a while.
func (s *Shard) demote(now clock.Millis, u *upstream, d clock.Millis) {
	if u.standing == ejected {
		return
	}
	u.standing = lastUsed
	u.until = now + d
	u.wake = u.until
}

// comeBack lets u take work again, one request at first.
func (u *upstream) comeBack(now clock.Millis) {
	u.standing = good
	u.until = 0
	u.window = coldWindow
	u.success = 1
	u.samples = 0
	u.failures = 0
	u.heard = now
	u.wake = now + idleProbeAfter
}

// watch does what is due for u: its return, or a probe where traffic says
// nothing.
func (s *Shard) watch(now clock.Millis, u *upstream) {
	if u.wake == 0 || u.wake > now {
		return
	}
	u.wake = now + probeRetry
	switch {
	case !u.inUse():
		u.wake = 0
	case u.standing == ejected:
		s.watchEjected(now, u)
	case u.standing == lastUsed && u.until > 0:
		u.comeBack(now)
	case u.inFlight == 0 && now-u.heard >= idleProbeAfter:
		s.probe(now, u)
	default:
		u.wake = max(now+1, u.heard+idleProbeAfter)
	}
}

func (s *Shard) watchEjected(now clock.Millis, u *upstream) {
	if !u.ProbeAllowed || now >= u.until+probeGrace {
		u.comeBack(now)
		return
	}
	s.probe(now, u)
}

func (s *Shard) probe(now clock.Millis, u *upstream) {
	if !u.ProbeAllowed || (u.probing && now < u.probedAt+probeTimeout) {
		return
	}
	u.probing = true
	u.probedAt = now
	s.counters.Probes++
	s.emit(Action{Kind: Probe, Upstream: u.Name})
}

// Probed takes in the end of a probe.
func (s *Shard) Probed(now clock.Millis, p ProbeResult) []Action {
	s.begin()
	u := s.upstreamNamed(p.Upstream)
	if u == nil || !u.present {
		return s.out
	}
	u.probing = false
	draining := p.Load != nil && p.Load.Draining
	switch {
	case !p.OK && u.standing == ejected:
		u.until = now + ejectFor
		u.wake = u.until
	case !p.OK:
		s.failed(now, u)
	case draining:
		s.demote(now, u, drainFor)
	case u.standing != good:
		u.comeBack(now)
	default:
		u.heard = now
	}
	s.dispatch(now)
	s.tell(now)
	return s.out
}
