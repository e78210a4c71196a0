// Package loadsim plays the users' heaviest seconds in virtual time: a fleet of
// hosts, each with a policy of its own, upstreams that are slow by turns, work
// worse when they are nearly full, start cold and shed, and callers who come back
// once after a refusal. Equal seeds play the same.
package loadsim

import (
	"container/heap"
	"math/rand/v2"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// Policy decides for one host; place.Placer is one. Events go in with the
// current time, actions come out.
type Policy interface {
	Configure(now clock.Millis, cfg place.Config) []place.Action
	Offer(now clock.Millis, in place.Request) []place.Action
	ProbeDone(now clock.Millis, res route.ProbeResult) []place.Action
	AttemptDone(now clock.Millis, res route.Result) []place.Action
	Tick(now clock.Millis) []place.Action
	NextTick() clock.Millis
}

// Config is what a World is made of.
type Config struct {
	Seed      uint64
	Hosts     int
	Upstreams int
	Slots     int // of each upstream
	// Policy makes the policy of one host.
	Policy func(rnd *rand.Rand) Policy
}

// Simulation is a fleet with its upstreams and callers.
type Simulation struct {
	Rand      *rand.Rand
	Upstreams []*Upstream
	Requests  []*Request
	Outcomes  Outcomes
	Probes    int

	now      clock.Millis
	events   events
	sequence int
	hosts    []*host
	byID     map[string]*Upstream
}

type host struct {
	policy Policy
	wakeAt clock.Millis
	runs   map[route.AttemptID]*run
}

type event struct {
	at       clock.Millis
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	// link is the time one way between host and upstream.
	link = 1 * clock.Millisecond
	// probeWork is how long an upstream takes for a status check, and silentFor how
	// long a host waits for one that does not answer.
	probeWork = 2 * clock.Millisecond
	silentFor = 300 * clock.Millisecond
	// probesPerSecond is what all hosts together may spend on an upstream.
	probesPerSecond = 50
	// repeatRatio and repeatSlack bound the second sends of all hosts together.
	repeatRatio = 0.18
	repeatSlack = 19
)

// New makes a world. Its upstreams begin to be slow by turns at once.
func New(s Config) *Simulation {
	w := &Simulation{Rand: rand.New(rand.NewPCG(s.Seed, 7)), now: clock.Hour, byID: map[string]*Upstream{}}
	var list []place.Upstream
	for i := range s.Upstreams {
		u := newUpstream(i, s.Slots)
		w.Upstreams = append(w.Upstreams, u)
		w.byID[u.ID] = u
		list = append(list, place.Upstream{ID: u.ID, AvailabilityZone: "a", Slots: s.Slots})
		w.spell(u)
	}
	for h := range s.Hosts {
		p := s.Policy(rand.New(rand.NewPCG(s.Seed, uint64(h))))
		w.hosts = append(w.hosts, &host{policy: p, runs: map[route.AttemptID]*run{}})
		w.carryOut(h, p.Configure(w.now, place.Config{
			AvailabilityZone: "a", Upstreams: list, ProbesPerSecond: probesPerSecond / float64(s.Hosts), RepeatRatio: repeatRatio,
			RepeatBurst: 1 + repeatSlack/float64(s.Hosts),
		}))
	}
	return w
}

// After plays something once a span has passed.
func (w *Simulation) After(d clock.Millis, do func()) {
	w.sequence++
	heap.Push(&w.events, event{at: w.now + d, sequence: w.sequence, do: do})
}

// Run plays until span has passed.
func (w *Simulation) Run(span clock.Millis) {
	end := w.now + span
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// Now returns the virtual time.
func (w *Simulation) Now() clock.Millis { return w.now }

func (w *Simulation) carryOut(h int, actions []place.Action) {
	for _, a := range actions {
		switch a.Kind {
		case route.Probe:
			w.Probes++
			w.probe(h, a.Upstream)
		case route.Send:
			w.Outcomes.Sends++
			w.send(h, a)
		case route.Cancel:
			w.cancel(h, a.Attempt)
		case route.Finish, route.Refuse, route.Unknown:
			w.settle(a)
		}
	}
	host := w.hosts[h]
	next := host.policy.NextTick()
	if next == 0 || next == host.wakeAt {
		return
	}
	host.wakeAt = next
	w.After(max(0, next-w.now), func() {
		if host.wakeAt == next {
			host.wakeAt = 0
			w.carryOut(h, host.policy.Tick(w.now))
		}
	})
}

func (w *Simulation) probe(h int, id string) {
	u := w.byID[id]
	w.After(link, func() {
		res := route.ProbeResult{Upstream: id, OK: !u.Down, Load: u.report()}
		if u.Down {
			res.Load = nil
		}
		delay := link + probeWork
		if u.Silent {
			delay, res = silentFor, route.ProbeResult{Upstream: id}
		}
		w.After(delay, func() { w.carryOut(h, w.hosts[h].policy.ProbeDone(w.now, res)) })
	})
}

func (w *Simulation) send(h int, a place.Action) {
	r := w.Requests[a.Request-1]
	run := &run{request: r, attempt: a.Attempt, host: h, upstream: w.byID[a.Upstream], left: r.work}
	w.hosts[h].runs[a.Attempt] = run
	w.After(link, func() { w.arrive(run) })
}

func (w *Simulation) end(run *run, status route.Status) {
	var load *route.LoadReport
	if status != route.NotSent {
		load = run.upstream.report()
	}
	w.After(link, func() {
		delete(w.hosts[run.host].runs, run.attempt)
		w.carryOut(run.host, w.hosts[run.host].policy.AttemptDone(w.now, route.Result{Attempt: run.attempt, Status: status, Load: load}))
	})
}

func (w *Simulation) cancel(h int, id route.AttemptID) {
	run := w.hosts[h].runs[id]
	w.After(link, func() { run.cancelled = true })
	w.After(1, func() {
		w.carryOut(h, w.hosts[h].policy.AttemptDone(w.now, route.Result{Attempt: id, Status: route.Cancelled}))
	})
}
