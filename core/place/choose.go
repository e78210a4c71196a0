package place

import (
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// coldFactor is how much longer work takes at an upstream that has just started.
	coldFactor = 2.0
	// nearlyFull is the share of the slots from which an upstream slows down.
	nearlyFull = 0.8
	// nearlyFullFactor is by how much.
	nearlyFullFactor = 1.7
	// farCost is what an upstream in another availability zone costs more: the
	// way there and back, and bytes that are paid for.
	farCost = 30 * clock.Millisecond
	// slowAnswer is the slowdown from which further upstreams are asked.
	slowAnswer = 1.8
	// askRounds is how many times a request asks before it takes the best it knows.
	askRounds = 2
	// jitter spreads the choices of many hosts that know the same.
	jitter = 0.3
	// failureCost is what a failure costs, as a multiple of the target.
	failureCost = 1.5
	// silentAfter is how long an upstream may take to answer a probe before it
	// counts as silent.
	silentAfter = 25 * clock.Millisecond
)

// cost estimates how long r would take at u, in ms, with what may go wrong.
func (p *Placer) cost(now clock.Millis, r *request, u *upstream) float64 {
	slow := u.slowdownAt(now, p.slowdown)
	load := u.load()
	work := p.usualTime(r.Route, r.Target) * slow
	if now < u.ColdUntil {
		work *= coldFactor
	}
	slots := float64(max(1, u.Slots))
	if float64(load+1) > nearlyFull*slots {
		work *= nearlyFullFactor
	}
	if over := float64(load+1) - slots; over > 0 {
		work += over * work / slots
	}
	if u.AvailabilityZone != p.cfg.AvailabilityZone {
		work += float64(farCost)
	}
	return work + (1-u.successAt(now))*failureCost*float64(r.Target)
}

// room tells whether u may take r.
func (p *Placer) room(r *request, u *upstream) bool {
	fill := p.Tuning.FillLimit
	if r.Priority < p.Tuning.FirstNormalPriority {
		fill = p.Tuning.UrgentFillLimit
	}
	return float64(u.load()+1) <= max(1, fill*float64(u.Slots))
}

// usable tells whether r may be sent to u at all.
func (p *Placer) usable(now clock.Millis, r *request, u *upstream) bool {
	return !u.Leaving && !u.gone && now >= u.ejectedUntil && !slices.Contains(r.tried, u) && !u.silent(now)
}

// seek asks the likely upstreams for their load, or decides at once when that
// is known or can't be asked.
func (p *Placer) seek(now clock.Millis, r *request) {
	r.asked = r.asked[:0]
	r.phase = asking
	r.askUntil = now + p.Tuning.ProbeWait
	p.ask(now, r)
	if !slices.ContainsFunc(r.asked, func(u *upstream) bool { return u.probing }) {
		p.choose(now, r)
	}
}

// ask adds upstreams to those that r has asked.
func (p *Placer) ask(now clock.Millis, r *request) {
	for range p.Tuning.ProbesPerRequest {
		u := p.likeliest(now, r)
		if u == nil {
			return
		}
		p.measure(now, r, u)
	}
}

// measure asks u for its load on behalf of r, unless that is known or being asked.
func (p *Placer) measure(now clock.Millis, r *request, u *upstream) {
	r.asked = append(r.asked, u)
	if u.probing || u.fresh(now, p.Tuning.MaxLoadAge) || p.Tuning.NoProbe || !p.probes.Allow(now, p.Service, "") {
		return
	}
	u.probing = true
	u.probedAt = now
	u.sentSinceProbe = 0
	p.do(route.Action{Kind: route.Probe, Upstream: u.ID})
}

// likeliest returns the upstream that looks best for r of those it has not asked.
func (p *Placer) likeliest(now clock.Millis, r *request) (best *upstream) {
	var least float64
	for _, u := range p.upstreams {
		if !p.usable(now, r, u) || slices.Contains(r.asked, u) {
			continue
		}
		c := p.cost(now, r, u) * (1 + jitter*p.Rand.Float64())
		if !p.room(r, u) && now-u.loadAt < crowdedFor {
			c *= 4
		}
		if best == nil || c < least {
			best, least = u, c
		}
	}
	return best
}

// crowdedFor is how long an upstream found without room is passed over.
const crowdedFor = 60 * clock.Millisecond

