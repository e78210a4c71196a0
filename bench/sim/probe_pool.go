package sim

import (
	"math/rand/v2"
	"slices"
)

const (
	maxPoolSize        = 16     // maximum number of probe responses in a pool
	upstreamsPerProbe  = 3      // minimum number of upstreams per pooled response; a larger pool makes the divisor of maxUses too small for the formula to be meaningful
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
	w        *simulation
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

func newPool(w *simulation, zone int, rnd *rand.Rand) *ProbePool {
	n := w.sc.Deployment.Upstreams
	size := max(2, min(maxPoolSize, n/upstreamsPerProbe))
	refill := (1-float64(size)/float64(n))*probesPerRequest - removalsPerRequest
	return &ProbePool{w: w, zone: zone, rand: rnd, maxSize: size, maxUses: max(1, (1+netRefillMargin)/refill)}
}

// onRequest sends the probes for a request and removes old responses.
func (p *ProbePool) onRequest() {
	for range min(probesPerRequest, len(p.w.upstreams)) {
		p.probe(p.w.upstreams[p.rand.IntN(len(p.w.upstreams))])
	}
	p.Probes = slices.DeleteFunc(p.Probes, func(k PooledProbe) bool { return p.w.now-k.receivedAt > maxProbeAge })
	for range removalsPerRequest {
		p.removeOne()
	}
}

// probe sends a probe, whose response is added to the pool after a round trip. A
// lost upstream does not respond.
func (p *ProbePool) probe(u *upstream) {
	if p.w.now >= warmUp {
		p.w.result.Probes++
	}
	latency := p.w.sc.Deployment.latency(p.zone, u.zone)
	p.w.after(latency, func() {
		if u.down {
			return
		}
		k := PooledProbe{Index: slices.Index(p.w.upstreams, u), InFlight: len(u.running) + len(u.queue), Latency: u.medianLatency()}
		p.w.after(latency, func() { p.add(k) })
	})
}

// add adds a response, replacing the oldest one in a full pool.
func (p *ProbePool) add(k PooledProbe) {
	k.receivedAt = p.w.now
	if len(p.Probes) >= p.maxSize {
		p.Probes = slices.Delete(p.Probes, 0, 1)
	}
	p.Probes = append(p.Probes, k)
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
	for i, k := range p.Probes {
		if k.InFlight > p.Probes[worst].InFlight {
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
