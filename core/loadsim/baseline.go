package loadsim

import (
	"math/rand/v2"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// baselineRetryAfter is the retry delay that a baseline policy sends to refused callers.
const baselineRetryAfter = 100 * clock.Millisecond

// Baseline is a policy like those of simple load balancers: it sends each request at
// once, sends it only once, and passes on the result.
type Baseline struct {
	// Choose returns the upstream for the next request.
	Choose func(p *Baseline) *BaselineUpstream
	Rand   *rand.Rand

	Upstreams []*BaselineUpstream

	last     route.AttemptID
	attempts map[route.AttemptID]baselineAttempt
	giveUps  map[route.RequestID]clock.Millis
}

// BaselineUpstream is a baseline policy's state of an upstream.
type BaselineUpstream struct {
	ID           string
	InFlight     int // this host's requests in flight
	ReportedLoad int // load that it reported last
}

type baselineAttempt struct {
	request  route.RequestID
	upstream *BaselineUpstream
}

// Random chooses an upstream at random.
func Random(p *Baseline) *BaselineUpstream { return p.Upstreams[p.Rand.IntN(len(p.Upstreams))] }

// LeastLoad chooses the upstream with the least sum of this host's requests and reported
// load.
func LeastLoad(p *Baseline) *BaselineUpstream {
	best := Random(p)
	for _, u := range p.Upstreams {
		if u.load() < best.load() {
			best = u
		}
	}
	return best
}

// PowerOfTwo chooses the less loaded of two random upstreams.
func PowerOfTwo(p *Baseline) *BaselineUpstream {
	a, b := Random(p), Random(p)
	if b.load() < a.load() {
		return b
	}
	return a
}

func (u *BaselineUpstream) load() int { return u.InFlight + u.ReportedLoad }

// Configure sets the upstreams.
func (p *Baseline) Configure(_ clock.Millis, cfg place.Config) []place.Action {
	p.attempts, p.giveUps = map[route.AttemptID]baselineAttempt{}, map[route.RequestID]clock.Millis{}
	for _, u := range cfg.Upstreams {
		p.Upstreams = append(p.Upstreams, &BaselineUpstream{ID: u.ID})
	}
	return nil
}

// Offer sends a request to the upstream that Choose returns.
func (p *Baseline) Offer(_ clock.Millis, in place.Request) []place.Action {
	u := p.Choose(p)
	u.InFlight++
	p.last++
	p.attempts[p.last] = baselineAttempt{request: in.ID, upstream: u}
	p.giveUps[in.ID] = in.GiveUp
	return []place.Action{{Action: route.Action{Kind: route.Send, Request: in.ID, Attempt: p.last, Upstream: u.ID}}}
}

// ProbeDone does nothing: a baseline policy sends no probes.
func (p *Baseline) ProbeDone(clock.Millis, route.ProbeResult) []place.Action { return nil }

// AttemptDone passes the result of an attempt on to the caller.
func (p *Baseline) AttemptDone(_ clock.Millis, res route.Result) []place.Action {
	a, ok := p.attempts[res.Attempt]
	if !ok {
		return nil
	}
	delete(p.attempts, res.Attempt)
	a.upstream.InFlight--
	if res.Load != nil {
		a.upstream.ReportedLoad = res.Load.InFlight + res.Load.Queued
	}
	if _, waits := p.giveUps[a.request]; !waits {
		return nil
	}
	delete(p.giveUps, a.request)
	end := route.Action{Kind: route.Finish, Request: a.request, Attempt: res.Attempt}
	switch res.Status {
	case route.Succeeded:
	case route.Refused, route.NotSent:
		end.Kind, end.RetryAfter = route.Refuse, baselineRetryAfter
	default:
		end.Kind = route.Unknown
	}
	return []place.Action{{Action: end}}
}

// Tick ends the requests that have reached their deadline.
func (p *Baseline) Tick(now clock.Millis) (actions []place.Action) {
	for id, at := range p.giveUps {
		if at <= now {
			delete(p.giveUps, id)
			actions = append(actions, place.Action{Action: route.Action{Kind: route.Unknown, Request: id}})
		}
	}
	return actions
}

// NextTick returns the earliest deadline of a request, 0 for none.
func (p *Baseline) NextTick() (next clock.Millis) {
	for _, at := range p.giveUps {
		if next == 0 || at < next {
			next = at
		}
	}
	return next
}
