package place

import (
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// coldFactor multiplies the expected service time at an upstream that has just
	// started.
	coldFactor = 2.0
	// coldRamp is how long coldFactor takes to fall to 1 once an upstream has warmed up. All
	// hosts learn that at the same moment, and the upstream is idle: without the ramp its
	// requests rose from .03 to 1.4 times those of others within a quarter of a second.
	coldRamp = 2 * clock.Second
	// highLoadShare is the share of occupied slots above which an upstream slows down.
	highLoadShare = 0.8
	// highLoadFactor multiplies the expected service time above highLoadShare.
	highLoadFactor = 1.7
	// crossZoneCost is added for an upstream in another availability zone. It covers
	// the round trip and the charge for traffic between zones.
	crossZoneCost = 30 * clock.Millisecond
	// slowThreshold is the slowdown at which an upstream counts as slow, so that
	// further upstreams are probed or the request waits.
	slowThreshold = 1.8
	// maxProbeRounds is how many rounds of probes a request may use before it takes the
	// best upstream known.
	maxProbeRounds = 2
	// costJitter randomises costs, so that hosts with the same information don't all
	// choose the same upstream.
	costJitter = 0.3
	// failurePenalty is the cost of a failed attempt, as a multiple of the target.
	failurePenalty = 1.5
	// probeTimeout is how long a probe may stay unanswered before the upstream counts
	// as silent.
	probeTimeout = 25 * clock.Millisecond
)

// cost estimates the time r would take at u, in ms, including the expected cost of
// a failure.
func (p *Placer) cost(now clock.Millis, r *request, u *upstream) float64 {
	slow := u.slowdownAt(now, p.meanSlowdown)
	load := p.load(now, u)
	work := p.typicalTime(r.Route, r.Target) * slow
	work *= u.coldCost(now)
	slots := float64(max(1, u.Slots))
	if float64(load+1) > highLoadShare*slots {
		work *= highLoadFactor
	}
	if over := float64(load+1) - slots; over > 0 {
		work += over * work / slots
	}
	if u.AvailabilityZone != p.zoneOf(r) {
		work += float64(crossZoneCost)
	}
	return work + u.failureRate(now)*failurePenalty*float64(r.Target)
}

// zoneOf returns the availability zone of the host that has r.
func (p *Placer) zoneOf(r *request) string {
	if r.asker != nil {
		return r.asker.zone
	}
	return p.cfg.AvailabilityZone
}

// hasRoom reports whether u has a slot free for r's priority.
func (p *Placer) hasRoom(now clock.Millis, r *request, u *upstream) bool {
	if r.lateFrom > 0 {
		return p.hasSlot(now, u)
	}
	fill := p.Tuning.FillLimit
	if r.Priority < p.Tuning.FirstNormalPriority {
		fill = p.Tuning.UrgentFillLimit
	}
	return float64(p.load(now, u)+1) <= max(1, fill*float64(u.Slots))
}

// usable reports whether r may be sent to u, regardless of load.
func (p *Placer) usable(now clock.Millis, r *request, u *upstream) bool {
	return p.inUse(now, r, u) && u.admits(now)
}

// inUse reports whether r may be sent to u, regardless of load and of u's warm-up.
func (p *Placer) inUse(now clock.Millis, r *request, u *upstream) bool {
	return p.eligible(now, r, u) && !u.silent(now)
}

// eligible is like inUse, but includes upstreams that have not answered a probe yet.
func (p *Placer) eligible(now clock.Millis, r *request, u *upstream) bool {
	return !u.Leaving && !u.gone && !u.notice.forbids(now) && now >= u.suspendedUntil && !slices.Contains(r.tried, u)
}

// startProbing probes the most promising upstreams for r. It chooses at once when
// their load is known or no probe can be sent.
func (p *Placer) startProbing(now clock.Millis, r *request) {
	if p.cfg.Evacuated {
		p.refuse(now, r, route.ReasonEvacuated)
		return
	}
	p.reportReach(now)
	switch {
	case p.reach.cutOff && r.Forwarded:
		p.refuse(now, r, route.ReasonNoUpstream)
		return
	case p.reach.cutOff && p.forward(now, r):
		return
	}
	r.probed = r.probed[:0]
	r.phase = probing
	r.probeUntil = now + p.Tuning.ProbeWait
	p.probeMore(now, r)
	if !slices.ContainsFunc(r.probed, func(u *upstream) bool { return u.probing }) {
		p.choose(now, r)
	}
}

