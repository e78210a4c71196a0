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
	mu        sync.Mutex
	behaviour Behaviour
	changedAt clock.Millis
	running   int
	waiting   []*Admission
	present   int // requests that have arrived and not ended
	history   []loadAt
	stats     Stats
}

type loadAt struct {
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
func (e *Scheduler) UpdateBehaviour(now clock.Millis, edit func(*Behaviour) error) (Behaviour, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := e.behaviour.after(now - e.changedAt)
	changed := before
	if err := edit(&changed); err != nil {
		return e.behaviour, err
	}
	e.behaviour = changed
	if changed.spans() != before.spans() {
		e.changedAt = now
	}
	e.startWaiting()
	e.note(now)
	return changed, nil
}

// spans returns the behaviour's spans of time, which begin when one is changed.
func (b Behaviour) spans() [3]int64 { return [3]int64{b.SlowForMs, b.ColdMs, b.StartingMs} }

// after returns b without the spans that have ended since it was set.
func (b Behaviour) after(since clock.Millis) Behaviour {
	for _, span := range []*int64{&b.SlowForMs, &b.ColdMs, &b.StartingMs} {
		if int64(since) >= *span {
			*span = 0
		}
	}
	return b
}

// Behaviour returns the behaviour in force and the time since it changed.
func (e *Scheduler) Behaviour(now clock.Millis) (Behaviour, clock.Millis) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.behaviour, now - e.changedAt
}

// Admit takes a request in, or refuses it. Each Admission must be passed to Release.
func (e *Scheduler) Admit(now clock.Millis) (*Admission, Refusal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal := e.refusal(now); refusal != "" {
		e.stats.Refused++
		return nil, refusal
	}
	t := &Admission{Ready: make(chan struct{})}
	e.waiting = append(e.waiting, t)
	e.present++
	e.stats.MaxAdmitted = max(e.stats.MaxAdmitted, e.present)
	if e.behaviour.WatchedLimit > 0 {
		e.stats.MaxOvershoot = max(e.stats.MaxOvershoot, e.present-e.behaviour.WatchedLimit)
	}
	e.startWaiting()
	e.note(now)
	return t, ""
}

func (e *Scheduler) refusal(now clock.Millis) Refusal {
	b := e.behaviour
	switch {
	case b.Draining:
		return RefusedDraining
	case int64(now-e.changedAt) < b.StartingMs:
		return RefusedStarting
	case b.FailFast == FailFastRefuse:
		return RefusedOverloaded
	case e.running >= b.Slots && len(e.waiting) >= b.Queue:
		return RefusedOverloaded
	}
	return ""
}

func (e *Scheduler) startWaiting() {
	for e.running < e.behaviour.Slots && len(e.waiting) > 0 {
		t := e.waiting[0]
		e.waiting = e.waiting[1:]
		t.started = true
		e.running++
		close(t.Ready)
	}
}

// Release ends a request, run or not.
func (e *Scheduler) Release(now clock.Millis, t *Admission) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.present--
	if t.started {
		e.running--
	} else {
		e.drop(t)
	}
	e.startWaiting()
	e.note(now)
}

func (e *Scheduler) drop(t *Admission) {
	for i, w := range e.waiting {
		if w == t {
			e.waiting = append(e.waiting[:i], e.waiting[i+1:]...)
			return
		}
	}
}

// UpdateStats changes the counts.
func (e *Scheduler) UpdateStats(change func(*Stats)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.stats)
}

// Stats returns the counts.
func (e *Scheduler) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}
