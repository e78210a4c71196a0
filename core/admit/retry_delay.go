package admit

import (
	"math/rand/v2"

	"siskinpath/core/clock"
)

// RetryDelay computes randomised retry delays for refused callers, so that they don't
// all come back at once. The delays grow with the overload.
type RetryDelay struct {
	Min clock.Millis // shortest delay
	Max clock.Millis // longest delay

	requests  float64
	refusals  float64
	decayedAt clock.Millis
}

// loadHalfLife is the half-life of the counts of requests and refusals.
const loadHalfLife = clock.Second

// RecordRequest counts a request.
func (d *RetryDelay) RecordRequest(now clock.Millis) {
	d.decay(now)
	d.requests++
}

// Overload returns the ratio of requests to accepted requests, at least 1.
func (d *RetryDelay) Overload() float64 {
	accepted := d.requests - d.refusals
	if d.refusals <= 0 || d.requests <= 0 {
		return 1
	}
	return max(1, d.requests/max(1, accepted))
}

// RecordRefusal counts a refusal and returns the delay after which the caller may retry:
// busy, the time for which the service has work, times the overload, times a random
// factor between 0.5 and 1.5, within Min and Max.
func (d *RetryDelay) RecordRefusal(now, busy clock.Millis, rnd *rand.Rand) clock.Millis {
	d.decay(now)
	d.refusals++
	base := float64(max(d.Min, busy)) * d.Overload()
	delay := clock.Millis(base * (0.5 + rnd.Float64()))
	return min(d.Max, max(d.Min, delay))
}

func (d *RetryDelay) decay(now clock.Millis) {
	for d.decayedAt+loadHalfLife <= now {
		if d.requests < 1 && d.refusals < 1 {
			d.decayedAt = now
			break
		}
		d.requests /= 2
		d.refusals /= 2
		d.decayedAt += loadHalfLife
	}
}
