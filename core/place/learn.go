package place

import (
	"math"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// slowdownMemory is how long a reported slowdown is believed: the time after
	// which it counts for a third, as spells last some hundred milliseconds.
	slowdownMemory = 200 * clock.Millisecond
	// successMemory is how fast a failure is forgotten when nothing new is learned.
	successMemory = 5 * clock.Second
	// failureWeight is how much one failure tells of an upstream.
	failureWeight = 0.4
	// successWeight is how much one success does.
	successWeight = 0.2
	// ejectAfter is how many failures in a row take an upstream out of use.
	ejectAfter = 3
	// minEjection and maxEjection bound for how long.
	minEjection = 500 * clock.Millisecond
	maxEjection = 8 * clock.Second
	// unreachablePeriod is how long an upstream that takes no connection is left alone.
	unreachablePeriod = 400 * clock.Millisecond
	// replacedPeriod is how long one whose address another has is left alone; by then
	// discovery tells.
	replacedPeriod = 5 * clock.Second
	// drainingPeriod is how long one that says it is draining is left alone; by then
	// discovery tells.
	drainingPeriod = 3 * clock.Second
	// typicalTimeWeight is how much one answer moves a route's usual time.
	typicalTimeWeight = 0.05
	// initialTypicalShare of the target stands for the usual time until answers came.
	initialTypicalShare = 0.4
	// meanSlowdownWeight is how much one report moves the mean slowdown.
	meanSlowdownWeight = 0.02
)

// upstream is what this host knows of an upstream.
type upstream struct {
	Upstream
	gone bool // discovery no longer names it

	report          route.LoadReport
	reporting       bool // it has said its load
	loadAt          clock.Millis
	sentSinceReport int // own sends since the report

	probing        bool
	probedAt       clock.Millis
	sentSinceProbe int
	inFlight       int // own requests there

	success        float64 // share of successes, 0 to 1
	successSet     clock.Millis
	failures       int // in a row
	ejections      int
	suspendedUntil clock.Millis
}

// load returns the requests that run or wait at u, as far as known.
func (u *upstream) load() int {
	if !u.reporting {
		return u.inFlight
	}
	return max(u.inFlight, u.report.InFlight+u.report.Queued+u.sentSinceReport)
}

func (u *upstream) fresh(now, span clock.Millis) bool {
	return u.reporting && now-u.loadAt <= span
}

// silent tells whether u owes an answer to a probe for too long.
func (u *upstream) silent(now clock.Millis) bool {
	return u.probing && now-u.probedAt > probeTimeout
}

// slowdownAt returns how slow u is believed to be: its report, and with the
// report's age more and more the mean of all.
func (u *upstream) slowdownAt(now clock.Millis, mean float64) float64 {
	if !u.reporting || u.report.Slowdown <= 0 {
		return mean
	}
	known := math.Exp(-float64(now-u.loadAt) / float64(slowdownMemory))
	return mean + known*(u.report.Slowdown-mean)
}

// successAt returns the share of successes; failures long ago count less.
func (u *upstream) successAt(now clock.Millis) float64 {
	return 1 - (1-u.success)*math.Exp(-float64(now-u.successSet)/float64(successMemory))
}

func (p *Placer) recordLoad(now clock.Millis, u *upstream, report *route.LoadReport, sentSinceReport int) {
	if report == nil {
		return
	}
	u.report = *report
	u.reporting = true
	u.loadAt = now
	u.sentSinceReport = sentSinceReport
	if report.Slots > 0 {
		u.Slots = report.Slots
	}
	if report.Slowdown > 0 {
		p.meanSlowdown += meanSlowdownWeight * (report.Slowdown - p.meanSlowdown)
	}
	if report.Draining {
		p.suspend(now, u, "draining", drainingPeriod)
	}
}

