package place

import (
	"math/rand/v2"

	"siskinpath/core/clock"
)

const (
	// limitUse is the share of an upstream's limit that all hosts together use. The rest
	// covers hosts that are not known yet, and turns that fall together.
	limitUse = 0.7
	// maxTurn is the longest time for which a host may use its turn. Turns that were kept
	// for longer could all be used at the same moment.
	maxTurn = clock.Second
	// maxInterval is the longest time between two turns.
	maxInterval = clock.Hour
)

// pace deals out a host's share of the limit that an upstream names: one request in each
// turn, which comes once per interval. The turns of different hosts are spread at random.
type pace struct {
	interval clock.Millis
	turnAt   clock.Millis // start of a turn; the next ones follow at intervals
}

// set changes the interval to that of a number of requests a second.
func (c *pace) set(now clock.Millis, perSecond float64, rnd *rand.Rand) {
	interval := max(1, clock.Millis(min(float64(maxInterval), float64(clock.Second)/perSecond)))
	switch {
	case interval == c.interval:
		return
	case c.interval == 0:
		c.turnAt = now + clock.Millis(rnd.Int64N(int64(interval)))
	default:
		// The wait for the next turn keeps its share of the interval.
		c.turnAt = now + (c.turnAt-now)*interval/c.interval
	}
	c.interval = interval
}

// next returns the start of the turn that is or comes next.
func (c *pace) next(now clock.Millis) clock.Millis {
	turn := min(c.interval, maxTurn)
	if now < c.turnAt+turn {
		return c.turnAt
	}
	missed := (now-c.turnAt-turn)/c.interval + 1
	return c.turnAt + missed*c.interval
}

// use ends the present turn.
func (c *pace) use(now clock.Millis) { c.turnAt = c.next(now) + c.interval }
