// Package probe keeps the work spent measuring upstreams within the budget that
// the table sets for each service, over the whole fleet.
//
// The budget of a service is split evenly over its upstreams, and only the host
// that holds the full right to an upstream spends that upstream's part. In any
// window of W seconds the fleet starts at most part*W + 1 probes of an
// upstream: a bucket holds at most one probe, and it is empty when a host takes
// an upstream over.
package probe

import "siskinpath/core/clock"

// One probe, and the unit that rates are kept in, so that sums are exact.
const (
	nano     = 1
	oneProbe = 1_000_000_000 * nano
)

// RatePerUpstream returns each upstream's part of a service's budget, in probes a second.
func RatePerUpstream(perSecond float64, upstreams int) float64 {
	if upstreams <= 0 {
		return 0
	}
	return perSecond / float64(upstreams)
}

// Budget holds a bucket for each upstream that this host may probe. The zero
// value is empty. Not safe for concurrent use.
type Budget struct {
	// Burst is how many probes a bucket holds, 1 when not set. With StartFull, buckets
	// begin full. Both are for hosts that share an upstream's budget for good, where
	// nothing is handed over: the sum over a long time stays the same.
	Burst     int
	StartFull bool

	buckets map[bucketKey]*bucket
}

type bucketKey struct{ service, upstream string }

// bucket is a token bucket.
type bucket struct {
	rate   int64 // nano-probes a millisecond
	level  int64 // nano-probes
	most   int64 // nano-probes that it holds
	filled clock.Millis
}

// SetRate sets how many probes a second this host may start at an upstream. The
// first call after the start or after Remove begins with an empty bucket.
func (b *Budget) SetRate(now clock.Millis, service, upstream string, perSecond float64) {
	if b.buckets == nil {
		b.buckets = map[bucketKey]*bucket{}
	}
	key := bucketKey{service, upstream}
	k := b.buckets[key]
	if k == nil {
		k = &bucket{filled: now}
		if b.StartFull {
			k.level = int64(max(1, b.Burst)) * oneProbe
		}
		b.buckets[key] = k
	}
	k.fill(now)
	k.rate = toRate(perSecond)
	k.most = int64(max(1, b.Burst)) * oneProbe
}

// toRate converts probes a second, rounding down.
func toRate(perSecond float64) int64 {
	const perMilli = oneProbe / int64(clock.Second)
	if !(perSecond > 0) {
		return 0
	}
	return int64(min(perSecond*float64(perMilli), oneProbe))
}

// Allow says whether a probe may start now, and counts it when it may.
func (b *Budget) Allow(now clock.Millis, service, upstream string) bool {
	k := b.buckets[bucketKey{service, upstream}]
	if k == nil {
		return false
	}
	k.fill(now)
	if k.level < oneProbe {
		return false
	}
	k.level -= oneProbe
	return true
}

// Available returns how many probes may start now.
func (b *Budget) Available(now clock.Millis, service, upstream string) float64 {
	k := b.buckets[bucketKey{service, upstream}]
	if k == nil {
		return 0
	}
	k.fill(now)
	return float64(k.level) / oneProbe
}

// Remove ends this host's right to probe an upstream.
func (b *Budget) Remove(service, upstream string) {
	delete(b.buckets, bucketKey{service, upstream})
}

func (k *bucket) fill(now clock.Millis) {
	elapsed := int64(now - k.filled)
	if elapsed <= 0 {
		return
	}
	k.filled = now
	if k.rate == 0 {
		return
	}
	if elapsed >= k.most/k.rate+1 {
		k.level = k.most
		return
	}
	k.level = min(k.most, k.level+elapsed*k.rate)
}
