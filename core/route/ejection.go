package route

import "siskinpath/core/clock"

const (
	minKeptShare       = 0.5 // share of the upstreams that is never ejected
	ejectTimeBase      = clock.Second
	ejectTimeMax       = 30 * clock.Second
	ejectMaxDoublings  = 5
	drainReportTTL     = 2 * clock.Second // time for which a report of draining counts
	probeGracePeriod   = 2 * clock.Second // added time after which an upstream returns without a probe result
	idleProbeAfter     = 5 * clock.Second
	probeRetryInterval = clock.Second
)

// eject ejects u for a time that doubles with each ejection up to ejectTimeMax.
// When too few upstreams would be left, it makes u one of last resort instead.
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

// canEject reports whether enough upstreams remain after one more ejection.
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

// demote makes u an upstream of last resort for the time d.
func (s *Shard) demote(now clock.Millis, u *upstream, d clock.Millis) {
	if u.health == ejected {
		return
	}
	u.health = lastResort
	u.healthUntil = now + d
	u.checkAt = u.healthUntil
}

// reinstate makes u healthy again, with a window of one request at first.
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

// checkHealth does what is due for u: its return, or a probe when no traffic shows
// its health.
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

// checkEjected probes an ejected upstream whose time is over, or reinstates it when
// this host may not probe it or no probe result came within probeGracePeriod.
func (s *Shard) checkEjected(now clock.Millis, u *upstream) {
	if !u.ProbeAllowed || now >= u.healthUntil+probeGracePeriod {
		u.reinstate(now)
		return
	}
	s.requestProbe(now, u)
}
