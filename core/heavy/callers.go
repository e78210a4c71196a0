package heavy

import (
	"fmt"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// Priorities is how many priorities there are.
const Priorities = 3

// Kind is a kind of requests.
type Kind struct {
	PerSecond  float64
	Priority   int // 0 is the most urgent
	Target     clock.Millis
	Deadline   clock.Millis
	Work       float64 // ms at an upstream that is not slow, on the mean
	Idempotent bool
}

// Request is a caller's request and how it went.
type Request struct {
	Broken  string // the promise that was broken, "" for none
	Settled bool
	GiveUp  clock.Millis

	in       place.Request
	work     float64
	offered  int // runs since it was offered last
	refused  bool
	retries  int
	firstAsk clock.Millis
}

// Outcomes are what callers got, by priority.
type Outcomes struct {
	Asked, InTime, Late, Refused, Failed [Priorities]int
	Sends                                int
}

// Share returns the part of the requests of a priority answered in time.
func (o *Outcomes) Share(priority int) float64 {
	return float64(o.InTime[priority]) / float64(max(1, o.Asked[priority]))
}

// Total returns the part of all requests answered in time.
func (o *Outcomes) Total() float64 { return o.part(o.InTime) }

// TotalLate returns the part of all requests answered late.
func (o *Outcomes) TotalLate() float64 { return o.part(o.Late) }

// TotalRefused returns the part of all requests refused in the end.
func (o *Outcomes) TotalRefused() float64 { return o.part(o.Refused) }

// TotalAsked returns the number of requests.
func (o *Outcomes) TotalAsked() (all int) {
	for _, n := range o.Asked {
		all += n
	}
	return all
}

func (o *Outcomes) part(counts [Priorities]int) float64 {
	some := 0
	for _, n := range counts {
		some += n
	}
	return float64(some) / float64(max(1, o.TotalAsked()))
}

// Add adds the outcomes of another run.
func (o *Outcomes) Add(x *Outcomes) {
	for p := range Priorities {
		o.Asked[p] += x.Asked[p]
		o.InTime[p] += x.InTime[p]
		o.Late[p] += x.Late[p]
		o.Refused[p] += x.Refused[p]
		o.Failed[p] += x.Failed[p]
	}
	o.Sends += x.Sends
}

func (o *Outcomes) String() string {
	return fmt.Sprintf("asked %v in time %v late %v refused %v failed %v sends %d", o.Asked, o.InTime, o.Late, o.Refused, o.Failed, o.Sends)
}

// Load offers requests of a kind until stop is called or the world ends.
func (w *World) Load(k Kind) (stop func()) {
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

func (w *World) ask(k Kind) {
	r := &Request{work: k.Work * (0.7 + 0.6*w.Rand.Float64()), firstAsk: w.now, GiveUp: w.now + k.Deadline, in: place.Request{
		ID: route.RequestID(len(w.Requests) + 1), Route: fmt.Sprint("r", k.Priority), Priority: k.Priority, Target: k.Target,
		GiveUp: w.now + k.Deadline, Idempotent: k.Idempotent, MaxAttempts: 2,
	}}
	w.Requests = append(w.Requests, r)
	w.Got.Asked[k.Priority]++
	w.offer(r)
}

func (w *World) offer(r *Request) {
	r.offered, r.refused = 0, false
	h := w.Rand.IntN(len(w.hosts))
	r.in.Arrived = w.now
	w.carryOut(h, w.hosts[h].policy.Offer(w.now, r.in))
}

// ran notes that an upstream began to work on the request.
func (r *Request) ran() {
	r.offered++
	if r.refused {
		r.Broken = "runs after it was refused as not run"
	}
	if r.offered > 1 && !r.in.Idempotent {
		r.Broken = "runs twice though it may run once"
	}
}

// settle gives a caller its final answer. One that is refused comes back once.
func (w *World) settle(a place.Action) {
	r := w.Requests[a.Request-1]
	if r.Settled {
		panic(fmt.Sprintf("request %d is settled twice", a.Request))
	}
	p := r.in.Priority
	took := w.now - r.firstAsk
	if r.refused = a.Kind == route.Refuse; r.refused && r.offered > 0 {
		r.Broken = "refused as not run though it ran"
	}
	switch {
	case a.Kind == route.Finish && took <= r.in.Target:
		w.Got.InTime[p]++
	case a.Kind == route.Finish:
		w.Got.Late[p]++
	case a.Kind == route.Refuse && r.retries == 0 && w.now+a.RetryAfter < r.in.GiveUp:
		r.retries++
		w.After(a.RetryAfter, func() { w.offer(r) })
		return
	case a.Kind == route.Refuse:
		w.Got.Refused[p]++
	default:
		w.Got.Failed[p]++
	}
	r.Settled = true
}
