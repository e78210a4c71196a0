package sim

import (
	"fmt"
	"math/rand/v2"
)

const (
	meanStragglerGap  = 6 * Second // between slow periods of an upstream, exponentially distributed
	stragglerDuration = 300 * Millisecond
	stragglerSlowdown = 8
	callerCount       = 400
	addressTTL        = 5 * Second // mean time for which a caller caches an address
	drainTime         = 3 * Second // simulated after the last arrival, longer than any deadline
	intervalLength    = Second
)

// simulation is the state of one run.
type simulation struct {
	engine
	sc         Scenario
	rand       *rand.Rand // arrivals and callers
	faults     *rand.Rand // times of slow periods
	upstreams  []*upstream
	hosts      []host
	hostLost   []bool // by host index; set while the host's availability zone is lost
	callers    []caller
	loadFactor float64 // multiplies the scenario's load
	ended      int     // measured calls that have ended
	result     *Result
}

// host receives requests from callers.
type host interface {
	handle(c *call)
}

// caller holds the cached address of a caller.
type caller struct {
	host    int
	expires Micros
}

// call is a request in progress.
type call struct {
	arrived    Micros
	deadline   Micros
	idempotent bool
	hops       int
	end        func(o outcome)
}

// outcome is the result of a call.
type outcome int

const (
	answered outcome = iota
	errored          // an upstream answered with an error
	refused          // not executed
	unknown          // may have been executed
)

// Run runs a scenario. Equal scenarios, seed included, give equal results.
func Run(sc Scenario) *Result {
	if sc.Policy.NoLatency {
		sc.Deployment.CrossZoneLatency, sc.Deployment.InZoneLatency = 0, 0
	}
	w := &simulation{sc: sc, loadFactor: 1, result: NewResult()}
	w.rand = rand.New(rand.NewPCG(sc.Seed, 1))
	w.faults = rand.New(rand.NewPCG(sc.Seed, 2))
	w.addUpstreams()
	w.addHosts()
	w.callers = make([]caller, callerCount)
	w.hostLost = make([]bool, sc.Deployment.Hosts)
	w.scheduleFaults()
	w.scheduleArrival()
	w.runUntil(warmUp + sc.Duration + drainTime)
	w.collect()
	return w.result
}

func (w *simulation) addUpstreams() {
	d := w.sc.Deployment
	for i := range d.Upstreams {
		u := &upstream{
			engine: &w.engine, rand: rand.New(rand.NewPCG(w.sc.Seed, uint64(100+i))),
			name: fmt.Sprintf("u%02d", i), zone: i % d.Zones, slots: d.Slots, meanServiceTime: d.MeanServiceTime, slowdown: 1,
		}
		w.upstreams = append(w.upstreams, u)
		if w.sc.Stragglers {
			w.scheduleStraggling(u)
		}
	}
}

// scheduleStraggling schedules the next slow period of u, and so on to the end
// of the run.
func (w *simulation) scheduleStraggling(u *upstream) {
	w.after(Micros(w.faults.ExpFloat64()*float64(meanStragglerGap)), func() {
		u.setSlowdown(stragglerSlowdown)
		w.after(stragglerDuration, func() {
			u.setSlowdown(1)
			w.scheduleStraggling(u)
		})
	})
}

func (w *simulation) addHosts() {
	if w.sc.Policy.Baseline != nil {
		w.addBaselineHosts()
		return
	}
	w.addShardHosts()
}

func (w *simulation) zoneOfHost(i int) int { return i % w.sc.Deployment.Zones }

// scheduleArrival schedules the next request; arrivals form a Poisson process.
func (w *simulation) scheduleArrival() {
	perSecond := w.sc.Deployment.RequestRate(w.sc.Load) * w.loadFactor
	gap := Micros(w.rand.ExpFloat64() * float64(Second) / perSecond)
	w.after(gap, func() {
		if w.now < warmUp+w.sc.Duration {
			w.arrive()
			w.scheduleArrival()
		}
	})
}

// arrive sends a new request from a random caller. Requests that arrive during
// the warm-up are not measured.
func (w *simulation) arrive() {
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
			w.record(c, o)
		}
	}
	if measured {
		w.result.Arrived++
		w.interval(c).Arrived++
	}
	i := w.hostForCaller(n)
	if w.hostLost[i] {
		w.retryAtNewAddress(n, c)
		return
	}
	w.hosts[i].handle(c)
}

func (w *simulation) drawDeadline() Micros {
	d := w.sc.Deployment
	if w.sc.MixedDeadlines && w.rand.IntN(2) == 0 {
		return d.ShortDeadline
	}
	return d.Deadline
}

// hostForCaller returns the host that caller n currently sends to. Cache times
// vary at random around addressTTL, so that callers do not look up addresses all
// at once.
func (w *simulation) hostForCaller(n int) int {
	c := &w.callers[n]
	if c.expires <= w.now {
		c.host = w.resolve(n)
		c.expires = w.now + addressTTL/2 + Micros(w.rand.Int64N(int64(addressTTL)))
	}
	return c.host
}

// retryAtNewAddress makes a caller whose host is lost look up another address.
// The request is refused if that host is lost too.
func (w *simulation) retryAtNewAddress(n int, c *call) {
	const detectionTime = 10 * Millisecond
	w.callers[n].expires = 0
	w.after(detectionTime, func() {
		i := w.hostForCaller(n)
		if w.hostLost[i] {
			c.end(refused)
			return
		}
		w.hosts[i].handle(c)
	})
}

// record adds the outcome of a measured call to the result.
func (w *simulation) record(c *call, o outcome) {
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
	if err := r.Latency.RecordValue(min(int64(latency), maxLatencyMicros)); err != nil {
		panic(err)
	}
}

// interval returns the counts for the interval in which c arrived.
func (w *simulation) interval(c *call) *Interval {
	i := int((c.arrived - warmUp) / intervalLength)
	for len(w.result.Intervals) <= i {
		from := Micros(len(w.result.Intervals)) * intervalLength
		w.result.Intervals = append(w.result.Intervals, Interval{From: from})
	}
	return &w.result.Intervals[i]
}

// collect completes the result at the end of the run.
func (w *simulation) collect() {
	w.result.Late += w.result.Arrived - w.ended // calls without an outcome: their host was lost
	w.result.Seconds = float64(w.sc.Duration) / float64(Second)
	for _, u := range w.upstreams {
		w.result.Overshoot = max(w.result.Overshoot, u.maxOvershoot)
	}
	for _, h := range w.hosts {
		if s, ok := h.(*shardHost); ok {
			s.collect(w.result)
		}
	}
}
