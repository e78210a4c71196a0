// Package upstream simulates upstreams: slots with a queue, a connection limit, load
// reports, probes, draining, cold start, load shedding, cancellation and deadlines.
// It records every run, so that the runs can be compared with the outcomes that the
// callers received.
package upstream

import (
	"sync"

	"siskinpath/core/clock"
)

// Refusal is the reason why an upstream did not run a request. It is the value of
// the header Siskin-Refused.
type Refusal string

// Reasons for a refusal.
const (
	RefusedDraining   Refusal = "draining"
	RefusedOverloaded Refusal = "overloaded"
	RefusedDeadline   Refusal = "deadline"
	RefusedStarting   Refusal = "starting"
)

// FailFast is a mode in which every request fails without delay.
type FailFast string

// Modes of FailFast.
const (
	FailFastNone   FailFast = "none"
	FailFastError  FailFast = "error"  // runs the request and answers 500
	FailFastRefuse FailFast = "refuse" // answers 503 without running the request
)

// Behaviour configures an upstream. It can be changed while the upstream runs. The
// durations SlowForMs, ColdMs and StartingMs begin when one of them is changed.
type Behaviour struct {
	Slots          int      `json:"slots"`       // maximum number of requests that run at a time
	Queue          int      `json:"queue"`       // maximum number of waiting requests; more are shed
	Connections    int      `json:"connections"` // maximum number of open connections; more are closed at once
	ServiceMs      float64  `json:"service_ms"`  // mean service time of a run
	Fixed          bool     `json:"fixed"`       // every run takes ServiceMs, instead of a time from an exponential distribution
	AcceptMs       float64  `json:"accept_ms"`   // cost of a new connection
	ProbeMs        float64  `json:"probe_ms"`    // time that a probe takes
	SlowFactor     float64  `json:"slow_factor"` // factor of the service time during SlowForMs; 0 for none
	SlowForMs      int64    `json:"slow_for_ms"` // how long SlowFactor applies
	ColdMs         int64    `json:"cold_ms"`     // duration of a cold start; the service time is 4 times as long at first and falls back to normal until its end
	StartingMs     int64    `json:"starting_ms"` // how long every request is refused as starting
	Draining       bool     `json:"draining"`    // new requests are refused
	FailFast       FailFast `json:"fail_fast"`
	LoadLagMs      int64    `json:"load_lag_ms"`     // age of the reported load
	LoadMisleads   bool     `json:"load_misleads"`   // load reports show an idle upstream
	WatchedLimit   int      `json:"watch"`           // limit in force; admitted requests above it are counted as overshoot; 0 for none
	CutAnswers     float64  `json:"cut_answers"`     // fraction of answers truncated by closing the connection
	IgnoreDeadline bool     `json:"ignore_deadline"` // requests run although their deadline has passed
	Closed         bool     `json:"closed"`          // the port refuses connections, and open ones are closed
}

// Load is the load in a load report.
type Load struct {
	InFlight int
	Queued   int
	Draining bool
}

// Scheduler admits requests, queues them and starts them when a slot is free. It is
// safe for concurrent use.
type Scheduler struct {
	mu          sync.Mutex
	behaviour   Behaviour
	changedAt   clock.Millis // when the durations of behaviour began
	running     int
	queue       []*Admission
	admitted    int // requests that are queued or running
	loadHistory []loadSample
	stats       Stats
}

type loadSample struct {
	at   clock.Millis
	load Load
}

// Stats holds the counters of an upstream.
type Stats struct {
	Runs                uint64 `json:"runs"`
	Refused             uint64 `json:"refused"`
	Cancelled           uint64 `json:"cancelled"`
	Errors              uint64 `json:"errors"`
	Probes              uint64 `json:"probes"`
	LoadReads           uint64 `json:"load_reads"`
	Connections         uint64 `json:"connections"`     // accepted since the start
	OpenConnections     int    `json:"open"`            // open at present
	MaxOpenConnections  int    `json:"open_max"`        // maximum of OpenConnections
	RejectedConnections uint64 `json:"turned_away"`     // closed because of the connection limit
	MaxAdmitted         int    `json:"present_max"`     // maximum number of requests queued or running
	MaxOvershoot        int    `json:"overshoot_max"`   // maximum by which that number exceeded WatchedLimit
	MaxProbeBurst       int    `json:"probe_burst_max"` // maximum number of probes that began within one second
	probeTimes          []clock.Millis
}

