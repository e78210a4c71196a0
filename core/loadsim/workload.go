package loadsim

import (
	"fmt"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// Priorities is how many priorities there are.
const Priorities = 3

// Workload is a kind of requests.
type Workload struct {
	PerSecond  float64
	Priority   int // 0 is the most urgent
	Target     clock.Millis
	Deadline   clock.Millis
	WorkMs     float64 // ms at an upstream that is not slow, on the mean
	Idempotent bool
}

// Request is a caller's request and how it went.
type Request struct {
	Violation string // the promise that was broken, "" for none
	Completed bool
	GiveUp    clock.Millis

	in       place.Request
	work     float64
	offered  int // runs since it was offered last
	refused  bool
	retries  int
	firstAsk clock.Millis
}

// Outcomes are what callers got, by priority.
type Outcomes struct {
	Offered, InTime, Late, Refused, Failed [Priorities]int
	Sends                                  int
}

// InTimeShareOf returns the part of the requests of a priority answered in time.
func (o *Outcomes) InTimeShareOf(priority int) float64 {
	return float64(o.InTime[priority]) / float64(max(1, o.Offered[priority]))
}

// InTimeShare returns the part of all requests answered in time.
func (o *Outcomes) InTimeShare() float64 { return o.part(o.InTime) }

// LateShare returns the part of all requests answered late.
func (o *Outcomes) LateShare() float64 { return o.part(o.Late) }

// RefusedShare returns the part of all requests refused in the end.
func (o *Outcomes) RefusedShare() float64 { return o.part(o.Refused) }

// TotalOffered returns the number of requests.
func (o *Outcomes) TotalOffered() (all int) {
	for _, n := range o.Offered {
		all += n
	}
	return all
}

func (o *Outcomes) part(counts [Priorities]int) float64 {
	some := 0
	for _, n := range counts {
		some += n
	}
	return float64(some) / float64(max(1, o.TotalOffered()))
}

// Add adds the outcomes of another run.
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

// Generate offers requests of a kind until stop is called or the world ends.
func (w *Simulation) Generate(k Workload) (stop func()) {
	stopped := false
	var next func()
	next = func() {
		if stopped {
			return
		}
		w.ask(k)
		w.After(clock.Millis(w.Rand.ExpFloat64()*float64(clock.Second)/k.PerSecond)+1, next)
	}
	next()
	return func() { stopped = true }
}

func (w *Simulation) ask(k Workload) {
	r := &Request{work: k.WorkMs * (0.7 + 0.6*w.Rand.Float64()), firstAsk: w.now, GiveUp: w.now + k.Deadline, in: place.Request{
		ID: route.RequestID(len(w.Requests) + 1), Route: fmt.Sprint("r", k.Priority), Priority: k.Priority, Target: k.Target,
		GiveUp: w.now + k.Deadline, Idempotent: k.Idempotent, MaxAttempts: 2,
	}}
	w.Requests = append(w.Requests, r)
	w.Outcomes.Offered[k.Priority]++
	w.offer(r)
}

func (w *Simulation) offer(r *Request) {
	r.offered, r.refused = 0, false
	h := w.Rand.IntN(len(w.hosts))
	r.in.Arrived = w.now
	w.carryOut(h, w.hosts[h].policy.Offer(w.now, r.in))
}

// ran notes that an upstream began to work on the request.
func (r *Request) ran() {
	r.offered++
	if r.refused {
		r.Violation = "runs after it was refused as not run"
	}
	if r.offered > 1 && !r.in.Idempotent {
		r.Violation = "runs twice though it may run once"
	}
}

// settle gives a caller its final answer. One that is refused comes back once.
func (w *Simulation) settle(a place.Action) {
	r := w.Requests[a.Request-1]
	if r.Completed {
		panic(fmt.Sprintf("request %d is settled twice", a.Request))
	}
	p := r.in.Priority
	took := w.now - r.firstAsk
	if r.refused = a.Kind == route.Refuse; r.refused && r.offered > 0 {
		r.Violation = "refused as not run though it ran"
	}
	switch {
	case a.Kind == route.Finish && took <= r.in.Target:
		w.Outcomes.InTime[p]++
	case a.Kind == route.Finish:
		w.Outcomes.Late[p]++
	case a.Kind == route.Refuse && r.retries == 0 && w.now+a.RetryAfter < r.in.GiveUp:
		r.retries++
		w.After(a.RetryAfter, func() { w.offer(r) })
		return
	case a.Kind == route.Refuse:
		w.Outcomes.Refused[p]++
	default:
		w.Outcomes.Failed[p]++
	}
	r.Completed = true
}
