package sim

import (
	"math/rand/v2"

	"siskinpath/core/admit"
	"siskinpath/core/route"
)

// Scenario holds all parameters of a run.
type Scenario struct {
	Deployment     Deployment
	Load           float64 // offered load; 1 keeps every slot busy
	Stragglers     bool    // each upstream is slow for short periods at random times
	MixedDeadlines bool    // half of the requests, drawn at random, have Deployment.ShortDeadline
	Seed           uint64
	Duration       Micros  // measured time, after the warm-up
	Policy         Policy  // run by every host
	Faults         []Fault // in addition to stragglers
}

// Policy selects what the hosts run: a baseline policy or a route.Shard.
type Policy struct {
	Name          string
	Baseline      func(rnd *rand.Rand) admit.Policy[Candidate] // nil for a shard
	Probing       bool                                         // each host of the baseline has a ProbePool
	OwnersPerZone int                                          // number of hosts per availability zone that own upstreams; for a shard
	Owners        int                                          // total number of hosts that own upstreams; overrides OwnersPerZone if not 0
	NoLatency     bool                                         // no network latency
	Ablation      route.Ablation
}

// Candidate is an upstream that a baseline policy may choose.
type Candidate struct {
	Index    int
	InFlight int        // requests of this host only
	Pool     *ProbePool // probe responses at this host, nil unless the policy probes
}

// Fault is a failure during a run, or a rise in load.
type Fault struct {
	Kind     FaultKind
	From     Micros  // start, from the end of the warm-up
	Until    Micros  // end, from the end of the warm-up; 0 for never
	Count    int     // number of upstreams affected, the first ones; the index of the availability zone for ZoneLost
	Slowdown float64 // factor on the service time; for SlowDown
}

// FaultKind is a kind of fault.
type FaultKind int

// Kinds of faults.
const (
	FailFast    FaultKind = iota // upstreams answer every request with an error immediately
	Drain                        // upstreams refuse new requests and report that they are draining
	ColdStart                    // upstreams have just restarted: their requests share the speed of one slot
	Silent                       // upstreams accept requests and never answer
	ZoneLost                     // the hosts and upstreams of an availability zone are down
	LoadDoubled                  // callers send twice the load
	FalseDrain                   // upstreams report that they are draining, but serve requests as before
	SlowDown                     // upstreams are slow by a constant factor
)

const warmUp = 3 * Second // simulated before the measured time