// suspend takes an upstream out of use for a while.
func (p *Placer) suspend(now clock.Millis, u *upstream, state string, span clock.Millis) {
	if now >= u.suspendedUntil {
		p.stateChanges = append(p.stateChanges, StateChange{Upstream: u.ID, State: state, For: span, Failures: u.failures, Success: u.success})
	}
	u.suspendedUntil = max(u.suspendedUntil, now+span)
}

// StateChanges hands out the changes of belief since it was last called.
func (p *Placer) StateChanges() []StateChange {
	n := p.stateChanges
	p.stateChanges = nil
	return n
}

func (p *Placer) recordProbe(now clock.Millis, u *upstream, res route.ProbeResult) {
	u.probing = false
	if res.Replaced {
		p.suspend(now, u, "replaced", replacedPeriod)
		return
	}
	if res.OK || res.Load != nil {
		// A status check that fails decides nothing by itself: discovery tells who
		// leaves, and requests tell who fails.
		p.recordLoad(now, u, res.Load, u.sentSinceProbe)
		return
	}
	p.suspend(now, u, "unreachable", unreachablePeriod)
}

// learn takes in what the end of an attempt tells of its upstream.
func (p *Placer) recordResult(now clock.Millis, a *attempt, res route.Result) {
	u := a.upstream
	u.inFlight--
	if u.sentSinceReport > 0 {
		u.sentSinceReport--
	} else if u.report.InFlight > 0 {
		u.report.InFlight--
	}
	p.recordLoad(now, u, res.Load, 0)
	switch res.Status {
	case route.Succeeded:
		p.updateTypicalTime(a, now-a.started)
		u.recordSuccess(now)
	case route.Refused:
		if res.Replaced {
			p.suspend(now, u, "replaced", replacedPeriod)
			return
		}
		p.recordRefusal(now, u, res)
	case route.NotSent:
		if res.Barred {
			return
		}
		p.suspend(now, u, "unreachable", unreachablePeriod)
		p.recordFailure(now, u)
	case route.Errored, route.Lost:
		p.recordFailure(now, u)
	case route.Cancelled:
	}
}

// recordRefusal takes a refusal as a sign of a full upstream. One that refuses
// though it had room fails.
func (p *Placer) recordRefusal(now clock.Millis, u *upstream, res route.Result) {
	if res.Load != nil && res.Load.InFlight+res.Load.Queued < u.Slots {
		p.recordFailure(now, u)
		return
	}
	if res.Load == nil {
		u.report.InFlight = max(u.report.InFlight, u.Slots)
		u.loadAt = now
		p.recordFailure(now, u)
	}
}

// recordTimeout counts an attempt that got no answer in its time.
func (p *Placer) recordTimeout(now clock.Millis, a *attempt) {
	if now-a.started > a.target {
		p.recordFailure(now, a.upstream)
	}
}

// updateTypicalTime moves the usual time of the route.
func (p *Placer) updateTypicalTime(a *attempt, took clock.Millis) {
	normalised := float64(took) / max(1, a.slowdown)
	typical := p.typicalTime(a.route, a.target)
	p.typicalTimes[a.route] = typical + typicalTimeWeight*(min(normalised, 3*typical)-typical)
}

// typicalTime returns how long answers of a route usually take, in ms.
func (p *Placer) typicalTime(route string, target clock.Millis) float64 {
	if t := p.typicalTimes[route]; t > 0 {
		return t
	}
	return initialTypicalShare * float64(target)
}

func (u *upstream) recordSuccess(now clock.Millis) {
	s := u.successAt(now)
	u.success = s + successWeight*(1-s)
	u.successSet = now
	u.failures = 0
	if u.success > 0.9 {
		u.ejections = 0
	}
}

func (p *Placer) recordFailure(now clock.Millis, u *upstream) {
	s := u.successAt(now)
	u.success = s - failureWeight*s
	u.successSet = now
	u.failures++
	if u.failures >= ejectAfter {
		p.suspend(now, u, "ejected", min(maxEjection, minEjection<<min(u.ejections, 5)))
		u.ejections++
		u.failures = ejectAfter - 1
	}
}
