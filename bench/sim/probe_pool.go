package sim

import (
	"math/rand/v2"
	"slices"
)

const (
	maxPoolSize        = 16     // probes kept
	upstreamsPerProbe  = 3      // upstreams for each probe kept: with more the rule for reuse has no meaning
	probesPerRequest   = 3      // probes sent for each request
	removalsPerRequest = 1      // probes dropped for each request
	maxProbeAge        = Second // age from which a probe is dropped
	reuseSlack         = 1.0
)

// ProbePool is a host's pool of probes of upstreams, kept as the paper on Prequal
// describes it, from what is known of it: probes are sent beside the path of
// requests, each is used a few times, and the oldest and the worst are dropped
// in turn.
type ProbePool struct {
	w        *simulation
	zone     int
	rand     *rand.Rand
	Probes   []PooledProbe
	maxUses  float64
	removals int
	maxSize  int
}

// PooledProbe is a probe's answer.
type PooledProbe struct {
	Index      int // of the upstream
	InFlight   int // at the upstream, of all hosts' requests
	Latency    Micros
	receivedAt Micros
	uses       float64
}

func newPool(w *simulation, zone int, rnd *rand.Rand) *ProbePool {
	n := w.sc.Deployment.Upstreams
	size := max(2, min(maxPoolSize, n/upstreamsPerProbe))
	left := (1-float64(size)/float64(n))*probesPerRequest - removalsPerRequest
	return &ProbePool{w: w, zone: zone, rand: rnd, maxSize: size, maxUses: max(1, (1+reuseSlack)/left)}
}

// onRequest sends the probes that go with a request and drops old ones.
func (p *ProbePool) onRequest() {
	for range min(probesPerRequest, len(p.w.upstreams)) {
		p.probe(p.w.upstreams[p.rand.IntN(len(p.w.upstreams))])
	}
	p.Probes = slices.DeleteFunc(p.Probes, func(k PooledProbe) bool { return p.w.now-k.receivedAt > maxProbeAge })
	for range removalsPerRequest {
		p.removeOne()
	}
}

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

func (p *ProbePool) add(k PooledProbe) {
	k.receivedAt = p.w.now
	if len(p.Probes) >= p.maxSize {
		p.Probes = slices.Delete(p.Probes, 0, 1)
	}
	p.Probes = append(p.Probes, k)
}

// removeOne removes the oldest and the worst probe in turn.
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

func (p *ProbePool) worst() int {
	worst := 0
	for i, k := range p.Probes {
		if k.InFlight > p.Probes[worst].InFlight {
			worst = i
		}
	}
	return worst
}

// Use counts a use of the probe at place i: the upstream has one more in
// flight, and the probe goes when it was used often enough.
func (p *ProbePool) Use(i int) {
	p.Probes[i].InFlight++
	p.Probes[i].uses++
	if p.Probes[i].uses >= p.maxUses {
		p.Probes = slices.Delete(p.Probes, i, i+1)
	}
}