// Admission represents an admitted request. Ready is closed when it may run.
type Admission struct {
	Ready   chan struct{}
	started bool
}

// UpdateBehaviour applies edit to the behaviour at time now and returns the result.
// If edit fails, the behaviour stays as it was. edit sees durations that have ended
// as 0; the durations only begin again when edit changes one.
func (s *Scheduler) UpdateBehaviour(now clock.Millis, edit func(*Behaviour) error) (Behaviour, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.behaviour.withoutExpired(now - s.changedAt)
	changed := before
	if err := edit(&changed); err != nil {
		return s.behaviour, err
	}
	s.behaviour = changed
	if changed.durations() != before.durations() {
		s.changedAt = now
	}
	s.startQueued()
	s.recordLoad(now)
	return changed, nil
}

// durations returns the fields that begin at the time of a change.
func (b Behaviour) durations() [3]int64 { return [3]int64{b.SlowForMs, b.ColdMs, b.StartingMs} }

// withoutExpired returns b with those durations set to 0 that have ended since
// their begin.
func (b Behaviour) withoutExpired(since clock.Millis) Behaviour {
	for _, duration := range []*int64{&b.SlowForMs, &b.ColdMs, &b.StartingMs} {
		if int64(since) >= *duration {
			*duration = 0
		}
	}
	return b
}

// Behaviour returns the behaviour in force and the time since its durations began.
func (s *Scheduler) Behaviour(now clock.Millis) (Behaviour, clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour, now - s.changedAt
}

// Admit admits or refuses a request. Each Admission must be passed to Release.
func (s *Scheduler) Admit(now clock.Millis) (*Admission, Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if refusal := s.refusalReason(now); refusal != "" {
		s.stats.Refused++
		return nil, refusal
	}
	a := &Admission{Ready: make(chan struct{})}
	s.queue = append(s.queue, a)
	s.admitted++
	s.stats.MaxAdmitted = max(s.stats.MaxAdmitted, s.admitted)
	if s.behaviour.WatchedLimit > 0 {
		s.stats.MaxOvershoot = max(s.stats.MaxOvershoot, s.admitted-s.behaviour.WatchedLimit)
	}
	s.startQueued()
	s.recordLoad(now)
	return a, ""
}

func (s *Scheduler) refusalReason(now clock.Millis) Refusal {
	b := s.behaviour
	switch {
	case b.Draining:
		return RefusedDraining
	case int64(now-s.changedAt) < b.StartingMs:
		return RefusedStarting
	case b.FailFast == FailFastRefuse:
		return RefusedOverloaded
	case s.running >= b.Slots && len(s.queue) >= b.Queue:
		return RefusedOverloaded
	}
	return ""
}

func (s *Scheduler) startQueued() {
	for s.running < s.behaviour.Slots && len(s.queue) > 0 {
		a := s.queue[0]
		s.queue = s.queue[1:]
		a.started = true
		s.running++
		close(a.Ready)
	}
}

// Release ends the request of a, whether it has run or not, and starts the next one.
func (s *Scheduler) Release(now clock.Millis, a *Admission) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admitted--
	if a.started {
		s.running--
	} else {
		s.dequeue(a)
	}
	s.startQueued()
	s.recordLoad(now)
}

func (s *Scheduler) dequeue(a *Admission) {
	for i, w := range s.queue {
		if w == a {
			s.queue = append(s.queue[:i], s.queue[i+1:]...)
			return
		}
	}
}

// UpdateStats applies change to the counters.
func (s *Scheduler) UpdateStats(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// Stats returns the counters.
func (s *Scheduler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
