package route

import "siskinpath/core/clock"

// probeTimeout is the time after which a probe without a result no longer blocks
// the next one.
const probeTimeout = 5 * clock.Second

// requestProbe asks the driver for a probe of u, unless one is in progress or this
// host may not probe it.
func (s *Shard) requestProbe(now clock.Millis, u *upstream) {
	if !u.ProbeAllowed || (u.probing && now < u.probedAt+probeTimeout) {
		return
	}
	u.probing = true
	u.probedAt = now
	s.counters.Probes++
	s.emit(Action{Kind: Probe, Upstream: u.Name})
}

// ProbeEnded records the result of a probe.
func (s *Shard) ProbeEnded(now clock.Millis, p ProbeResult) []Action {
	s.resetActions()
	u := s.findUpstream(p.Upstream)
	if u == nil || !u.present {
		return s.out
	}
	u.probing = false
	draining := p.Load != nil && p.Load.Draining
	switch {
	case !p.OK && u.health == ejected:
		u.healthUntil = now + ejectTimeBase
		u.checkAt = u.healthUntil
	case !p.OK:
		s.recordFailure(now, u)
	case draining:
		s.demote(now, u, drainReportTTL)
	case u.health != healthy:
		u.reinstate(now)
	default:
		u.lastOutcomeAt = now
	}
	s.dispatch(now)
	s.maybeSendDigest(now)
	return s.out
}
