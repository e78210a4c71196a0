package place

import (
	"math"

	"siskinpath/core/clock"
)

const (
	// throughputMemory is the time constant with which past sends and refusals decay.
	throughputMemory = clock.Second
	// shortageShare is the share of refusals, among the requests sent or refused lately,
	// from which this host counts as short of room. Below it a long queue is a chance
	// event, and refusing early lost requests at loads just within the capacity.
	shortageShare = 0.2
	// queueShare is the share of what upstreams free while a request may wait that may be
	// queued before it. Requests that arrive later and go first need the rest.
	queueShare = 0.5
)

// throughput counts the recent sends of a host and its refusals for lack of room. Counts
// decay with throughputMemory, so that they are about those of the last second.
type throughput struct {
	sends     float64
	refusals  float64
	decayedAt clock.Millis
}

func (c *throughput) recordSend(now clock.Millis) {
	c.decay(now)
	c.sends++
}

func (c *throughput) recordRefusal(now clock.Millis) {
	c.decay(now)
	c.refusals++
}

func (c *throughput) decay(now clock.Millis) {
	share := math.Exp(-float64(now-c.decayedAt) / float64(throughputMemory))
	c.sends *= share
	c.refusals *= share
	c.decayedAt = now
}

// short reports whether many requests were refused lately because no upstream had room.
func (c *throughput) short(now clock.Millis) bool {
	c.decay(now)
	return c.refusals > shortageShare*(c.sends+c.refusals)
}

// sendsWithin returns how many requests are sent in span at the present pace.
func (c *throughput) sendsWithin(now, span clock.Millis) float64 {
	c.decay(now)
	return c.sends * float64(span) / float64(throughputMemory)
}
