package place

import (
	"math"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// slowdownMemory is the time constant with which a reported slowdown decays to the
	// mean: after it the report weighs about a third. Upstreams stay slow for some
	// hundred milliseconds at a time.
	slowdownMemory = 200 * clock.Millisecond
	// successMemory is the time constant with which past failures decay when no new
	// result arrives.
	successMemory = 5 * clock.Second
	// failureWeight is the weight of one failure in an upstream's success rate.
	failureWeight = 0.4
	// successWeight is the weight of one success in an upstream's success rate.
	successWeight = 0.2
	// trialPause is how long an upstream goes without a result before its past failures are
	// disregarded for one request. Each success since the last failure halves it, up to
	// maxTrialHalvings times.
	trialPause       = clock.Second
	maxTrialHalvings = 5
	// loadMemory is how long a load report counts that is above the mean. An upstream last seen
	// full would else never be asked again while others have room.
	loadMemory = clock.Second
	// ejectAfter is the number of consecutive failures after which an upstream is
	// ejected.
	ejectAfter = 3
	// minUsedShare is the share of the upstreams above which one that sheds requests may be
	// ejected. While all shed 55 in 100 of a load equal to their capacity, .709 of the
	// requests are in time with this bound and .648 without one.
	minUsedShare = 0.9
	// minEjection and maxEjection bound the time of an ejection, which doubles with each
	// one.
	minEjection = 500 * clock.Millisecond
	maxEjection = 8 * clock.Second
	// unreachablePeriod is the suspension of an upstream that accepts no connection.
	unreachablePeriod = 400 * clock.Millisecond
	// replacedPeriod is the suspension of an upstream whose address now belongs to
	// another one. Service discovery reports the change within this time.
	replacedPeriod = 5 * clock.Second
	// drainingPeriod is the suspension of an upstream that reports that it is draining.
	// Service discovery reports the change within this time.
	drainingPeriod = 3 * clock.Second
	// typicalTimeWeight is the weight of one answer in a route's typical service time.
	typicalTimeWeight = 0.05
	// initialTypicalShare is the share of the target used as the typical service time
	// until the first answer.
	initialTypicalShare = 0.4
	// meanSlowdownWeight is the weight of one report in the mean slowdown, and in the mean load.
	meanSlowdownWeight = 0.02
)

// upstream is this host's state of one upstream.
type upstream struct {
	Upstream
	gone   bool    // no longer listed by service discovery
	notice *notice // what it has said about itself; nil for nothing
	warmUp warmUp

	report          route.LoadReport
	reporting       bool // has reported its load at least once
	loadAt          clock.Millis
	sentSinceReport int // this host's sends since the report
	foreign         foreignLoad

	unansweredAt    clock.Millis // when it last did not answer; 0 if it has since
	probing         bool
	probedAt        clock.Millis
	sentSinceProbe  int
	sentBeforeProbe int // sends between the last two probes
	inFlight        int // this host's requests there

	success        float64 // share of successes, 0 to 1
	successSet     clock.Millis
	failures       int // consecutive
	successes      int // since the last failure
	ejections      int
	suspendedUntil clock.Millis
}

// load estimates the requests running or queued at u: the last report plus this host's
// sends since, and at least this host's requests in flight. A report older than loadMemory
// counts up to the mean of all upstreams only.
func (p *Placer) load(now clock.Millis, u *upstream) int {
	if !u.reporting {
		return u.inFlight
	}
	load := u.report.InFlight + u.report.Queued + u.sentSinceReport
	if u.foreign.known {
		load = u.inFlight + u.foreign.requests()
	}
	if !u.fresh(now, loadMemory) {
		load = min(load, int(math.Round(p.meanFill*float64(u.Slots))))
	}
	return max(u.inFlight, load)
}

// limited reports whether u has named a limit on its requests.
func (u *upstream) limited() bool { return u.notice != nil && u.notice.perSecond > 0 }

func (u *upstream) fresh(now, span clock.Millis) bool {
	return u.reporting && now-u.loadAt <= span
}

// silent reports whether a probe of u has been unanswered for more than probeTimeout.
func (u *upstream) silent(now clock.Millis) bool {
	return u.probing && now-u.probedAt > probeTimeout
}

