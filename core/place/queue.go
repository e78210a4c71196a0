package place

import (
	"cmp"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

const (
	// reprobeInterval is how often a queued request probes again. On a busy service a
	// slot becomes free every few milliseconds.
	reprobeInterval = 10 * clock.Millisecond
	// maxReprobers is how many requests at the head of the queue may probe again.
	maxReprobers = 2
	// probeReserve is the share of the probe burst reserved for new requests, for which
	// a probe is worth more than for a queued one.
	probeReserve = 0.25
	// minRetryAfter and maxRetryAfter bound the retry delay sent to a refused caller.
	minRetryAfter = 40 * clock.Millisecond
	maxRetryAfter = 2 * clock.Second
	// shedRetryAfter is the mean retry delay after the refusal of an upstream that has room:
	// such upstreams refuse at random, so that a caller fares no better later.
	shedRetryAfter = 10 * clock.Millisecond
)

// enqueue adds r to the queue, or only schedules its next probe if it is queued
// already.
func (p *Placer) enqueue(now clock.Millis, r *request) {
	r.phase = queued
	p.countWithheld(now, r)
	p.tellQueued(now, r)
	r.reprobeAt = now + reprobeInterval
	if slices.Contains(p.queue, r) {
		return
	}
	at, _ := slices.BinarySearchFunc(p.queue, r, byPriority)
	p.queue = slices.Insert(p.queue, at, r)
	p.refuseLast(now)
}

// refuseLast refuses the last request of the queue at once, if this host is short of room
// and the queue before it is longer than what upstreams free while it may wait. Its caller
// can come back while an answer is still of use.
func (p *Placer) refuseLast(now clock.Millis) {
	before := len(p.queue) - 1
	last := p.queue[before]
	if !p.cfg.Overload && !p.allocates(now) || p.Tuning.NoEarlyRefusal || !p.throughput.short(now) {
		return
	}
	if float64(before) > queueShare*p.throughput.sendsWithin(now, last.waitUntil-now) {
		p.turnAway(now, last, cmp.Or(last.lastReason, route.ReasonOverloaded))
	}
}

func (p *Placer) dequeue(r *request) {
	if at := slices.Index(p.queue, r); at >= 0 {
		p.queue = slices.Delete(p.queue, at, at+1)
	}
}

// reprobe probes again for r, if it is near the head of the queue and the probe budget
// allows.
func (p *Placer) reprobe(now clock.Millis, r *request) {
	r.reprobeAt = now + reprobeInterval
	p.tellQueued(now, r)
	if slices.Index(p.queue, r) < maxReprobers && p.hasSpareProbes(now) {
		p.startProbing(now, r)
	}
}

// hasSpareProbes reports whether the probe budget holds more than the reserve for new
// requests.
func (p *Placer) hasSpareProbes(now clock.Millis) bool {
	return p.probes.Available(now, p.Service, "") >= probeReserve*float64(p.probes.Burst)
}

// serveQueue sends queued requests to upstreams that are known to have room and are
// fast enough for the request's target.
func (p *Placer) serveQueue(now clock.Millis) {
	for _, r := range slices.Clone(p.queue) {
		if r.phase != queued {
			continue
		}
		u := p.cheapestKnown(now, r)
		if u == nil {
			return
		}
		if now < r.waitUntil && !r.late && p.wouldMissTarget(now, r, u) {
			r.slow = u
			continue
		}
		p.send(now, r, u)
	}
}
