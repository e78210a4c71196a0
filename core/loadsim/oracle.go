package loadsim

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

const (
	// oracleInterval is how often an Oracle looks at the upstreams.
	oracleInterval = 5 * clock.Millisecond
	// oracleRepeatRatio is the share of the requests that an Oracle sends a second time.
	oracleRepeatRatio = repeatRatio
)

// Oracle decides for all hosts of a simulation together. It knows the state of all
// upstreams at each moment and needs no messages, so that what it reaches bounds what hosts
// can. It knows neither the exact work of a request nor future changes of speed.
type Oracle struct {
	// Slots is the number of requests that it gives to one upstream at a time.
	Slots int
	// NoHedge disables second attempts.
	NoHedge bool

	sim       *Simulation
	config    Config
	hosts     int // started
	waiting   []*oracleRequest
	running   map[route.AttemptID]*oracleRequest
	sending   map[*Upstream]int // requests on their way
	last      route.AttemptID
	repeats   float64
	scheduled bool
}

type oracleRequest struct {
	place.Request
	host     int
	attempts map[route.AttemptID]*Upstream
}

// PlayOracle runs the scenario with an Oracle.
func (s Scenario) PlayOracle(seed uint64, o *Oracle) *Simulation {
	o.running, o.sending = map[route.AttemptID]*oracleRequest{}, map[*Upstream]int{}
	cfg := s.Config
	cfg.Seed, cfg.Policy, o.config = seed, o.newHost, cfg
	o.sim = New(cfg)
	s.Start(o.sim)
	o.sim.Run(s.Span)
	return o.sim
}

// newHost returns the policy of the next host. Hosts start in order, also after a loss of
// power.
func (o *Oracle) newHost(*rand.Rand) Policy {
	o.hosts++
	return &oracleHost{o: o, index: (o.hosts - 1) % o.config.Hosts}
}

// oracleHost passes the events of one host to the Oracle.
type oracleHost struct {
	o     *Oracle
	index int
}

func (h *oracleHost) Configure(clock.Millis, place.Config) []place.Action { return nil }

func (h *oracleHost) Offer(_ clock.Millis, in place.Request) []place.Action {
	h.o.repeats += oracleRepeatRatio
	h.o.waiting = append(h.o.waiting, &oracleRequest{Request: in, host: h.index, attempts: map[route.AttemptID]*Upstream{}})
	h.o.schedule()
	return nil
}

func (h *oracleHost) ProbeDone(clock.Millis, route.ProbeResult) []place.Action { return nil }

func (h *oracleHost) AttemptDone(_ clock.Millis, res route.Result) []place.Action {
	r := h.o.running[res.Attempt]
	h.o.schedule()
	if r == nil {
		return nil
	}
	delete(h.o.running, res.Attempt)
	delete(r.attempts, res.Attempt)
	if res.Status != route.Succeeded {
		if len(r.attempts) == 0 {
			h.o.waiting = append(h.o.waiting, r)
		}
		return nil
	}
	actions := []place.Action{{Action: route.Action{Kind: route.Finish, Request: r.ID, Attempt: res.Attempt}}}
	for id, u := range r.attempts {
		delete(h.o.running, id)
		actions = append(actions, place.Action{Action: route.Action{Kind: route.Cancel, Request: r.ID, Attempt: id, Upstream: u.ID}})
	}
	return actions
}

func (h *oracleHost) Tick(clock.Millis) []place.Action { return nil }

func (h *oracleHost) NextTick() clock.Millis { return 0 }

// schedule makes the Oracle decide after the present event.
func (o *Oracle) schedule() {
	if !o.scheduled {
		o.scheduled = true
		o.sim.After(0, func() {
			o.scheduled = false
			o.decide()
		})
	}
}

func (o *Oracle) decide() {
	now := o.sim.now
	o.waiting = slices.DeleteFunc(o.waiting, func(r *oracleRequest) bool {
		if now < r.GiveUp {
			return false
		}
		o.sim.carryOut(r.host, []place.Action{{Action: route.Action{Kind: route.Unknown, Request: r.ID}}})
		return true
	})
	slices.SortStableFunc(o.waiting, func(a, b *oracleRequest) int {
		return cmp.Or(o.lateness(a)-o.lateness(b), cmp.Compare(a.Priority, b.Priority), cmp.Compare(o.due(a), o.due(b)))
	})
	o.waiting = slices.DeleteFunc(o.waiting, func(r *oracleRequest) bool {
		u := o.choose(r)
		if u != nil {
			o.send(r, u)
		}
		return u != nil
	})
	if len(o.waiting) == 0 && !o.NoHedge {
		o.hedge()
	}
	if len(o.waiting) > 0 || len(o.running) > 0 {
		o.sim.After(oracleInterval, o.schedule)
	}
}

// due returns when the answer to r has to come.
func (o *Oracle) due(r *oracleRequest) clock.Millis {
	return o.sim.Requests[r.ID-1].firstOffered + r.Target
}

// lateness returns 1 if r can't be in time.
func (o *Oracle) lateness(r *oracleRequest) int {
	if o.sim.now+o.usual(r) > o.due(r) {
		return 1
	}
	return 0
}

// usual returns the usual time of r at an upstream that is not slow.
func (o *Oracle) usual(r *oracleRequest) clock.Millis {
	return clock.Millis(o.sim.Kinds.of(r.Route).WorkMs) + 2*linkLatency
}

// choose returns a fast upstream with room, or, if r can wait no longer, a slow one.
func (o *Oracle) choose(r *oracleRequest) (best *Upstream) {
	mustGo := o.sim.now+o.usual(r)+oracleInterval > o.due(r) && o.lateness(r) == 0
	rank := func(u *Upstream) float64 {
		rank := o.sim.slowdownNow(u)*100 + float64(o.load(u))
		if o.sim.hosts[r.host].zone != u.Zone {
			rank += 0.5
		}
		return rank
	}
	for _, u := range o.sim.Upstreams {
		if u.Down || u.Silent || o.load(u) >= o.Slots || u.slowdown > 1 && !mustGo {
			continue
		}
		if best == nil || rank(u) < rank(best) {
			best = u
		}
	}
	return best
}

func (o *Oracle) load(u *Upstream) int { return u.running + len(u.queue) + o.sending[u] }

func (o *Oracle) send(r *oracleRequest, u *Upstream) {
	o.last++
	r.attempts[o.last] = u
	o.running[o.last] = r
	o.sending[u]++
	o.sim.After(o.sim.latency(r.host, u), func() { o.sending[u]-- })
	o.sim.carryOut(r.host, []place.Action{{Action: route.Action{Kind: route.Send, Request: r.ID, Attempt: o.last, Upstream: u.ID}}})
}

// hedge sends requests that run on slow upstreams to fast ones that are idle.
func (o *Oracle) hedge() {
	for id := route.AttemptID(1); id <= o.last; id++ {
		r := o.running[id]
		if r == nil || !r.Idempotent || len(r.attempts) != 1 || o.repeats < 1 || r.attempts[id].slowdown == 1 || o.lateness(r) == 1 {
			continue
		}
		if u := o.choose(r); u != nil && u.slowdown == 1 {
			o.repeats--
			o.send(r, u)
		}
	}
}