// slowdownAt estimates the slowdown of u. The reported value decays towards the mean
// of all upstreams as the report ages.
func (u *upstream) slowdownAt(now clock.Millis, mean float64) float64 {
	if !u.reporting || u.report.Slowdown <= 0 {
		return mean
	}
	known := math.Exp(-float64(now-u.loadAt) / float64(slowdownMemory))
	return mean + known*(u.report.Slowdown-mean)
}

// successAt returns the success rate of u, in which old failures weigh less.
func (u *upstream) successAt(now clock.Millis) float64 {
	return 1 - (1-u.success)*math.Exp(-float64(now-u.successSet)/float64(successMemory))
}

// dueForTrial reports whether u's past failures are disregarded for the next request. They
// would else keep requests from u, and so the results that show that it has recovered, as
// long as others have room.
func (u *upstream) dueForTrial(now clock.Millis) bool {
	return u.inFlight == 0 && now-max(u.successSet, u.unansweredAt) >= trialPause>>min(u.successes, maxTrialHalvings)
}

// failureRate returns the share of failures to expect of the next request to u.
func (u *upstream) failureRate(now clock.Millis) float64 {
	if u.dueForTrial(now) {
		return 0
	}
	return 1 - u.successAt(now)
}

func (p *Placer) recordLoad(now clock.Millis, u *upstream, report *route.LoadReport, sentSinceReport int) {
	if report == nil {
		return
	}
	u.report = *report
	u.reporting = true
	u.loadAt = now
	u.sentSinceReport = sentSinceReport
	u.foreign.record(p.allocates(now), report.InFlight+report.Queued-u.inFlight)
	if report.Slots > 0 {
		u.Slots = report.Slots
	}
	if u.Slots > 0 {
		p.meanFill += meanSlowdownWeight * (float64(report.InFlight+report.Queued)/float64(u.Slots) - p.meanFill)
	}
	if report.Slowdown > 0 {
		p.meanSlowdown += meanSlowdownWeight * (report.Slowdown - p.meanSlowdown)
	}
	if report.Draining {
		p.suspend(now, u, "draining", drainingPeriod)
	}
}

// suspend takes u out of use for span, and records the change unless u was already
// suspended.
func (p *Placer) suspend(now clock.Millis, u *upstream, state string, span clock.Millis) {
	if now >= u.suspendedUntil {
		p.stateChanges = append(p.stateChanges, StateChange{Upstream: u.ID, State: state, For: span, Failures: u.failures, Success: u.success})
	}
	u.suspendedUntil = max(u.suspendedUntil, now+span)
}

// StateChanges returns the changes of upstream state since the last call.
func (p *Placer) StateChanges() []StateChange {
	n := p.stateChanges
	p.stateChanges = nil
	return n
}

func (p *Placer) recordProbe(now clock.Millis, u *upstream, res route.ProbeResult) {
	u.probing = false
	if res.OK || res.Answered {
		p.recordAnswer(now, u)
	} else {
		p.recordNoAnswer(now, u)
	}
	p.recordProbeNotice(now, u, res.Notice)
	if res.AddressReassigned {
		p.suspend(now, u, "replaced", replacedPeriod)
		return
	}
	if res.OK || res.Answered {
		p.recordWarmUp(now, u, res)
	}
	if res.OK || res.Load != nil {
		// A failed status check alone does not suspend an upstream: service discovery
		// reports which ones leave, and request results show which ones fail.
		p.recordLoad(now, u, res.Load, u.sentSinceProbe)
		return
	}
	p.suspend(now, u, "unreachable", unreachablePeriod)
}

// endSend counts the end of a send from the load of u.
func (u *upstream) endSend() {
	u.inFlight--
	if u.sentSinceReport > 0 {
		u.sentSinceReport--
	} else if u.report.InFlight > 0 {
		u.report.InFlight--
	}
}

