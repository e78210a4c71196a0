package route

import "siskinpath/core/clock"

const (
	keptPart       = 0.5 // part of the upstreams that is never ejected
	ejectFor       = clock.Second
	ejectAtMost    = 30 * clock.Second
	ejectSteps     = 5
	drainFor       = 2 * clock.Second // for which a report of draining counts
	probeGrace     = 2 * clock.Second // an ejected upstream returns unprobed after that
	idleProbeAfter = 5 * clock.Second
	probeRetry     = clock.Second
)

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
	case u.standing == lastUsed && (u.until > 0 || now-u.heard >= idleProbeAfter+probeGrace):
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
