// Package upstream plays upstreams: slots with a queue, a connection limit, load
// reports, probes, drain, cold start, shedding, cancellation and deadlines.
// Everything that ran is recorded, so that it can be compared with what callers
// were told.
package upstream

import (
	"sync"

	"siskinpath/core/clock"
)

// Refusal is why an upstream did not run a request, as Siskin-Refused says it.
type Refusal string

// Refusals.
const (
	RefusedDraining   Refusal = "draining"
	RefusedOverloaded Refusal = "overloaded"
	RefusedDeadline   Refusal = "deadline"
	RefusedStarting   Refusal = "starting"
)

// FailFast is a way of failing at once.
type FailFast string

// Ways of failing at once.
const (
	FailFastNone   FailFast = "none"
	FailFastError  FailFast = "error"  // runs the request and answers 500
	FailFastRefuse FailFast = "refuse" // answers 503, not run
)

// Behaviour is how an upstream behaves. It may be changed at any time.
type Behaviour struct {
	Slots          int      `json:"slots"`       // requests that run at a time
	Queue          int      `json:"queue"`       // requests that may wait; more are shed
	Connections    int      `json:"connections"` // open at a time; more are closed at once
	ServiceMs      float64  `json:"service_ms"`  // mean time of a run
	Fixed          bool     `json:"fixed"`       // every run takes the mean; otherwise it is drawn from an exponential distribution
	AcceptMs       float64  `json:"accept_ms"`   // cost of a new connection
	ProbeMs        float64  `json:"probe_ms"`    // work of a probe
	SlowFactor     float64  `json:"slow_factor"` // service time is multiplied by this
	SlowForMs      int64    `json:"slow_for_ms"` // for so long after the change
	ColdMs         int64    `json:"cold_ms"`     // runs are slower for so long after the change, 4 times at first
	StartingMs     int64    `json:"starting_ms"` // everything is refused for so long after the change
	Draining       bool     `json:"draining"`    // refuses new work
	FailFast       FailFast `json:"fail_fast"`
	LoadLagMs      int64    `json:"load_lag_ms"`     // age of the load that is reported
	LoadMisleads   bool     `json:"load_misleads"`   // reports an idle upstream
	WatchedLimit   int      `json:"watch"`           // the limit in force; more requests at a time are counted as overshoot
	CutAnswers     float64  `json:"cut_answers"`     // fraction of answers cut short by a closed connection
	IgnoreDeadline bool     `json:"ignore_deadline"` // runs requests whose deadline has passed
	Closed         bool     `json:"closed"`          // the port refuses connections, open ones are closed
}

// Load is a load report.
type Load struct {
	InFlight int
	Queued   int
	Draining bool
}

// Scheduler decides which request runs when. It is safe for concurrent use.
type Scheduler struct {
	mu          sync.Mutex
	behaviour   Behaviour
	changedAt   clock.Millis
	running     int
	queue       []*Admission
	admitted    int // requests that have arrived and not ended
	loadHistory []loadSample
	stats       Stats
}

type loadSample struct {
	at   clock.Millis
	load Load
}

// Stats counts what happened at an upstream.
type Stats struct {
	Runs                uint64 `json:"runs"`
	Refused             uint64 `json:"refused"`
	Cancelled           uint64 `json:"cancelled"`
	Errors              uint64 `json:"errors"`
	Probes              uint64 `json:"probes"`
	LoadReads           uint64 `json:"load_reads"`
	Connections         uint64 `json:"connections"`     // accepted since the start
	OpenConnections     int    `json:"open"`            // now
	MaxOpenConnections  int    `json:"open_max"`        // most at a time
	RejectedConnections uint64 `json:"turned_away"`     // connections closed because of the limit
	MaxAdmitted         int    `json:"present_max"`     // most requests at a time
	MaxOvershoot        int    `json:"overshoot_max"`   // most requests at a time above WatchedLimit
	MaxProbeBurst       int    `json:"probe_burst_max"` // most probes that began within one second
	probeTimes          []clock.Millis
}

// Admission is a request's place. Ready is closed when it may run.
type Admission struct {
	Ready   chan struct{}
	started bool
}

// UpdateBehaviour applies edit to the behaviour at time now.
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

// durations returns the behaviour's durations of time, which begin when one is changed.
func (b Behaviour) durations() [3]int64 { return [3]int64{b.SlowForMs, b.ColdMs, b.StartingMs} }

// withoutExpired returns b without the spans that have ended since it was set.
func (b Behaviour) withoutExpired(since clock.Millis) Behaviour {
	for _, span := range []*int64{&b.SlowForMs, &b.ColdMs, &b.StartingMs} {
		if int64(since) >= *span {
			*span = 0
		}
	}
	return b
}

// Behaviour returns the behaviour in force and the time since it changed.
func (s *Scheduler) Behaviour(now clock.Millis) (Behaviour, clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behaviour, now - s.changedAt
}

// Admit takes a request in, or refuses it. Each Admission must be passed to Release.
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

// Release ends a request, run or not.
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

// UpdateStats changes the counts.
func (s *Scheduler) UpdateStats(change func(*Stats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// Stats returns the counts.
func (s *Scheduler) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