// recordResult updates the upstream's state from the result of an attempt.
func (p *Placer) recordResult(now clock.Millis, a *attempt, res route.Result) {
	u := a.upstream
	u.endSend()
	p.recordLoad(now, u, res.Load, 0)
	replied := res.Status == route.Succeeded || res.Status == route.Errored || res.Status == route.Refused
	switch {
	case replied:
		p.recordAnswer(now, u)
	case res.Status != route.Cancelled && !res.BlockedLocally:
		p.recordNoAnswer(now, u)
	}
	if replied && !res.AddressReassigned {
		p.recordNotice(now, u, res.Notice, a.callerID)
	}
	switch res.Status {
	case route.Succeeded:
		p.updateTypicalTime(a, now-a.started)
		u.recordSuccess(now)
	case route.Refused:
		if res.AddressReassigned {
			p.suspend(now, u, "replaced", replacedPeriod)
			return
		}
		if res.Notice.RetryAfter == 0 {
			p.recordRefusal(now, u, res)
		}
	case route.NotSent:
		if res.BlockedLocally {
			return
		}
		p.suspend(now, u, "unreachable", unreachablePeriod)
		p.recordFailure(now, u)
	case route.Errored, route.ConnectionLost:
		p.recordFailure(now, u)
	case route.Cancelled:
	}
}

// recordRefusal counts a refusal as a failure when the upstream reports room, or
// reports no load. In the latter case it is assumed full.
func (p *Placer) recordRefusal(now clock.Millis, u *upstream, res route.Result) {
	if res.Load != nil && u.reportsRoom(res.Load) {
		p.recordShed(now, u)
		return
	}
	if res.Load == nil {
		u.report.InFlight = max(u.report.InFlight, u.Slots)
		u.loadAt = now
		p.recordShed(now, u)
	}
}

func (u *upstream) reportsRoom(load *route.LoadReport) bool {
	return load.InFlight+load.Queued < u.Slots
}

// recordTimeout counts an attempt without an answer as a failure, if it ran longer
// than the request's target.
func (p *Placer) recordTimeout(now clock.Millis, a *attempt) {
	switch {
	case now-a.started <= a.target:
	case a.host != "":
		p.avoidHost(now, a.host)
	default:
		p.recordNoAnswer(now, a.upstream)
		p.recordFailure(now, a.upstream)
	}
}

// updateTypicalTime updates the typical service time of the attempt's route.
func (p *Placer) updateTypicalTime(a *attempt, took clock.Millis) {
	normalised := float64(took) / max(1, a.slowdown)
	typical := p.typicalTime(a.route, a.target)
	p.typicalTimes[a.route] = typical + typicalTimeWeight*(min(normalised, 3*typical)-typical)
}

// typicalTime returns the typical service time of a route at slowdown 1, in ms.
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
	u.successes++
	if u.success > 0.9 {
		u.ejections = 0
	}
}

// recordShed counts a refusal as a failure. u is ejected only while nearly all upstreams
// are in use: where all shed alike, ejection takes away room that the service is short of,
// and the others shed no less. The lower success rate makes u the last choice anyway.
func (p *Placer) recordShed(now clock.Millis, u *upstream) {
	p.lowerSuccess(now, u)
	if !p.cfg.Overload && !p.allocates(now) || p.Tuning.NoShedRules || p.usedShare(now) > minUsedShare {
		p.ejectIfFailing(now, u)
	}
}

// usedShare returns the share of the listed upstreams that are not suspended.
func (p *Placer) usedShare(now clock.Millis) float64 {
	listed, used := 0, 0
	for _, u := range p.upstreams {
		if u.Leaving {
			continue
		}
		listed++
		if now >= u.suspendedUntil {
			used++
		}
	}
	return float64(used) / float64(max(1, listed))
}

func (p *Placer) recordFailure(now clock.Millis, u *upstream) {
	p.lowerSuccess(now, u)
	p.ejectIfFailing(now, u)
}

// lowerSuccess counts a failure of u.
func (p *Placer) lowerSuccess(now clock.Millis, u *upstream) {
	s := u.successAt(now)
	u.success = s - failureWeight*s
	u.successSet = now
	u.failures++
	u.successes = 0
}

// ejectIfFailing ejects u after several failures in a row.
func (p *Placer) ejectIfFailing(now clock.Millis, u *upstream) {
	if u.failures >= ejectAfter {
		p.suspend(now, u, "ejected", min(maxEjection, minEjection<<min(u.ejections, 5)))
		u.ejections++
		u.failures = ejectAfter - 1
	}
}
