package sim

import (
	"fmt"
	"math/rand/v2"
)

const (
	stragglerEvery = 6 * Second
	stragglerFor   = 300 * Millisecond
	stragglerSlow  = 8
	callers        = 400
	answerTTL      = 5 * Second // for which callers keep an address answer
	settleTime     = 3 * Second
	interval       = Second
)

// world is one run.
type world struct {
	engine
	sc        Scenario
	rand      *rand.Rand // arrivals and callers
	faults    *rand.Rand
	upstreams []*upstream
	hosts     []host
	lost      []bool // hosts that are gone
	callers   []caller
	load      float64
	ended     int // measured calls that have ended
	result    *Result
}

// host takes requests.
type host interface {
	take(c *call)
}

// caller keeps an address answer for a while.
type caller struct {
	host  int
	until Micros
}

// call is one request from its arrival to its end.
type call struct {
	arrived    Micros
	deadline   Micros
	idempotent bool
	hops       int
	end        func(o outcome)
}

// outcome is the end of a call.
type outcome int

const (
	answered outcome = iota
	errored
	refused
	unknown
)

// Run runs a scenario.
func Run(sc Scenario) *Result {
	if sc.Policy.NoLatency {
		sc.Deployment.CrossZoneLatency, sc.Deployment.InZoneLatency = 0, 0
	}
	w := &world{sc: sc, load: 1, result: NewResult()}
	w.rand = rand.New(rand.NewPCG(sc.Seed, 1))
	w.faults = rand.New(rand.NewPCG(sc.Seed, 2))
	w.makeUpstreams()
	w.makeHosts()
	w.callers = make([]caller, callers)
	w.lost = make([]bool, sc.Deployment.Hosts)
	w.planFaults()
	w.nextArrival()
	w.runUntil(warmUp + sc.Duration + settleTime)
	w.collect()
	return w.result
}

func (w *world) makeUpstreams() {
	d := w.sc.Deployment
	for i := range d.Upstreams {
		u := &upstream{
			e: &w.engine, rand: rand.New(rand.NewPCG(w.sc.Seed, uint64(100+i))),
			name: fmt.Sprintf("u%02d", i), zone: i % d.Zones, slots: d.Slots, mean: d.MeanServiceTime, slow: 1,
		}
		w.upstreams = append(w.upstreams, u)
		if w.sc.Stragglers {
			w.nextStraggle(u)
		}
	}
}

func (w *world) nextStraggle(u *upstream) {
	w.after(Micros(w.faults.ExpFloat64()*float64(stragglerEvery)), func() {
		u.setSlow(stragglerSlow)
		w.after(stragglerFor, func() {
			u.setSlow(1)
			w.nextStraggle(u)
		})
	})
}

func (w *world) makeHosts() {
	if w.sc.Policy.Baseline != nil {
		w.makePlainHosts()
		return
	}
	w.makeShardHosts()
}

func (w *world) zoneOfHost(i int) int { return i % w.sc.Deployment.Zones }

// nextArrival lets requests come as a Poisson process.
func (w *world) nextArrival() {
	perSecond := w.sc.Deployment.RequestRate(w.sc.Load) * w.load
	gap := Micros(w.rand.ExpFloat64() * float64(Second) / perSecond)
	w.after(gap, func() {
		if w.now < warmUp+w.sc.Duration {
			w.arrive()
			w.nextArrival()
		}
	})
}

func (w *world) arrive() {
	d := w.sc.Deployment
	n := w.rand.IntN(len(w.callers))
	idempotent := w.rand.Float64() < d.IdempotentShare
	c := &call{arrived: w.now, deadline: w.now + w.drawDeadline(), idempotent: idempotent}
	measured := w.now >= warmUp
	ended := false
	c.end = func(o outcome) {
		if ended {
			panic("a call ended twice")
		}
		ended = true
		if measured {
			w.note(c, o)
		}
	}
	if measured {
		w.result.Arrived++
		w.interval(c).Arrived++
	}
	i := w.hostOf(n)
	if w.lost[i] {
		w.callAgain(n, c)
		return
	}
	w.hosts[i].take(c)
}

func (w *world) drawDeadline() Micros {
	d := w.sc.Deployment
	if w.sc.MixedDeadlines && w.rand.IntN(2) == 0 {
		return d.ShortDeadline
	}
	return d.Deadline
}

// hostOf returns the host that caller n uses now.
func (w *world) hostOf(n int) int {
	c := &w.callers[n]
	if c.until <= w.now {
		c.host = w.addressFor(n)
		c.until = w.now + answerTTL/2 + Micros(w.rand.Int64N(int64(answerTTL)))
	}
	return c.host
}

// callAgain lets a caller whose host is gone ask for another address.
func (w *world) callAgain(n int, c *call) {
	const noticed = 10 * Millisecond
	w.callers[n].until = 0
	w.after(noticed, func() {
		i := w.hostOf(n)
		if w.lost[i] {
			c.end(refused)
			return
		}
		w.hosts[i].take(c)
	})
}

func (w *world) note(c *call, o outcome) {
	r := w.result
	in := w.interval(c)
	w.ended++
	latency := w.now - c.arrived
	switch {
	case o == refused:
		r.Refused++
		in.Refused++
		return
	case o == unknown || w.now > c.deadline:
		r.Late++
		in.Late++
		latency = max(latency, c.deadline-c.arrived)
	case o == errored:
		r.Errors++
		in.Errors++
		return
	default:
		r.Answered++
		in.Answered++
	}
	if err := r.Latency.RecordValue(min(int64(latency), histogramMost)); err != nil {
		panic(err)
	}
}

func (w *world) interval(c *call) *Interval {
	i := int((c.arrived - warmUp) / interval)
	for len(w.result.Intervals) <= i {
		from := Micros(len(w.result.Intervals)) * interval
		w.result.Intervals = append(w.result.Intervals, Interval{From: from})
	}
	return &w.result.Intervals[i]
}

func (w *world) collect() {
	w.result.Late += w.result.Arrived - w.ended // their host is gone
	w.result.Seconds = float64(w.sc.Duration) / float64(Second)
	for _, u := range w.upstreams {
		w.result.Overshoot = max(w.result.Overshoot, u.over)
	}
	for _, h := range w.hosts {
		if s, ok := h.(*shardHost); ok {
			s.collect(w.result)
		}
	}
}
