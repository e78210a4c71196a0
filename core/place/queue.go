package place

import (
	"slices"

	"siskinpath/core/clock"
)

const (
	// reprobeInterval is how often a waiting request asks upstreams again. A slot
	// becomes free every few milliseconds on a busy service.
	reprobeInterval = 10 * clock.Millisecond
	// maxReprobers is how many of the waiting requests ask at the same time.
	maxReprobers = 2
	// probeReserve is the share of the probes saved up that is kept for requests that
	// have just come: each tells more there than for one that waits.
	probeReserve = 0.25
	// minRetryAfter is the shortest time told to a caller that is refused.
	minRetryAfter = 40 * clock.Millisecond
	// maxRetryAfter is the longest.
	maxRetryAfter = 2 * clock.Second
)

// enqueue lets r wait for room.
func (p *Placer) enqueue(now clock.Millis, r *request) {
	r.phase = queued
	r.reprobeAt = now + reprobeInterval
	if slices.Contains(p.queue, r) {
		return
	}
	at, _ := slices.BinarySearchFunc(p.queue, r, byPriority)
	p.queue = slices.Insert(p.queue, at, r)
}

func (p *Placer) dequeue(r *request) {
	if at := slices.Index(p.queue, r); at >= 0 {
		p.queue = slices.Delete(p.queue, at, at+1)
	}
}

// reprobe asks upstreams again for one of the first waiting requests.
func (p *Placer) reprobe(now clock.Millis, r *request) {
	r.reprobeAt = now + reprobeInterval
	if slices.Index(p.queue, r) < maxReprobers && p.hasSpareProbes(now) {
		p.startProbing(now, r)
	}
}

// hasSpareProbes tells whether there are probes for more than requests that have
// just come.
func (p *Placer) hasSpareProbes(now clock.Millis) bool {
	return p.probes.Available(now, p.Service, "") >= probeReserve*float64(p.probes.Burst)
}

// serveQueue sends waiting requests to upstreams that are known to have room and
// are not too slow for them.
func (p *Placer) serveQueue(now clock.Millis) {
	for _, r := range slices.Clone(p.queue) {
		if r.phase != queued {
			continue
		}
		u := p.cheapestKnown(now, r)
		if u == nil {
			return
		}
		if now < r.waitUntil && p.wouldMissTarget(now, r, u) {
			continue
		}
		p.send(now, r, u)
	}
}
