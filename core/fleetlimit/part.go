package fleetlimit

import (
	"siskinpath/core/admit"
	"siskinpath/core/clock"
)

// Limit is a limit on a sum over all hosts: no window of w seconds may have more than
// PerSecond*w + Burst events.
type Limit struct {
	PerSecond float64
	Burst     float64
}

// Part returns what each of n holders may deal out.
func (l Limit) Part(n int) Limit {
	return Limit{PerSecond: l.PerSecond / float64(n), Burst: l.Burst / float64(n)}
}

// HolderCount returns the number of holders for the limit, at most n: as many as leave
// each part a burst of at least one event, and at least one.
func (l Limit) HolderCount(n int) int { return max(1, min(n, int(l.Burst))) }

// NewPart returns a token bucket for a part of a limit. It starts empty: a host that has
// just started may have dealt out its whole part right before its process ended.
func NewPart(now clock.Millis, part Limit) *admit.TokenBucket {
	b := &admit.TokenBucket{StartEmpty: true}
	b.Set(now, part.PerSecond, part.Burst)
	return b
}
