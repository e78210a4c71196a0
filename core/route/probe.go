package route

import "siskinpath/core/clock"

// probeTimeout is the time after which a probe that never ended is forgotten.
const probeTimeout = 5 * clock.Second

// probe asks for a probe of u, one at a time.
func (s *Shard) probe(now clock.Millis, u *upstream) {
	if !u.ProbeAllowed || (u.probing && now < u.probedAt+probeTimeout) {
		return
	}
	u.probing = true
	u.probedAt = now
	s.counters.Probes++
	s.emit(Action{Kind: Probe, Upstream: u.Name})
}

// ProbeEnded takes in the end of a probe.
func (s *Shard) ProbeEnded(now clock.Millis, p ProbeResult) []Action {
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
