// Package probe limits the rate of probes sent to upstreams to the budget that the
// operators' table sets for each service, over the whole fleet.
//
// The budget of a service is split evenly over its upstreams, and only the host
// that holds the full right to an upstream spends that upstream's share. In any
// window of W seconds the fleet starts at most share*W + 1 probes of an
// upstream: a bucket holds at most one probe, and it is empty when a host takes
// an upstream over.
package probe

import "siskinpath/core/clock"

// Levels and rates are integers in nano-probes, so that sums are exact.
const (
	nano     = 1
	oneProbe = 1_000_000_000 * nano
)

// RatePerUpstream returns each upstream's share of a service's budget, in probes per
// second.
func RatePerUpstream(perSecond float64, upstreams int) float64 {
	if upstreams <= 0 {
		return 0
	}
	return perSecond / float64(upstreams)
}

// Budget holds a bucket for each upstream that this host may probe. The zero
// value is empty. Not safe for concurrent use.
type Budget struct {
	// Burst is the capacity of a bucket in probes, 1 if not set. With StartFull, buckets
	// start full. Both are meant for hosts that share an upstream's budget permanently,
	// without handing it over: the long-term rate stays the same.
	Burst     int
	StartFull bool

	buckets map[bucketKey]*bucket
}

type bucketKey struct{ service, upstream string }

// bucket is a token bucket.
type bucket struct {
	rate     int64 // nano-probes per millisecond
	level    int64 // nano-probes
	capacity int64 // nano-probes
	filledAt clock.Millis
}

// SetRate sets how many probes per second this host may send to an upstream. The first
// call for an upstream, also after Remove, creates its bucket: empty, or full with
// StartFull.
func (b *Budget) SetRate(now clock.Millis, service, upstream string, perSecond float64) {
	if b.buckets == nil {
		b.buckets = map[bucketKey]*bucket{}
	}
	key := bucketKey{service, upstream}
	bkt := b.buckets[key]
	if bkt == nil {
		bkt = &bucket{filledAt: now}
		if b.StartFull {
			bkt.level = int64(max(1, b.Burst)) * oneProbe
		}
		b.buckets[key] = bkt
	}
	bkt.refill(now)
	bkt.rate = toRate(perSecond)
	bkt.capacity = int64(max(1, b.Burst)) * oneProbe
}

// toRate converts probes per second to nano-probes per millisecond, rounding down. It
// returns 0 for NaN, and at most one probe per millisecond.
func toRate(perSecond float64) int64 {
	const perMilli = oneProbe / int64(clock.Second)
	if !(perSecond > 0) {
		return 0
	}
	return int64(min(perSecond*float64(perMilli), oneProbe))
}

// Allow reports whether a probe may start now, and takes it from the bucket if so.
func (b *Budget) Allow(now clock.Millis, service, upstream string) bool {
	bkt := b.buckets[bucketKey{service, upstream}]
	if bkt == nil {
		return false
	}
	bkt.refill(now)
	if bkt.level < oneProbe {
		return false
	}
	bkt.level -= oneProbe
	return true
}

// Available returns the number of probes in the bucket.
func (b *Budget) Available(now clock.Millis, service, upstream string) float64 {
	bkt := b.buckets[bucketKey{service, upstream}]
	if bkt == nil {
		return 0
	}
	bkt.refill(now)
	return float64(bkt.level) / oneProbe
}

// Remove deletes the bucket of an upstream that this host may no longer probe.
func (b *Budget) Remove(service, upstream string) {
	delete(b.buckets, bucketKey{service, upstream})
}

func (bkt *bucket) refill(now clock.Millis) {
	elapsed := int64(now - bkt.filledAt)
	if elapsed <= 0 {
		return
	}
	bkt.filledAt = now
	if bkt.rate == 0 {
		return
	}
	if elapsed >= bkt.capacity/bkt.rate+1 {
		bkt.level = bkt.capacity
		return
	}
	bkt.level = min(bkt.capacity, bkt.level+elapsed*bkt.rate)
}