// probeMore probes further upstreams for r, up to ProbesPerRequest.
func (p *Placer) probeMore(now clock.Millis, r *request) {
	for i := range p.Tuning.ProbesPerRequest {
		u := p.cheapestUnprobed(now, r)
		if u == nil {
			return
		}
		if i > 0 && u.ColdLimited && !p.hasSpareProbes(now) {
			return // nothing is sent there without a probe, so that the last ones must do for more requests
		}
		p.probeUpstream(now, r, u)
	}
}

// probeUpstream probes u for r, unless its load is fresh, a probe is in flight or the
// probe budget is used up.
func (p *Placer) probeUpstream(now clock.Millis, r *request, u *upstream) {
	r.probed = append(r.probed, u)
	if u.probing || u.fresh(now, p.Tuning.MaxLoadAge) && p.knownWarmOrCold(now, u) || p.Tuning.NoProbe || !p.probes.Allow(now, p.Service, "") {
		return
	}
	p.startProbe(now, u)
}

// cheapestUnprobed returns the usable upstream of least cost that r has not probed,
// nil for none.
func (p *Placer) cheapestUnprobed(now clock.Millis, r *request) (best *upstream) {
	var least float64
	for _, u := range p.upstreams {
		if !p.usable(now, r, u) || slices.Contains(r.probed, u) {
			continue
		}
		c := p.cost(now, r, u) * (1 + costJitter*p.Rand.Float64())
		if !p.hasRoom(now, r, u) && now-u.loadAt < fullPenaltyPeriod {
			c *= 4
		}
		if best == nil || c < least {
			best, least = u, c
		}
	}
	return best
}

// fullPenaltyPeriod is how long an upstream last seen without room is ranked lower
// for probes.
const fullPenaltyPeriod = 60 * clock.Millisecond

// choose sends r to the cheapest upstream whose load is known. It probes further
// upstreams when those probed are slow or full, and otherwise queues or refuses r.
func (p *Placer) choose(now clock.Millis, r *request) {
	if p.waitsBehind(r) {
		p.enqueue(now, r)
		return
	}
	best := p.cheapestOf(now, r, r.probed)
	if best != nil && best.slowdownAt(now, p.meanSlowdown) >= slowThreshold || best == nil && len(r.probed) > 0 {
		if len(r.probed) < maxProbeRounds*p.Tuning.ProbesPerRequest && now < r.waitUntil {
			before := len(r.probed)
			r.probeUntil = now + p.Tuning.ProbeWait
			p.probeMore(now, r)
			if slices.ContainsFunc(r.probed[before:], func(u *upstream) bool { return u.probing }) {
				return
			}
			best = p.cheapestOf(now, r, r.probed)
		}
	}
	if best == nil {
		best = p.cheapestKnown(now, r)
	}
	if best == nil && now >= r.waitUntil {
		best = p.lastResort(now, r)
	}
	switch {
	case best != nil && now < r.waitUntil && !r.late && p.wouldMissTarget(now, r, best):
		r.slow = best
		p.enqueue(now, r)
	case best != nil && p.betterRefused(now, r, best):
		p.refuse(now, r, route.ReasonOverloaded)
	case best != nil:
		p.send(now, r, best)
	case now >= r.waitUntil && p.allInDoubt(now, r):
		p.awaitProbes(now, r)
	case p.noneUsable(now, r) && !p.allInDoubt(now, r):
		p.turnAway(now, r, route.ReasonNoUpstream)
	case now >= r.waitUntil:
		p.turnAway(now, r, route.ReasonOverloaded)
	default:
		p.enqueue(now, r)
	}
}

// wouldMissTarget reports whether u is so slow now that r would miss its target there.
func (p *Placer) wouldMissTarget(now clock.Millis, r *request, u *upstream) bool {
	slow := u.slowdownAt(now, p.meanSlowdown)
	return !p.Tuning.AcceptSlow && slow >= slowThreshold && now+clock.Millis(p.typicalTime(r.Route, r.Target)*slow) > r.Arrived+r.Target
}

// betterRefused reports whether r, whose wait is over, should be refused rather than
// sent to u: r would be late there, and would keep a slot for longer than u's slow
// spell lasts, while other requests wait for slots in which they can be in time.
func (p *Placer) betterRefused(now clock.Millis, r *request, u *upstream) bool {
	return !p.Tuning.SendLate && len(p.queue) >= minQueueToRefuse && p.wouldMissTarget(now, r, u)
}

// minQueueToRefuse is the length of the queue from which requests that would be late
// are refused. The request itself may be in the queue.
const minQueueToRefuse = 2

