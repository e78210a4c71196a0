package loadsim

import (
	"math/rand/v2"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// plainRetryAfter is when a plain policy tells refused callers to come back.
const plainRetryAfter = 100 * clock.Millisecond

// Baseline is a policy that sends each request at once, as simple balancers do. It
// sends once and passes on what comes of it.
type Baseline struct {
	// Choose returns the upstream for a request.
	Choose func(p *Baseline) *BaselineUpstream
	Rand   *rand.Rand

	Upstreams []*BaselineUpstream

	last     route.AttemptID
	attempts map[route.AttemptID]plainAttempt
	giveUps  map[route.RequestID]clock.Millis
}

// BaselineUpstream is what a plain policy knows of an upstream.
type BaselineUpstream struct {
	ID           string
	InFlight     int // own requests
	ReportedLoad int // load that it said last
}

type plainAttempt struct {
	request  route.RequestID
	upstream *BaselineUpstream
}

// Random chooses any upstream.
func Random(p *Baseline) *BaselineUpstream { return p.Upstreams[p.Rand.IntN(len(p.Upstreams))] }

// LeastLoad chooses the upstream with the least own requests and reported load.
func LeastLoad(p *Baseline) *BaselineUpstream {
	best := Random(p)
	for _, u := range p.Upstreams {
		if u.load() < best.load() {
			best = u
		}
	}
	return best
}

// PowerOfTwo chooses the better one of two.
func PowerOfTwo(p *Baseline) *BaselineUpstream {
	a, b := Random(p), Random(p)
	if b.load() < a.load() {
		return b
	}
	return a
}

func (u *BaselineUpstream) load() int { return u.InFlight + u.ReportedLoad }

// Configure takes on the upstreams.
func (p *Baseline) Configure(_ clock.Millis, cfg place.Config) []place.Action {
	p.attempts, p.giveUps = map[route.AttemptID]plainAttempt{}, map[route.RequestID]clock.Millis{}
	for _, u := range cfg.Upstreams {
		p.Upstreams = append(p.Upstreams, &BaselineUpstream{ID: u.ID})
	}
	return nil
}

// Offer sends a request.
func (p *Baseline) Offer(_ clock.Millis, in place.Request) []place.Action {
	u := p.Choose(p)
	u.InFlight++
	p.last++
	p.attempts[p.last] = plainAttempt{request: in.ID, upstream: u}
	p.giveUps[in.ID] = in.GiveUp
	return []place.Action{{Action: route.Action{Kind: route.Send, Request: in.ID, Attempt: p.last, Upstream: u.ID}}}
}

// ProbeDone is not used: a plain policy asks nothing.
func (p *Baseline) ProbeDone(clock.Millis, route.ProbeResult) []place.Action { return nil }

// AttemptDone passes the end of an attempt on.
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
		end.Kind, end.RetryAfter = route.Refuse, plainRetryAfter
	default:
		end.Kind = route.Unknown
	}
	return []place.Action{{Action: end}}
}

// Tick gives up what is out of time.
func (p *Baseline) Tick(now clock.Millis) (actions []place.Action) {
	for id, at := range p.giveUps {
		if at <= now {
			delete(p.giveUps, id)
			actions = append(actions, place.Action{Action: route.Action{Kind: route.Unknown, Request: id}})
		}
	}
	return actions
}

// NextTick returns when the first request is out of time, 0 for none.
func (p *Baseline) NextTick() (next clock.Millis) {
	for _, at := range p.giveUps {
		if next == 0 || at < next {
			next = at
		}
	}
	return next
}
