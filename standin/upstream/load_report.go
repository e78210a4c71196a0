package upstream

import (
	"fmt"

	"siskinpath/core/clock"
)

// maxHistory bounds the loads kept for lagging reports.
const maxHistory = 4096

// note records the load at now for lagging reports. e.mu is held.
func (e *Scheduler) note(now clock.Millis) {
	if e.behaviour.LoadLagMs <= 0 {
		e.history = e.history[:0]
		return
	}
	if len(e.history) == maxHistory {
		e.history = append(e.history[:0], e.history[maxHistory/2:]...)
	}
	e.history = append(e.history, loadAt{at: now, load: e.current()})
}

func (e *Scheduler) current() Load {
	return Load{InFlight: e.running, Queued: len(e.waiting), Draining: e.behaviour.Draining}
}

// ReportedLoad returns the load as the upstream reports it at now, which may be old or
// misleading.
func (e *Scheduler) ReportedLoad(now clock.Millis) Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.behaviour.LoadMisleads {
		return Load{}
	}
	load := e.current()
	for i := len(e.history) - 1; i >= 0; i-- {
		load = e.history[i].load
		if e.history[i].at <= now-clock.Millis(e.behaviour.LoadLagMs) {
			break
		}
	}
	return load
}

// CountProbe counts a probe that begins at now.
func (e *Scheduler) CountProbe(now clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &e.stats
	s.Probes++
	recent := s.probeTimes[:0]
	for _, at := range s.probeTimes {
		if now-at < clock.Second {
			recent = append(recent, at)
		}
	}
	s.probeTimes = append(recent, now)
	s.MaxProbeBurst = max(s.MaxProbeBurst, len(s.probeTimes))
}

// String returns the value of the header Siskin-Load.
func (l Load) String() string {
	return fmt.Sprintf("in_flight=%d, queued=%d, draining=%t", l.InFlight, l.Queued, l.Draining)
}
