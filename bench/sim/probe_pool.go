package sim

import (
	"math/rand/v2"
	"slices"
)

const (
	maxPoolSize = 16 // maximum number of probe responses in a pool

	// upstreamsPerProbe is the minimum number of upstreams per pooled response. In a
	// larger pool the divisor of maxUses, which falls as the pool grows, gets too
	// small for the formula to be meaningful.
	upstreamsPerProbe = 3

	probesPerRequest   = 3      // probes sent with each request
	removalsPerRequest = 1      // responses removed with each request
	maxProbeAge        = Second // age above which a response is removed
	netRefillMargin    = 1.0    // excess of responses added over responses used up, per request
)

// ProbePool is a host's pool of probe responses from upstreams. It follows the
// published description of Prequal as far as that is known: probes are sent
// asynchronously, each response is used a limited number of times, and removal
// alternates between the oldest and the worst response.
type ProbePool struct {
	sim      *simulation
	zone     int
	rand     *rand.Rand
	Probes   []PooledProbe // oldest first
	maxUses  float64       // number of uses after which a response is removed
	removals int           // counts removals, to alternate between the oldest and the worst
	maxSize  int
}

// PooledProbe is an upstream's response to a probe.
type PooledProbe struct {
	Index      int // index of the upstream
	InFlight   int // requests in flight at the upstream from all hosts, plus uses of this response
	Latency    Micros
	receivedAt Micros
	uses       float64
}

// newPool returns an empty pool. Its maxUses is the reuse limit of Prequal.
func newPool(sim *simulation, zone int, rnd *rand.Rand) *ProbePool {
	n := sim.sc.Deployment.Upstreams
	size := max(2, min(maxPoolSize, n/upstreamsPerProbe))
	refill := (1-float64(size)/float64(n))*probesPerRequest - removalsPerRequest
	return &ProbePool{sim: sim, zone: zone, rand: rnd, maxSize: size, maxUses: max(1, (1+netRefillMargin)/refill)}
}

// onRequest sends the probes for a request and removes old responses.
func (p *ProbePool) onRequest() {
	for range min(probesPerRequest, len(p.sim.upstreams)) {
		p.probe(p.sim.upstreams[p.rand.IntN(len(p.sim.upstreams))])
	}
	p.Probes = slices.DeleteFunc(p.Probes, func(resp PooledProbe) bool { return p.sim.now-resp.receivedAt > maxProbeAge })
	for range removalsPerRequest {
		p.removeOne()
	}
}

// probe sends a probe, whose response is added to the pool after a round trip. A
// lost upstream does not respond.
func (p *ProbePool) probe(u *upstream) {
	if p.sim.now >= warmUp {
		p.sim.result.Probes++
	}
	latency := p.sim.sc.Deployment.latency(p.zone, u.zone)
	p.sim.after(latency, func() {
		if u.down {
			return
		}
		resp := PooledProbe{Index: slices.Index(p.sim.upstreams, u), InFlight: len(u.running) + len(u.queue), Latency: u.medianLatency()}
		p.sim.after(latency, func() { p.add(resp) })
	})
}

// add adds a response, replacing the oldest one in a full pool.
func (p *ProbePool) add(resp PooledProbe) {
	resp.receivedAt = p.sim.now
	if len(p.Probes) >= p.maxSize {
		p.Probes = slices.Delete(p.Probes, 0, 1)
	}
	p.Probes = append(p.Probes, resp)
}

// removeOne removes the oldest or the worst response, alternately. It leaves at
// least two, the fewest that a choice is made from.
func (p *ProbePool) removeOne() {
	if len(p.Probes) <= 2 {
		return
	}
	p.removals++
	i := 0
	if p.removals%2 == 0 {
		i = p.worst()
	}
	p.Probes = slices.Delete(p.Probes, i, i+1)
}

// worst returns the index of the response with the most requests in flight.
func (p *ProbePool) worst() int {
	worst := 0
	for i, resp := range p.Probes {
		if resp.InFlight > p.Probes[worst].InFlight {
			worst = i
		}
	}
	return worst
}

// Use records that a request was sent on the strength of the response at index
// i. It counts the request as in flight at the upstream, and removes the response
// once it has been used maxUses times.
func (p *ProbePool) Use(i int) {
	p.Probes[i].InFlight++
	p.Probes[i].uses++
	if p.Probes[i].uses >= p.maxUses {
		p.Probes = slices.Delete(p.Probes, i, i+1)
	}
}
