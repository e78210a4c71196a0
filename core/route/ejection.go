package route

import "siskinpath/core/clock"

const (
	minKeptShare       = 0.5 // part of the upstreams that is never ejected
	ejectTimeBase      = clock.Second
	ejectTimeMax       = 30 * clock.Second
	ejectMaxDoublings  = 5
	drainReportTTL     = 2 * clock.Second // for which a report of draining counts
	probeGracePeriod   = 2 * clock.Second // an ejected upstream returns unprobed after that
	idleProbeAfter     = 5 * clock.Second
	probeRetryInterval = clock.Second
)

// eject takes u out of work for a while, or, where too few would be left, makes
// it the last to be used.
func (s *Shard) eject(now clock.Millis, u *upstream) {
	if !s.canEject() {
		u.health = lastResort
		u.healthUntil = 0
		return
	}
	s.counters.Ejected++
	u.health = ejected
	u.healthUntil = now + min(ejectTimeMax, ejectTimeBase<<min(u.ejections, ejectMaxDoublings))
	u.checkAt = u.healthUntil
	u.ejections++
}

// canEject tells whether enough upstreams stay in work without one more.
func (s *Shard) canEject() bool {
	wanted, kept := 0, 0
	for _, u := range s.upstreams {
		if !u.acceptsWork() {
			continue
		}
		wanted++
		if u.health != ejected {
			kept++
		}
	}
	return float64(kept-1) >= minKeptShare*float64(wanted)
}

// demote makes u the last to be used for a while.
func (s *Shard) demote(now clock.Millis, u *upstream, d clock.Millis) {
	if u.health == ejected {
		return
	}
	u.health = lastResort
	u.healthUntil = now + d
	u.checkAt = u.healthUntil
}

// reinstate lets u take work again, one request at first.
func (u *upstream) reinstate(now clock.Millis) {
	u.health = healthy
	u.healthUntil = 0
	u.window = initialWindow
	u.success = 1
	u.samples = 0
	u.failures = 0
	u.lastOutcomeAt = now
	u.checkAt = now + idleProbeAfter
}

// checkHealth does what is due for u: its return, or a probe where traffic says
// nothing.
func (s *Shard) checkHealth(now clock.Millis, u *upstream) {
	if u.checkAt == 0 || u.checkAt > now {
		return
	}
	u.checkAt = now + probeRetryInterval
	switch {
	case !u.acceptsWork():
		u.checkAt = 0
	case u.health == ejected:
		s.checkEjected(now, u)
	case u.health == lastResort && (u.healthUntil > 0 || now-u.lastOutcomeAt >= idleProbeAfter+probeGracePeriod):
		u.reinstate(now)
	case u.inFlight == 0 && now-u.lastOutcomeAt >= idleProbeAfter:
		s.requestProbe(now, u)
	default:
		u.checkAt = max(now+1, u.lastOutcomeAt+idleProbeAfter)
	}
}

func (s *Shard) checkEjected(now clock.Millis, u *upstream) {
	if !u.ProbeAllowed || now >= u.healthUntil+probeGracePeriod {
		u.reinstate(now)
		return
	}
	s.requestProbe(now, u)
}
