package place

import (
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// maxForwards is how many hosts a request is passed to until one takes it.
	maxForwards = 3
	// hostAvoidPeriod is how long nothing is passed to a host that did not take a request, as
	// long as there are others, and hostTrialInterval how often one is passed on if there are
	// none.
	hostAvoidPeriod   = clock.Second
	hostTrialInterval = 100 * clock.Millisecond
	// reachProbeInterval is how often a host that is cut off looks whether it still is.
	reachProbeInterval = 250 * clock.Millisecond
)

// Host is another host that may send a request to an upstream for this one.
type Host struct {
	ID               string
	AvailabilityZone string
}

// ForwardDetail is what a request is passed to another host with.
type ForwardDetail struct {
	AttemptsLeft int // upstreams that it may still be sent to
	Unanswered   int // upstreams that have not answered this host since one last did
	// GiveUp is the latest time of the other host's reply: that of the request, or when this
	// host stops.
	GiveUp clock.Millis
}

// turnAway passes r to another host if this one does not reach most of the upstreams, and
// refuses it otherwise.
func (p *Placer) turnAway(now clock.Millis, r *request, reason route.Reason) {
	if !p.outOfReach() && !p.farFromMost(now) || !p.forward(now, r) {
		p.refuse(now, r, reason)
	}
}

// forward passes r to another host. It returns false if it may not be passed on, or no
// host is left.
func (p *Placer) forward(now clock.Millis, r *request) bool {
	h := p.chooseHost(now, r)
	if h == "" {
		return false
	}
	p.dequeue(r)
	if now < p.avoidedHosts[h] {
		p.hostTrialAt = now + hostTrialInterval
	}
	p.lastAttempt++
	left := max(1, r.MaxAttempts-r.arrivals-len(r.running))
	a := &attempt{id: p.lastAttempt, request: r, host: h, sends: left, started: now, target: r.Target, route: r.Route, callerID: r.CallerID}
	p.attempts[a.id] = a
	r.phase = sent
	r.hedgeAt = 0
	r.running = append(r.running, a)
	r.triedHosts = append(r.triedHosts, h)
	p.actions = append(p.actions, Action{
		Action:  route.Action{Kind: route.Forward, Request: r.ID, Attempt: a.id, Host: h},
		Forward: ForwardDetail{AttemptsLeft: left, Unanswered: len(p.reach.failed), GiveUp: p.latestReply(r)},
	})
	return true
}

// latestReply returns until when this host can pass on a reply to r.
func (p *Placer) latestReply(r *request) clock.Millis {
	if p.limitedByStop(r.Request) {
		return p.stop.At
	}
	return r.GiveUp
}

// chooseHost returns the host that r may be passed to, "" for none. Hosts of other
// availability zones come first, as those of this one may be cut off too.
func (p *Placer) chooseHost(now clock.Millis, r *request) string {
	if r.Forwarded || r.withheld || now >= r.GiveUp || len(r.triedHosts) >= maxForwards {
		return ""
	}
	var near, far []string
	for _, h := range p.cfg.Hosts {
		switch {
		case now < p.avoidedHosts[h.ID] || slices.Contains(r.triedHosts, h.ID):
		case h.AvailabilityZone == p.cfg.AvailabilityZone:
			near = append(near, h.ID)
		default:
			far = append(far, h.ID)
		}
	}
	if len(far) == 0 {
		far = near
	}
	if len(far) == 0 {
		return p.hostForTrial(now, r)
	}
	return far[p.Rand.IntN(len(far))]
}

// hostForTrial returns the host that has been avoided for the longest time, "" if r has been
// passed to all, or a trial is not due.
func (p *Placer) hostForTrial(now clock.Millis, r *request) (id string) {
	if now < p.hostTrialAt {
		return ""
	}
	for _, h := range p.cfg.Hosts {
		if !slices.Contains(r.triedHosts, h.ID) && (id == "" || p.avoidedHosts[h.ID] < p.avoidedHosts[id]) {
			id = h.ID
		}
	}
	return id
}

// avoidHost keeps requests from being passed to a host for hostAvoidPeriod.
func (p *Placer) avoidHost(now clock.Millis, id string) {
	p.avoidedHosts[id] = now + hostAvoidPeriod
	p.hostTrialAt = now + hostTrialInterval
}

// afterForward finishes or refuses r, or passes it on again, after another host has ended
// its attempt a. With status NotSent the host has not taken it, as it is cut off too, is
// shutting down or can't be reached; with Refused it has, and gives a reason.
func (p *Placer) afterForward(now clock.Millis, r *request, a *attempt, res route.Result) {
	switch res.Status {
	case route.Succeeded, route.Errored:
		delete(p.avoidedHosts, a.host)
		p.finish(r, a.id)
		return
	case route.Refused:
		delete(p.avoidedHosts, a.host)
		r.lastReason, r.retryAfter = res.Reason, res.Notice.RetryAfter
	case route.NotSent:
		if !res.BlockedLocally {
			p.avoidHost(now, a.host)
		}
		r.lastReason = route.ReasonNoUpstream
	case route.Cancelled:
		r.arrivals += a.sends
		r.mayHaveRun = true
		r.lastReason = route.ReasonReplyMemory
	default:
		p.avoidHost(now, a.host)
		r.arrivals += a.sends
		r.mayHaveRun = true
		r.lastReason = route.ReasonConnectionLost
	}
	if len(r.running) > 0 {
		return // another attempt may still answer
	}
	if r.withheld || res.Status == route.Refused || res.Status != route.NotSent && !p.mayRetry(now, r, res.Status) {
		p.refuse(now, r, r.lastReason)
		return
	}
	r.waitUntil = max(r.waitUntil, now+p.Tuning.ProbeWait)
	p.findSlot(now, r)
}

// probeForReach probes an upstream at random while this host is cut off.
func (p *Placer) probeForReach(now clock.Millis) {
	if !p.reach.cutOff || now < p.reach.probeAt {
		return
	}
	p.reach.probeAt = now + reachProbeInterval
	var idle []*upstream
	for _, u := range p.upstreams {
		if !u.probing && !u.Leaving {
			idle = append(idle, u)
		}
	}
	if len(idle) == 0 {
		return
	}
	p.startProbe(now, idle[p.Rand.IntN(len(idle))])
}