// noneUsable reports whether no upstream is usable for r, so that waiting for a slot
// can't help.
func (p *Placer) noneUsable(now clock.Millis, r *request) bool {
	return !slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return p.usable(now, r, u) || p.hasTurnInTime(now, r, u) })
}

// hasTurnInTime reports whether u, which has named a limit or is limited while it is cold,
// takes r while r may wait.
func (p *Placer) hasTurnInTime(now clock.Millis, r *request, u *upstream) bool {
	if !u.limited() && u.admits(now) {
		return false
	}
	at := max(u.notice.freeAt(now), u.admitsAt(now))
	return at < r.waitUntil && p.inUse(at, r, u)
}

// cheapestOf returns the upstream of least cost in list that is usable, has room and
// has no probe in flight, nil for none.
func (p *Placer) cheapestOf(now clock.Millis, r *request, list []*upstream) (best *upstream) {
	var least float64
	for _, u := range list {
		if u.probing || !p.sendable(now, r, u) || !p.hasRoom(now, r, u) || p.wastesSlot(now, r, u) {
			continue
		}
		if c := p.cost(now, r, u); best == nil || c < least {
			best, least = u, c
		}
	}
	return best
}

// cheapestKnown returns the upstream of least cost with room, going by recent load
// reports, nil for none. Reports older than maxSendLoadAge are ignored, so that an
// upstream once seen full is not excluded for long.
func (p *Placer) cheapestKnown(now clock.Millis, r *request) (best *upstream) {
	var least float64
	for _, u := range p.upstreams {
		if !p.sendable(now, r, u) || !u.reporting || !u.fresh(now, maxSendLoadAge) || !p.hasRoom(now, r, u) || p.wastesSlot(now, r, u) {
			continue
		}
		if c := p.cost(now, r, u); best == nil || c < least {
			best, least = u, c
		}
	}
	if best != nil {
		return best
	}
	// For upstreams that report no load, this host's own requests in flight stand in.
	for _, u := range p.upstreams {
		if u.reporting || u.probing || !p.sendable(now, r, u) || !p.hasRoom(now, r, u) {
			continue
		}
		if c := p.cost(now, r, u) * (1 + costJitter*p.Rand.Float64()); best == nil || c < least {
			best, least = u, c
		}
	}
	return best
}

// lastResort returns the upstream that gets r when its wait ends: the cheapest known
// to have room, or, without probes left to ask again, the slow one that r had when it
// chose to wait for a faster one. It returns nil for none.
func (p *Placer) lastResort(now clock.Millis, r *request) *upstream {
	if u := p.cheapestKnown(now, r); u != nil {
		return u
	}
	u := r.slow
	if u == nil || u.probing || p.probes.Available(now, p.Service, "") >= 1 || !p.sendable(now, r, u) || !p.hasRoom(now, r, u) {
		return nil
	}
	return u
}

// maxSendLoadAge is the oldest load report on which a request may be sent without
// another probe.
const maxSendLoadAge = 40 * clock.Millisecond

// send starts an attempt of r at u.
func (p *Placer) send(now clock.Millis, r *request, u *upstream) {
	if r.asker != nil {
		p.grant(now, r, u)
		return
	}
	p.dequeue(r)
	p.throughput.recordSend(now)
	p.lastAttempt++
	a := &attempt{
		id: p.lastAttempt, request: r, upstream: u, started: now,
		slowdown: u.slowdownAt(now, p.meanSlowdown), target: r.Target, route: r.Route, callerID: r.CallerID,
	}
	p.attempts[a.id] = a
	basis := SendDetail{
		At: now, Waited: now - r.Arrived, Probed: len(r.probed), Reported: u.reporting, Age: now - u.loadAt, Load: p.load(now, u), Slots: u.Slots, Started: u.Started,
		Slowdown: a.slowdown, Attempt: len(r.tried) + 1, Hedge: len(r.running) > 0,
		Limited: u.ColdLimited, Cold: u.cold(now),
	}
	u.takeToken(now)
	r.phase = sent
	r.tried = append(r.tried, u)
	r.running = append(r.running, a)
	r.hedgeAt = 0
	u.inFlight++
	if u.limited() {
		u.notice.pace.use(now)
	}
	u.sentSinceReport++
	u.sentSinceProbe++
	p.planHedge(r, a)
	p.actions = append(p.actions, Action{
		Action: route.Action{Kind: route.Send, Request: r.ID, Attempt: a.id, Upstream: u.ID},
		Sent:   basis,
	})
}
