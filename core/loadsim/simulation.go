// Package loadsim is a discrete-event simulation of the users' peak load: a fleet of
// hosts, each with its own policy; upstreams that turn slow at random, slow down when
// nearly full, start cold and shed load; and callers who retry once after a refusal.
// Runs with equal seeds are identical.
package loadsim

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// Policy dispatches the requests of one host, like place.Placer. It handles events with
// the current time and returns the actions to carry out.
type Policy interface {
	Configure(now clock.Millis, cfg place.Config) []place.Action
	Offer(now clock.Millis, in place.Request) []place.Action
	ProbeDone(now clock.Millis, res route.ProbeResult) []place.Action
	AttemptDone(now clock.Millis, res route.Result) []place.Action
	Tick(now clock.Millis) []place.Action
	NextTick() clock.Millis
}

// allocated is implemented by policies that pass messages about slots.
type allocated interface {
	AllocatorLinked(host string)
	HandleSlotMessage(now clock.Millis, host string, m place.SlotMessage) []place.Action
}

// Config holds the parameters of a Simulation.
type Config struct {
	Seed      uint64
	Hosts     int
	Upstreams int
	Slots     int // of each upstream
	// ColdLimited makes the upstreams take nothing from these hosts while they are cold.
	ColdLimited bool
	// Zones is the number of availability zones, over which hosts and upstreams are
	// spread evenly; 0 counts as 1.
	Zones int
	// SlowShare is the share of upstreams that are slow at any moment; 0 for 0.25.
	SlowShare float64
	// SlowFactor is how much slower a slow upstream is; 0 for 4. SpeedPeriod is the mean time
	// between two changes of its speed; 0 for 300 ms.
	SlowFactor  float64
	SpeedPeriod clock.Millis
	// SpeedAtStart makes the speed of an upstream at the start of a request count for all of
	// it; else a request follows each change.
	SpeedAtStart bool
	// QueueLength is how many requests an upstream queues; 0 for 8.
	QueueLength int
	// IgnoresOverflow is set on all upstreams; see Upstream.
	IgnoresOverflow bool
	// Retries is how often a caller comes back after refusals; 0 for 1.
	Retries int
	// Allocator lets a host allocate the slots of all upstreams; see place.Config.
	Allocator bool
	// Overload enables the hosts' decisions for overload; see place.Config.
	Overload bool
	// Policy returns a new policy for one host.
	Policy func(rnd *rand.Rand) Policy
}

// Simulation is a simulated fleet with its upstreams and callers.
type Simulation struct {
	Rand      *rand.Rand
	Upstreams []*Upstream
	Requests  []*Request
	Outcomes  Outcomes
	Probes    int
	// SlotMessages counts the messages between hosts about slots.
	SlotMessages int
	// Kinds and Organisations count requests by workload and by organisation, Windows by the
	// two seconds from the start in which they were first sent.
	Kinds, Organisations, Windows Tally
	// Refusals counts all refusals by reason, also those after which the caller came
	// back.
	Refusals map[route.Reason]int
	// RefusalWait is the total time that refused requests had waited at their host.
	RefusalWait clock.Millis

	cfg      Config
	demand   map[string]*demand
	start    clock.Millis
	now      clock.Millis
	events   events
	sequence int
	hosts    []*host
	byID     map[string]*Upstream
	list     []place.Upstream
	dark     bool // all hosts are without power
}

type host struct {
	name   string
	zone   string
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
	// linkLatency is the one-way latency between a host and an upstream.
	linkLatency = 1 * clock.Millisecond
	// crossZoneLatency is added between availability zones.
	crossZoneLatency = 3 * clock.Millisecond
	// probeTime is how long an upstream takes to answer a probe, and probeTimeout how
	// long a host waits for an upstream that does not answer.
	probeTime    = 2 * clock.Millisecond
	probeTimeout = 300 * clock.Millisecond
	// probesPerSecond is the probe rate of all hosts together at one upstream.
	probesPerSecond = 50
	// repeatRatio and repeatSlack bound the retries and hedges of all hosts together:
	// the share of the requests, and the burst beyond one for each host.
	repeatRatio = 0.18
	repeatSlack = 19
	// windowSpan is the span of a group of Simulation.Windows.
	windowSpan = 2 * clock.Second
)

