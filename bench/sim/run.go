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
	sim := &simulation{sc: sc, loadFactor: 1, result: NewResult()}
	sim.rand = rand.New(rand.NewPCG(sc.Seed, 1))
	sim.faults = rand.New(rand.NewPCG(sc.Seed, 2))
	sim.addUpstreams()
	sim.addHosts()
	sim.callers = make([]caller, callerCount)
	sim.hostLost = make([]bool, sc.Deployment.Hosts)
	sim.scheduleFaults()
	sim.scheduleArrival()
	sim.runUntil(warmUp + sc.Duration + drainTime)
	sim.collect()
	return sim.result
}

func (sim *simulation) addUpstreams() {
	d := sim.sc.Deployment
	for i := range d.Upstreams {
		u := &upstream{
			engine: &sim.engine, rand: rand.New(rand.NewPCG(sim.sc.Seed, uint64(100+i))),
			name: fmt.Sprintf("u%02d", i), zone: i % d.Zones, slots: d.Slots, meanServiceTime: d.MeanServiceTime, slowdown: 1,
		}
		sim.upstreams = append(sim.upstreams, u)
		if sim.sc.Stragglers {
			sim.scheduleStraggling(u)
		}
	}
}

// scheduleStraggling schedules the next slow period of u, and so on to the end
// of the run.
func (sim *simulation) scheduleStraggling(u *upstream) {
	sim.after(Micros(sim.faults.ExpFloat64()*float64(meanStragglerGap)), func() {
		u.setSlowdown(stragglerSlowdown)
		sim.after(stragglerDuration, func() {
			u.setSlowdown(1)
			sim.scheduleStraggling(u)
		})
	})
}

func (sim *simulation) addHosts() {
	if sim.sc.Policy.Baseline != nil {
		sim.addBaselineHosts()
		return
	}
	sim.addShardHosts()
}

func (sim *simulation) zoneOfHost(i int) int { return i % sim.sc.Deployment.Zones }

// scheduleArrival schedules the next request; arrivals form a Poisson process.
func (sim *simulation) scheduleArrival() {
	perSecond := sim.sc.Deployment.RequestRate(sim.sc.Load) * sim.loadFactor
	gap := Micros(sim.rand.ExpFloat64() * float64(Second) / perSecond)
	sim.after(gap, func() {
		if sim.now < warmUp+sim.sc.Duration {
			sim.arrive()
			sim.scheduleArrival()
		}
	})
}

// arrive sends a new request from a random caller. Requests that arrive during
// the warm-up are not measured.
func (sim *simulation) arrive() {
	d := sim.sc.Deployment
	n := sim.rand.IntN(len(sim.callers))
	idempotent := sim.rand.Float64() < d.IdempotentShare
	c := &call{arrived: sim.now, deadline: sim.now + sim.drawDeadline(), idempotent: idempotent}
	measured := sim.now >= warmUp
	ended := false
	c.end = func(o outcome) {
		if ended {
			panic("a call ended twice")
		}
		ended = true
		if measured {
			sim.record(c, o)
		}
	}
	if measured {
		sim.result.Arrived++
		sim.interval(c).Arrived++
	}
	i := sim.hostForCaller(n)
	if sim.hostLost[i] {
		sim.retryAtNewAddress(n, c)
		return
	}
	sim.hosts[i].handle(c)
}

func (sim *simulation) drawDeadline() Micros {
	d := sim.sc.Deployment
	if sim.sc.MixedDeadlines && sim.rand.IntN(2) == 0 {
		return d.ShortDeadline
	}
	return d.Deadline
}

// hostForCaller returns the host that caller n currently sends to. Cache times
// vary at random around addressTTL, so that callers do not look up addresses all
// at once.
func (sim *simulation) hostForCaller(n int) int {
	c := &sim.callers[n]
	if c.expires <= sim.now {
		c.host = sim.resolve(n)
		c.expires = sim.now + addressTTL/2 + Micros(sim.rand.Int64N(int64(addressTTL)))
	}
	return c.host
}

// retryAtNewAddress makes a caller whose host is lost look up another address.
// The request is refused if that host is lost too.
func (sim *simulation) retryAtNewAddress(n int, c *call) {
	const detectionTime = 10 * Millisecond
	sim.callers[n].expires = 0
	sim.after(detectionTime, func() {
		i := sim.hostForCaller(n)
		if sim.hostLost[i] {
			c.end(refused)
			return
		}
		sim.hosts[i].handle(c)
	})
}

// record adds the outcome of a measured call to the result.
func (sim *simulation) record(c *call, o outcome) {
	r := sim.result
	in := sim.interval(c)
	sim.ended++
	latency := sim.now - c.arrived
	switch {
	case o == refused:
		r.Refused++
		in.Refused++
		return
	case o == unknown || sim.now > c.deadline:
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
func (sim *simulation) interval(c *call) *Interval {
	i := int((c.arrived - warmUp) / intervalLength)
	for len(sim.result.Intervals) <= i {
		from := Micros(len(sim.result.Intervals)) * intervalLength
		sim.result.Intervals = append(sim.result.Intervals, Interval{From: from})
	}
	return &sim.result.Intervals[i]
}

// collect completes the result at the end of the run.
func (sim *simulation) collect() {
	sim.result.Late += sim.result.Arrived - sim.ended // calls without an outcome: their host was lost
	sim.result.Seconds = float64(sim.sc.Duration) / float64(Second)
	for _, u := range sim.upstreams {
		sim.result.Overshoot = max(sim.result.Overshoot, u.maxOvershoot)
	}
	for _, h := range sim.hosts {
		if s, ok := h.(*shardHost); ok {
			s.collect(sim.result)
		}
	}
}