// choose sends r to the best upstream of which enough is known, asks further
// ones when all are slow, or lets r wait for room or for a faster one.
func (p *Placer) choose(now clock.Millis, r *request) {
	best := p.bestOf(now, r, r.asked)
	if best != nil && best.slowdownAt(now, p.slowdown) >= slowAnswer || best == nil && len(r.asked) > 0 {
		if len(r.asked) < askRounds*p.Tuning.ProbesPerRequest && now < r.waitUntil {
			before := len(r.asked)
			r.askUntil = now + p.Tuning.ProbeWait
			p.ask(now, r)
			if slices.ContainsFunc(r.asked[before:], func(u *upstream) bool { return u.probing }) {
				return
			}
			best = p.bestOf(now, r, r.asked)
		}
	}
	if best == nil {
		best = p.bestKnown(now, r)
	}
	switch {
	case best != nil && now < r.waitUntil && p.tooSlow(now, r, best):
		p.enqueue(now, r)
	case best != nil:
		p.send(now, r, best)
	case p.hopeless(now, r):
		p.refuse(now, r, route.ReasonNoUpstream)
	case now >= r.waitUntil:
		p.refuse(now, r, route.ReasonOverloaded)
	default:
		p.enqueue(now, r)
	}
}

// tooSlow tells whether u is so slow now that r would miss its target there.
func (p *Placer) tooSlow(now clock.Millis, r *request, u *upstream) bool {
	slow := u.slowdownAt(now, p.slowdown)
	return !p.Tuning.AcceptSlow && slow >= slowAnswer && now+clock.Millis(p.usualTime(r.Route, r.Target)*slow) > r.Arrived+r.Target
}

// hopeless tells whether waiting can't help: nothing that r could be sent to is
// in use.
func (p *Placer) hopeless(now clock.Millis, r *request) bool {
	return !slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return p.usable(now, r, u) })
}

// bestOf returns the cheapest of list that has room and whose load is known or
// can't be known.
func (p *Placer) bestOf(now clock.Millis, r *request, list []*upstream) (best *upstream) {
	var least float64
	for _, u := range list {
		if u.probing || !p.usable(now, r, u) || !p.room(r, u) {
			continue
		}
		if c := p.cost(now, r, u); best == nil || c < least {
			best, least = u, c
		}
	}
	return best
}

// bestKnown returns the cheapest upstream with room, by what is known now. Old
// knowledge of a full upstream does not count against it for long.
func (p *Placer) bestKnown(now clock.Millis, r *request) (best *upstream) {
	var least float64
	for _, u := range p.upstreams {
		if !p.usable(now, r, u) || !u.reporting || !u.fresh(now, knownFor) || !p.room(r, u) {
			continue
		}
		if c := p.cost(now, r, u); best == nil || c < least {
			best, least = u, c
		}
	}
	if best != nil {
		return best
	}
	// Without reports the count of this host's own requests has to do.
	for _, u := range p.upstreams {
		if u.reporting || u.probing || !p.usable(now, r, u) || !p.room(r, u) {
			continue
		}
		if c := p.cost(now, r, u) * (1 + jitter*p.Rand.Float64()); best == nil || c < least {
			best, least = u, c
		}
	}
	return best
}

// knownFor is how old a load may be for a send without asking again.
const knownFor = 40 * clock.Millisecond

// send starts an attempt of r at u.
func (p *Placer) send(now clock.Millis, r *request, u *upstream) {
	p.dequeue(r)
	p.last++
	a := &attempt{
		id: p.last, request: r, upstream: u, started: now,
		slowdown: u.slowdownAt(now, p.slowdown), target: r.Target, route: r.Route,
	}
	p.attempts[a.id] = a
	basis := SendDetail{
		Waited: now - r.Arrived, Probed: len(r.asked), Reported: u.reporting, Age: now - u.loadAt, Load: u.load(), Slots: u.Slots,
		Slowdown: a.slowdown, Attempt: len(r.tried) + 1, Hedge: len(r.running) > 0,
	}
	r.phase = sent
	r.tried = append(r.tried, u)
	r.running = append(r.running, a)
	r.hedgeAt = 0
	u.inFlight++
	u.sentSince++
	u.sentSinceProbe++
	p.planHedge(r, a)
	p.actions = append(p.actions, Action{
		Action: route.Action{Kind: route.Send, Request: r.ID, Attempt: a.id, Upstream: u.ID},
		Sent:   basis,
	})
}