// New returns a simulation. Its upstreams vary in speed from the start.
func New(cfg Config) *Simulation {
	cfg.Zones = max(1, cfg.Zones)
	sim := &Simulation{
		Rand: rand.New(rand.NewPCG(cfg.Seed, 7)), start: clock.Hour, now: clock.Hour, byID: map[string]*Upstream{}, cfg: cfg,
		Kinds: Tally{}, Organisations: Tally{}, Windows: Tally{}, Refusals: map[route.Reason]int{}, demand: map[string]*demand{},
	}
	var list []place.Upstream
	for i := range cfg.Upstreams {
		u := newUpstream(i, cfg.Slots)
		u.IgnoresOverflow = cfg.IgnoresOverflow
		u.Zone = zoneName(i % cfg.Zones)
		sim.Upstreams = append(sim.Upstreams, u)
		sim.byID[u.ID] = u
		list = append(list, place.Upstream{ID: u.ID, AvailabilityZone: u.Zone, Slots: cfg.Slots, ColdLimited: cfg.ColdLimited})
		sim.drawSpeed(u)
	}
	sim.list = list
	for h := range cfg.Hosts {
		sim.hosts = append(sim.hosts, nil)
		sim.startHost(h, uint64(h))
	}
	return sim
}

// startHost starts host h, which knows nothing of an earlier start.
func (sim *Simulation) startHost(h int, stream uint64) {
	p := sim.cfg.Policy(rand.New(rand.NewPCG(sim.cfg.Seed, stream)))
	zone := zoneName(h % sim.cfg.Zones)
	sim.hosts[h] = &host{name: hostName(h), zone: zone, policy: p, runs: map[route.AttemptID]*run{}}
	var allocators []string
	if sim.cfg.Allocator {
		allocators = []string{hostName(0), hostName(1)}
	}
	used := place.Subset(sim.now, fmt.Sprint("h", h), zone, sim.list)
	if p, ok := p.(allocated); ok && sim.cfg.Allocator {
		p.AllocatorLinked(hostName(0))
	}
	sim.carryOut(h, p.Configure(sim.now, place.Config{
		Overload: sim.cfg.Overload,
		Host:     hostName(h), Allocators: allocators,
		AvailabilityZone: zone, Upstreams: used, RepeatRatio: repeatRatio, RepeatBurst: 1 + repeatSlack/float64(sim.cfg.Hosts),
		ProbesPerSecond:          probesPerSecond * (1 - sim.allocatorProbes()) * float64(len(sim.list)) / float64(sim.cfg.Hosts*len(used)),
		AllocatorProbesPerSecond: probesPerSecond * sim.allocatorProbes(),
	}))
}

func zoneName(i int) string { return string(rune('a' + i)) }

// latency returns the one-way latency between a host and an upstream.
func (sim *Simulation) latency(h int, u *Upstream) clock.Millis {
	if sim.hosts[h].zone == u.Zone {
		return linkLatency
	}
	return linkLatency + crossZoneLatency
}

// After schedules do to run after d.
func (sim *Simulation) After(d clock.Millis, do func()) {
	sim.sequence++
	heap.Push(&sim.events, event{at: sim.now + d, sequence: sim.sequence, do: do})
}

// Run runs the simulation for span.
func (sim *Simulation) Run(span clock.Millis) {
	end := sim.now + span
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.do()
	}
	sim.now = end
}

// Now returns the current virtual time.
func (sim *Simulation) Now() clock.Millis { return sim.now }

