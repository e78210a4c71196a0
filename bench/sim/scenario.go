package sim

import (
	"math/rand/v2"

	"siskinpath/core/admit"
	"siskinpath/core/route"
)

// Scenario is everything that one run depends on.
type Scenario struct {
	Deployment     Deployment
	Load           float64 // 1 keeps every slot busy
	Stragglers     bool    // upstreams slow down now and then
	MixedDeadlines bool    // every second request has a short deadline
	Seed           uint64
	Duration       Micros  // measured; the warm-up comes before
	Policy         Policy  // on the hosts
	Faults         []Fault // beside stragglers
}

// Policy says what runs on the hosts: a baseline, or shards.
type Policy struct {
	Name          string
	Baseline      func(rnd *rand.Rand) admit.Policy[Candidate] // nil for shards
	Probing       bool                                         // the baseline keeps a pool of probes
	OwnersPerZone int                                          // hosts in each availability zone that own upstreams, for shards
	Owners        int                                          // the same in all; goes before PerZone when set
	NoLatency     bool                                         // hosts and upstreams are next to each other
	Ablation      route.Ablation
}

// Candidate is an upstream as a baseline sees it.
type Candidate struct {
	Index    int
	InFlight int // of this host's own requests
	Pool     *ProbePool
}

// Fault makes something fail during a run.
type Fault struct {
	Kind     FaultKind
	From     Micros // after the warm-up
	Until    Micros
	Count    int     // upstreams it meets, the first ones; or the number of the availability zone
	Slowdown float64 // for SlowDown
}

// FaultKind names a fault.
type FaultKind int

// Faults.
const (
	FailFast    FaultKind = iota // upstreams answer everything with an error at once
	Drain                        // upstreams refuse new requests and say so
	ColdStart                    // upstreams have restarted: their requests share the speed of one slot
	Silent                       // upstreams take requests and answer nothing
	ZoneLost                     // hosts and upstreams of an availability zone are gone
	LoadDoubled                  // twice the load
	FalseDrain                   // upstreams say that they drain, and go on
	SlowDown                     // upstreams are slow for the whole time
)

const warmUp = 3 * Second
