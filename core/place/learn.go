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
	// trustMemory is how fast a failure is forgotten when nothing new is learned.
	trustMemory = 5 * clock.Second
	// failureWeight is how much one failure tells of an upstream.
	failureWeight = 0.4
	// successWeight is how much one success does.
	successWeight = 0.2
	// ejectAfter is how many failures in a row take an upstream out of use.
	ejectAfter = 3
	// leastEjection and mostEjection bound for how long.
	leastEjection = 500 * clock.Millisecond
	mostEjection  = 8 * clock.Second
	// unreachableFor is how long an upstream that takes no connection is left alone.
	unreachableFor = 400 * clock.Millisecond
	// replacedFor is how long one whose address another has is left alone; by then
	// discovery tells.
	replacedFor = 5 * clock.Second
	// drainedFor is how long one that says it is draining is left alone; by then
	// discovery tells.
	drainedFor = 3 * clock.Second
	// usualWeight is how much one answer moves a route's usual time.
	usualWeight = 0.05
	// usualShare of the target stands for the usual time until answers came.
	usualShare = 0.4
	// meanWeight is how much one report moves the mean slowdown.
	meanWeight = 0.02
)

// upstream is what this host knows of an upstream.
type upstream struct {
	Upstream
	gone bool // discovery no longer names it

	report    route.LoadReport
	reporting bool // it has said its load
	loadAt    clock.Millis
	sentSince int // own sends since the report

	probing        bool
	probedAt       clock.Millis
	sentSinceProbe int
	inFlight       int // own requests there

	success      float64 // share of successes, 0 to 1
	successSet   clock.Millis
	failures     int // in a row
	ejections    int
	ejectedUntil clock.Millis
}

// load returns the requests that run or wait at u, as far as known.
func (u *upstream) load() int {
	if !u.reporting {
		return u.inFlight
	}
	return max(u.inFlight, u.report.InFlight+u.report.Queued+u.sentSince)
}

func (u *upstream) fresh(now, span clock.Millis) bool {
	return u.reporting && now-u.loadAt <= span
}

// silent tells whether u owes an answer to a probe for too long.
func (u *upstream) silent(now clock.Millis) bool {
	return u.probing && now-u.probedAt > silentAfter
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
	return 1 - (1-u.success)*math.Exp(-float64(now-u.successSet)/float64(trustMemory))
}

func (p *Placer) learnLoad(now clock.Millis, u *upstream, report *route.LoadReport, sentSince int) {
	if report == nil {
		return
	}
	u.report = *report
	u.reporting = true
	u.loadAt = now
	u.sentSince = sentSince
	if report.Slots > 0 {
		u.Slots = report.Slots
	}
	if report.Slowdown > 0 {
		p.slowdown += meanWeight * (report.Slowdown - p.slowdown)
	}
	if report.Draining {
		p.leaveAlone(now, u, "draining", drainedFor)
	}
}

// leaveAlone takes an upstream out of use for a while.
func (p *Placer) leaveAlone(now clock.Millis, u *upstream, belief string, span clock.Millis) {
	if now >= u.ejectedUntil {
		p.notes = append(p.notes, Note{Upstream: u.ID, Belief: belief, For: span, Failures: u.failures, Success: u.success})
	}
	u.ejectedUntil = max(u.ejectedUntil, now+span)
}

// Notes hands out the changes of belief since it was last called.
func (p *Placer) Notes() []Note {
	n := p.notes
	p.notes = nil
	return n
}

func (p *Placer) learnProbe(now clock.Millis, u *upstream, res route.ProbeResult) {
	u.probing = false
	if res.AddressReassigned {
		p.leaveAlone(now, u, "replaced", replacedFor)
		return
	}
	if res.OK || res.Load != nil {
		// A status check that fails decides nothing by itself: discovery tells who
		// leaves, and requests tell who fails.
		p.learnLoad(now, u, res.Load, u.sentSinceProbe)
		return
	}
	p.leaveAlone(now, u, "unreachable", unreachableFor)
}

// learn takes in what the end of an attempt tells of its upstream.
func (p *Placer) learn(now clock.Millis, a *attempt, res route.Result) {
	u := a.upstream
	u.inFlight--
	if u.sentSince > 0 {
		u.sentSince--
	} else if u.report.InFlight > 0 {
		u.report.InFlight--
	}
	p.learnLoad(now, u, res.Load, 0)
	switch res.Status {
	case route.Succeeded:
		p.learnTime(a, now-a.started)
		u.succeeded(now)
	case route.Refused:
		if res.AddressReassigned {
			p.leaveAlone(now, u, "replaced", replacedFor)
			return
		}
		p.learnRefused(now, u, res)
	case route.NotSent:
		if res.BlockedLocally {
			return
		}
		p.leaveAlone(now, u, "unreachable", unreachableFor)
		p.failed(now, u)
	case route.Errored, route.ConnectionLost:
		p.failed(now, u)
	case route.Cancelled:
	}
}

// learnRefused takes a refusal as a sign of a full upstream. One that refuses
// though it had room fails.
func (p *Placer) learnRefused(now clock.Millis, u *upstream, res route.Result) {
	if res.Load != nil && res.Load.InFlight+res.Load.Queued < u.Slots {
		p.failed(now, u)
		return
	}
	if res.Load == nil {
		u.report.InFlight = max(u.report.InFlight, u.Slots)
		u.loadAt = now
		p.failed(now, u)
	}
}

// learnSilence counts an attempt that got no answer in its time.
func (p *Placer) learnSilence(now clock.Millis, a *attempt) {
	if now-a.started > a.target {
		p.failed(now, a.upstream)
	}
}

// learnTime moves the usual time of the route.
func (p *Placer) learnTime(a *attempt, took clock.Millis) {
	at := float64(took) / max(1, a.slowdown)
	usual := p.usualTime(a.route, a.target)
	p.usual[a.route] = usual + usualWeight*(min(at, 3*usual)-usual)
}

// usualTime returns how long answers of a route usually take, in ms.
func (p *Placer) usualTime(route string, target clock.Millis) float64 {
	if t := p.usual[route]; t > 0 {
		return t
	}
	return usualShare * float64(target)
}

func (u *upstream) succeeded(now clock.Millis) {
	s := u.successAt(now)
	u.success = s + successWeight*(1-s)
	u.successSet = now
	u.failures = 0
	if u.success > 0.9 {
		u.ejections = 0
	}
}

func (p *Placer) failed(now clock.Millis, u *upstream) {
	s := u.successAt(now)
	u.success = s - failureWeight*s
	u.successSet = now
	u.failures++
	if u.failures >= ejectAfter {
		p.leaveAlone(now, u, "ejected", min(mostEjection, leastEjection<<min(u.ejections, 5)))
		u.ejections++
		u.failures = ejectAfter - 1
	}
}