func (sim *Simulation) carryOut(h int, actions []place.Action) {
	for _, a := range actions {
		switch a.Kind {
		case route.Probe:
			sim.Probes++
			sim.probe(h, a.Upstream)
		case route.Send:
			sim.Outcomes.Sends++
			sim.send(h, a)
		case route.Cancel:
			sim.cancel(h, a.Attempt)
		case route.Finish, route.Refuse, route.Unknown:
			sim.complete(a)
		case route.SlotMessage:
			sim.passSlotMessage(h, a)
		}
	}
	host := sim.hosts[h]
	next := host.policy.NextTick()
	if next == 0 || next == host.wakeAt {
		return
	}
	host.wakeAt = next
	sim.After(max(0, next-sim.now), func() {
		if host.wakeAt == next && sim.runs(h, host) {
			host.wakeAt = 0
			sim.carryOut(h, host.policy.Tick(sim.now))
		}
	})
}

// allocatorProbes returns the share of the probes that an allocator may send.
func (sim *Simulation) allocatorProbes() float64 {
	if sim.cfg.Allocator {
		return 0.5
	}
	return 0
}

func hostName(h int) string { return fmt.Sprint("h", h) }

// passSlotMessage passes a message of host h on to another one.
func (sim *Simulation) passSlotMessage(h int, a place.Action) {
	sim.SlotMessages++
	to := slices.IndexFunc(sim.hosts, func(x *host) bool { return x != nil && x.name == a.Host })
	delay := linkLatency
	if sim.hosts[h].zone != sim.hosts[to].zone {
		delay += crossZoneLatency
	}
	receiver := sim.hosts[to]
	sim.After(delay, func() {
		if policy, ok := receiver.policy.(allocated); ok && sim.runs(to, receiver) {
			sim.carryOut(to, policy.HandleSlotMessage(sim.now, hostName(h), a.Slot))
		}
	})
}

func (sim *Simulation) probe(h int, id string) {
	u, host := sim.byID[id], sim.hosts[h]
	sim.After(sim.latency(h, u), func() {
		res := route.ProbeResult{Upstream: id, OK: !u.Down, Load: u.report(), ColdFor: max(0, u.coldUntil-sim.now), ColdKnown: !u.Down}
		if u.Down {
			res.Load = nil
		}
		delay := sim.latency(h, u) + probeTime
		if u.Silent {
			delay, res = probeTimeout, route.ProbeResult{Upstream: id}
		}
		sim.After(delay, func() {
			if sim.runs(h, host) {
				sim.carryOut(h, host.policy.ProbeDone(sim.now, res))
			}
		})
	})
}

func (sim *Simulation) send(h int, a place.Action) {
	r := sim.Requests[a.Request-1]
	run := &run{request: r, attempt: a.Attempt, host: h, sender: sim.hosts[h], upstream: sim.byID[a.Upstream], remaining: r.work}
	run.sender.runs[a.Attempt] = run
	sim.After(sim.latency(h, run.upstream), func() { sim.arrive(run) })
}

func (sim *Simulation) endAttempt(run *run, status route.Status) {
	var load *route.LoadReport
	if status != route.NotSent {
		load = run.upstream.report()
	}
	sim.After(sim.latency(run.host, run.upstream), func() {
		delete(run.sender.runs, run.attempt)
		if sim.runs(run.host, run.sender) {
			sim.carryOut(run.host, run.sender.policy.AttemptDone(sim.now, route.Result{Attempt: run.attempt, Status: status, Load: load}))
		}
	})
}

func (sim *Simulation) cancel(h int, id route.AttemptID) {
	run := sim.hosts[h].runs[id]
	sim.After(sim.latency(h, run.upstream), func() { run.cancelled = true })
	sim.After(1, func() {
		if sim.runs(h, run.sender) {
			sim.carryOut(h, run.sender.policy.AttemptDone(sim.now, route.Result{Attempt: id, Status: route.Cancelled}))
		}
	})
}
