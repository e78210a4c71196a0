package upstream

import (
	"fmt"

	"siskinpath/core/clock"
)

// maxLoadSamples is the maximum number of samples kept for delayed load reports.
const maxLoadSamples = 4096

// recordLoad records the load at now for delayed load reports. s.mu must be held.
func (s *Scheduler) recordLoad(now clock.Millis) {
	if s.behaviour.LoadLagMs <= 0 {
		s.loadHistory = s.loadHistory[:0]
		return
	}
	if len(s.loadHistory) == maxLoadSamples {
		s.loadHistory = append(s.loadHistory[:0], s.loadHistory[maxLoadSamples/2:]...)
	}
	s.loadHistory = append(s.loadHistory, loadSample{at: now, load: s.currentLoad()})
}

func (s *Scheduler) currentLoad() Load {
	return Load{InFlight: s.running, Queued: len(s.queue), Draining: s.behaviour.Draining}
}

// ReportedLoad returns the load that the upstream reports at now. Depending on the
// behaviour it is delayed or misleading.
func (s *Scheduler) ReportedLoad(now clock.Millis) Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.behaviour.LoadMisleads {
		return Load{}
	}
	load := s.currentLoad()
	for i := len(s.loadHistory) - 1; i >= 0; i-- {
		load = s.loadHistory[i].load
		if s.loadHistory[i].at <= now-clock.Millis(s.behaviour.LoadLagMs) {
			break
		}
	}
	return load
}

// CountProbe counts a probe that begins at now.
func (s *Scheduler) CountProbe(now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := &s.stats
	stats.Probes++
	recent := stats.probeTimes[:0]
	for _, at := range stats.probeTimes {
		if now-at < clock.Second {
			recent = append(recent, at)
		}
	}
	stats.probeTimes = append(recent, now)
	stats.MaxProbeBurst = max(stats.MaxProbeBurst, len(stats.probeTimes))
}

// String returns l in the format of the header Siskin-Load.
func (l Load) String() string {
	return fmt.Sprintf("in_flight=%d, queued=%d, draining=%t", l.InFlight, l.Queued, l.Draining)
}
