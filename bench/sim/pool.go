package sim

import (
	"math/rand/v2"
	"slices"
)

const (
	poolMost       = 16     // probes kept
	poolPart       = 3      // upstreams for each probe kept: with more the rule for reuse has no meaning
	probesPerCall  = 3      // probes sent for each request
	removedPerCall = 1      // probes dropped for each request
	probeKept      = Second // age from which a probe is dropped
	reuseSlack     = 1.0
)

// Pool is a host's pool of probes of upstreams, kept as the paper on Prequal
// describes it, from what is known of it: probes are sent beside the path of
// requests, each is used a few times, and the oldest and the worst are dropped
// in turn.
type Pool struct {
	w     *world
	zone  int
	rand  *rand.Rand
	Kept  []Kept
	reuse float64
	turn  int
	size  int
}

// Kept is a probe's answer.
type Kept struct {
	Index    int // of the upstream
	InFlight int // at the upstream, of all hosts' requests
	Latency  Micros
	at       Micros
	used     float64
}

func newPool(w *world, zone int, rnd *rand.Rand) *Pool {
	n := w.sc.Deployment.Upstreams
	size := max(2, min(poolMost, n/poolPart))
	left := (1-float64(size)/float64(n))*probesPerCall - removedPerCall
	return &Pool{w: w, zone: zone, rand: rnd, size: size, reuse: max(1, (1+reuseSlack)/left)}
}

// onRequest sends the probes that go with a request and drops old ones.
func (p *Pool) onRequest() {
	for range min(probesPerCall, len(p.w.upstreams)) {
		p.probe(p.w.upstreams[p.rand.IntN(len(p.w.upstreams))])
	}
	p.Kept = slices.DeleteFunc(p.Kept, func(k Kept) bool { return p.w.now-k.at > probeKept })
	for range removedPerCall {
		p.drop()
	}
}

func (p *Pool) probe(u *upstream) {
	if p.w.now >= warmUp {
		p.w.result.Probes++
	}
	link := p.w.sc.Deployment.link(p.zone, u.zone)
	p.w.after(link, func() {
		if u.down {
			return
		}
		k := Kept{Index: slices.Index(p.w.upstreams, u), InFlight: len(u.running) + len(u.queue), Latency: u.medianLatency()}
		p.w.after(link, func() { p.add(k) })
	})
}

func (p *Pool) add(k Kept) {
	k.at = p.w.now
	if len(p.Kept) >= p.size {
		p.Kept = slices.Delete(p.Kept, 0, 1)
	}
	p.Kept = append(p.Kept, k)
}

// drop removes the oldest and the worst probe in turn.
func (p *Pool) drop() {
	if len(p.Kept) <= 2 {
		return
	}
	p.turn++
	i := 0
	if p.turn%2 == 0 {
		i = p.worst()
	}
	p.Kept = slices.Delete(p.Kept, i, i+1)
}

func (p *Pool) worst() int {
	worst := 0
	for i, k := range p.Kept {
		if k.InFlight > p.Kept[worst].InFlight {
			worst = i
		}
	}
	return worst
}

// Use counts a use of the probe at place i: the upstream has one more in
// flight, and the probe goes when it was used often enough.
func (p *Pool) Use(i int) {
	p.Kept[i].InFlight++
	p.Kept[i].used++
	if p.Kept[i].used >= p.reuse {
		p.Kept = slices.Delete(p.Kept, i, i+1)
	}
}
