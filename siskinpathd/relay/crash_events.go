package relay

import (
	"siskinpath/core/clock"
	"siskinpath/core/quarantine"
	"siskinpath/siskinpathd/relay/relaypb"
)

// AnnounceCrashEvents tells all other hosts of events. Each host passes on those that it did
// not know, so that all hear of them whichever sessions there are.
func (r *Relay) AnnounceCrashEvents(events []quarantine.Event) {
	if len(events) == 0 {
		return
	}
	wire := crashEventsToWire(events)
	r.announce(&relaypb.FromWatcher{CrashEvents: wire, StoreLost: r.storeLost()})
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.sessions {
		if s.open {
			s.events = append(s.events, wire...)
			s.wake()
		}
	}
}

// handleCrashEvents passes events that a peer has sent on to OnCrashEvents, and those that
// were not known to all other hosts.
func (r *Relay) handleCrashEvents(wire []*relaypb.CrashEvent) {
	if len(wire) == 0 || r.OnCrashEvents == nil {
		return
	}
	r.AnnounceCrashEvents(r.OnCrashEvents(crashEventsFromWire(wire)))
}

// knownCrashEvents returns all events that this host knows, for the first message of a session.
func (r *Relay) knownCrashEvents() []*relaypb.CrashEvent {
	if r.KnownCrashEvents == nil {
		return nil
	}
	return crashEventsToWire(r.KnownCrashEvents())
}

// takeCrashEvents returns the events to be sent to a source.
func (r *Relay) takeCrashEvents(s *session) []*relaypb.CrashEvent {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := s.events
	s.events = nil
	return events
}

// wake makes the session send its events.
func (s *session) wake() {
	select {
	case s.eventsAdded <- struct{}{}:
	default: // a signal is already pending
	}
}

func crashEventsToWire(events []quarantine.Event) (wire []*relaypb.CrashEvent) {
	for _, e := range events {
		wire = append(wire, &relaypb.CrashEvent{
			Work: e.Work[:], Query: e.Query[:], Caller: e.Caller[:], Upstream: e.Upstream, AgeMs: uint32(max(0, e.Age)), RanMs: uint32(max(0, e.Ran)),
		})
	}
	return wire
}

// crashEventsFromWire returns the events that a peer has sent, without malformed ones.
func crashEventsFromWire(wire []*relaypb.CrashEvent) (events []quarantine.Event) {
	for _, w := range wire {
		e := quarantine.Event{Upstream: w.GetUpstream(), Age: clock.Millis(w.GetAgeMs()), Ran: clock.Millis(w.GetRanMs())}
		if copyHash(&e.Work, w.GetWork()) && copyHash(&e.Query, w.GetQuery()) && copyHash(&e.Caller, w.GetCaller()) {
			events = append(events, e)
		}
	}
	return events
}

// copyHash returns false if b is not as long as a fingerprint.
func copyHash(h *quarantine.Hash, b []byte) bool { return copy(h[:], b) == len(h) && len(b) == len(h) }
