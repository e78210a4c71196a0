package relay

import (
	"siskinpath/core/clock"
	"siskinpath/core/quarantine"
	"siskinpath/siskinpathd/relay/relaypb"
)

// AnnounceEnds tells all other hosts of upstreams that ended while they ran a request. Each
// host passes on what it did not know, so that all hear of it whichever sessions there are.
func (r *Relay) AnnounceEnds(ends []quarantine.End) {
	if len(ends) == 0 {
		return
	}
	wire := endsToWire(ends)
	r.announce(&relaypb.FromWatcher{Ends: wire, StoreLost: r.storeLost()})
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		if s.open {
			s.ends = append(s.ends, wire...)
			s.wake()
		}
	}
}

// handleEnds passes ends that a peer has sent on to OnEnds, and those that were not known
// to all other hosts.
func (r *Relay) handleEnds(wire []*relaypb.End) {
	if len(wire) == 0 || r.OnEnds == nil {
		return
	}
	r.AnnounceEnds(r.OnEnds(endsFromWire(wire)))
}

// knownEnds returns all ends that this host knows, for the first message of a session.
func (r *Relay) knownEnds() []*relaypb.End {
	if r.KnownEnds == nil {
		return nil
	}
	return endsToWire(r.KnownEnds())
}

// takeEnds returns the ends to be sent to a source.
func (r *Relay) takeEnds(s *session) []*relaypb.End {
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := s.ends
	s.ends = nil
	return ends
}

// wake makes the session send its ends.
func (s *session) wake() {
	select {
	case s.endsAdded <- struct{}{}:
	default: // a signal is already pending
	}
}

func endsToWire(ends []quarantine.End) (wire []*relaypb.End) {
	for _, e := range ends {
		wire = append(wire, &relaypb.End{Request: e.Request[:], Upstream: e.Upstream, Disproved: e.Disproved, AgeMs: uint32(max(0, e.Age))})
	}
	return wire
}

// endsFromWire returns the ends that a peer has sent, without malformed ones.
func endsFromWire(wire []*relaypb.End) (ends []quarantine.End) {
	for _, w := range wire {
		e := quarantine.End{Upstream: w.GetUpstream(), Disproved: w.GetDisproved(), Age: clock.Millis(w.GetAgeMs())}
		if copy(e.Request[:], w.GetRequest()) == len(e.Request) {
			ends = append(ends, e)
		}
	}
	return ends
}
