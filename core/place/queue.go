package place

import (
	"slices"

	"siskinpath/core/clock"
)

const (
	// recheckEvery is how often a waiting request asks upstreams again. A slot
	// becomes free every few milliseconds on a busy service.
	recheckEvery = 10 * clock.Millisecond
	// recheckers is how many of the waiting requests ask at the same time.
	recheckers = 2
	// probeReserve is the share of the probes saved up that is kept for requests that
	// have just come: each tells more there than for one that waits.
	probeReserve = 0.25
	// leastRetryAfter is the shortest time told to a caller that is refused.
	leastRetryAfter = 40 * clock.Millisecond
	// mostRetryAfter is the longest.
	mostRetryAfter = 2 * clock.Second
)

// enqueue lets r wait for room.
func (p *Placer) enqueue(now clock.Millis, r *request) {
	r.phase = queued
	r.recheckAt = now + recheckEvery
	if slices.Contains(p.queue, r) {
		return
	}
	at, _ := slices.BinarySearchFunc(p.queue, r, byUrgency)
	p.queue = slices.Insert(p.queue, at, r)
}

func (p *Placer) dequeue(r *request) {
	if at := slices.Index(p.queue, r); at >= 0 {
		p.queue = slices.Delete(p.queue, at, at+1)
	}
}

// recheck asks upstreams again for one of the first waiting requests.
func (p *Placer) recheck(now clock.Millis, r *request) {
	r.recheckAt = now + recheckEvery
	if slices.Index(p.queue, r) < recheckers && p.sparesProbes(now) {
		p.seek(now, r)
	}
}

// sparesProbes tells whether there are probes for more than requests that have
// just come.
func (p *Placer) sparesProbes(now clock.Millis) bool {
	return p.probes.Available(now, p.Service, "") >= probeReserve*float64(p.probes.Burst)
}

// serveQueue sends waiting requests to upstreams that are known to have room and
// are not too slow for them.
func (p *Placer) serveQueue(now clock.Millis) {
	for _, r := range slices.Clone(p.queue) {
		if r.phase != queued {
			continue
		}
		u := p.bestKnown(now, r)
		if u == nil {
			return
		}
		if now < r.waitUntil && p.tooSlow(now, r, u) {
			continue
		}
		p.send(now, r, u)
	}
}
