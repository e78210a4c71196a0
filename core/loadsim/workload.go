package loadsim

import (
	"cmp"
	"fmt"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// Priorities is the number of priorities.
const Priorities = 3

// Workload describes a stream of similar requests.
type Workload struct {
	PerSecond  float64
	Priority   int // 0 is the most urgent
	Target     clock.Millis
	Deadline   clock.Millis
	WorkMs     float64 // mean service time at an upstream that is not slow
	Idempotent bool
	// Kind is the route, by which outcomes are counted; "" for one name for each priority.
	Kind string
	// Zone is the availability zone of the hosts that callers send to; "" for all.
	Zone string
	// Factor multiplies PerSecond at a moment; nil for 1.
	Factor func(now clock.Millis) float64
	// Organisations share the requests; empty for none.
	Organisations []Organisation
}

// Request is a caller's request and its state.
type Request struct {
	Violation string // the guarantee that was broken, "" for none
	Completed bool
	GiveUp    clock.Millis

	in           place.Request
	work         float64
	runs         int // runs since it was last offered to a host
	refused      bool
	retries      int
	firstOffered clock.Millis
	zone         string
	host         *host // that has it; nil for none
	organisation string
	counts       []*Counts // of its kind and its organisation
}

// Outcomes counts requests by outcome and priority.
type Outcomes struct {
	Offered, InTime, Late, Refused, Failed [Priorities]int
	Sends                                  int
}

// InTimeShareOf returns the share of requests of a priority answered in time.
func (o *Outcomes) InTimeShareOf(priority int) float64 {
	return float64(o.InTime[priority]) / float64(max(1, o.Offered[priority]))
}

// InTimeShare returns the share of all requests answered in time.
func (o *Outcomes) InTimeShare() float64 { return o.share(o.InTime) }

// LateShare returns the share of all requests answered late.
func (o *Outcomes) LateShare() float64 { return o.share(o.Late) }

// RefusedShare returns the share of all requests whose final answer is a refusal.
func (o *Outcomes) RefusedShare() float64 { return o.share(o.Refused) }

// TotalOffered returns the number of requests of all priorities.
func (o *Outcomes) TotalOffered() (all int) {
	for _, n := range o.Offered {
		all += n
	}
	return all
}

func (o *Outcomes) share(counts [Priorities]int) float64 {
	some := 0
	for _, n := range counts {
		some += n
	}
	return float64(some) / float64(max(1, o.TotalOffered()))
}

// Add adds the outcomes of another simulation.
func (o *Outcomes) Add(x *Outcomes) {
	for p := range Priorities {
		o.Offered[p] += x.Offered[p]
		o.InTime[p] += x.InTime[p]
		o.Late[p] += x.Late[p]
		o.Refused[p] += x.Refused[p]
		o.Failed[p] += x.Failed[p]
	}
	o.Sends += x.Sends
}

func (o *Outcomes) String() string {
	return fmt.Sprintf("asked %v in time %v late %v refused %v failed %v sends %d", o.Offered, o.InTime, o.Late, o.Refused, o.Failed, o.Sends)
}

// Generate generates requests of a workload, with exponential times between them, until
// stop is called or the simulation ends.
func (sim *Simulation) Generate(k Workload) (stop func()) {
	stopped := false
	sim.addUsualDemand(k)
	sim.Kinds.of(k.kind()).WorkMs = k.WorkMs
	var next func()
	next = func() {
		if stopped {
			return
		}
		sim.generate(k)
		sim.After(clock.Millis(sim.Rand.ExpFloat64()*float64(clock.Second)/k.rateAt(sim.now))+1, next)
	}
	next()
	return func() { stopped = true }
}

// kind returns the name by which outcomes are counted.
func (k Workload) kind() string { return cmp.Or(k.Kind, fmt.Sprint("r", k.Priority)) }

// rateAt returns the requests a second at a moment.
func (k Workload) rateAt(now clock.Millis) float64 {
	rate := k.PerSecond
	if len(k.Organisations) > 0 {
		rate *= totalWeight(k.Organisations)
	}
	if k.Factor != nil {
		rate *= k.Factor(now)
	}
	return max(minRate, rate)
}

// minRate is the lowest rate of a workload in requests a second, so that a workload whose
// factor is 0 at one moment goes on.
const minRate = 0.1

func (sim *Simulation) generate(k Workload) {
	kind := k.kind()
	r := &Request{work: k.WorkMs * (0.7 + 0.6*sim.Rand.Float64()), firstOffered: sim.now, GiveUp: sim.now + k.Deadline, zone: k.Zone, in: place.Request{
		ID: route.RequestID(len(sim.Requests) + 1), Route: kind, Priority: k.Priority, Target: k.Target,
		GiveUp: sim.now + k.Deadline, Idempotent: k.Idempotent, MaxAttempts: 2,
	}}
	window := fmt.Sprintf("%02d", (sim.now-sim.start)/windowSpan)
	r.counts = append(r.counts, sim.Kinds.of(kind), sim.Windows.of(window))
	if name := sim.drawOrganisation(k.Organisations); name != "" {
		r.counts = append(r.counts, sim.Organisations.of(name))
		r.organisation = name
	}
	sim.Requests = append(sim.Requests, r)
	sim.Outcomes.Offered[k.Priority]++
	r.count(func(c *Counts) { c.Offered++ })
	sim.offer(r)
}

func (sim *Simulation) offer(r *Request) {
	r.runs, r.refused = 0, false
	h := sim.drawHost(r.zone)
	if sim.dark {
		sim.connectLater(r)
		return
	}
	r.host = sim.hosts[h]
	r.in.Arrived, r.in.CallerLeft = sim.now, r.GiveUp-sim.now
	r.in.OverUse = sim.use(r.organisation)
	r.in.CameBack = r.retries > 0
	sim.carryOut(h, sim.hosts[h].policy.Offer(sim.now, r.in))
}

// drawHost draws a host of an availability zone at random; "" for any.
func (sim *Simulation) drawHost(zone string) int {
	h := sim.Rand.IntN(len(sim.hosts))
	for zone != "" && sim.hosts[h].zone != zone {
		h = sim.Rand.IntN(len(sim.hosts))
	}
	return h
}

// ran records that an upstream has started to run the request.
func (r *Request) ran() {
	r.runs++
	if r.refused {
		r.Violation = "runs after it was refused as not run"
	}
	if r.runs > 1 && !r.in.Idempotent {
		r.Violation = "runs twice though it may run once"
	}
}

// complete gives a caller its answer. A refused caller retries once, if its deadline
// allows.
func (sim *Simulation) complete(a place.Action) {
	r := sim.Requests[a.Request-1]
	if r.Completed {
		panic(fmt.Sprintf("request %d completed twice", a.Request))
	}
	p := r.in.Priority
	took := sim.now - r.firstOffered
	if r.refused = a.Kind == route.Refuse; r.refused && r.runs > 0 {
		r.Violation = "refused as not run though it ran"
	}
	if r.refused {
		sim.Refusals[a.Reason]++
		sim.RefusalWait += sim.now - r.in.Arrived
		r.count(func(c *Counts) { c.Refusals++ })
	}
	switch {
	case a.Kind == route.Finish && took <= r.in.Target:
		sim.Outcomes.InTime[p]++
		r.count(func(c *Counts) { c.InTime++ })
	case a.Kind == route.Finish:
		sim.Outcomes.Late[p]++
		r.count(func(c *Counts) { c.Late++ })
	case a.Kind == route.Refuse && r.retries < max(1, sim.cfg.Retries) && sim.now+a.RetryAfter < r.in.GiveUp:
		r.retries++
		r.host = nil
		sim.After(a.RetryAfter, func() { sim.offer(r) })
		return
	case a.Kind == route.Refuse:
		sim.Outcomes.Refused[p]++
		r.count(func(c *Counts) { c.Refused++ })
	default:
		sim.Outcomes.Failed[p]++
		r.count(func(c *Counts) { c.Failed++ })
	}
	r.Completed = true
}
