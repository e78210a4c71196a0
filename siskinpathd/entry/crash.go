package entry

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

// How an upstream is found after an attempt was lost there.
const (
	upstreamEnded   = "ended"   // nobody accepts connections at its address, or another upstream does
	upstreamAlive   = "alive"   // it answers
	upstreamUnknown = "unknown" // no answer that tells
)

// crashCheckDelays are the pauses before each look at an upstream that has lost an
// attempt, as long as the answers do not tell whether it has ended.
var crashCheckDelays = []clock.Millis{0, 50 * clock.Millisecond, 200 * clock.Millisecond}

// checkForCrash looks whether an upstream that has lost an attempt has ended.
func (d *Dispatcher) checkForCrash(id string) (found string) {
	for _, delay := range crashCheckDelays {
		time.Sleep(delay.Duration())
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout.Duration())
		result, err := d.Pools.Probe(ctx, id)
		cancel()
		probesSent.Inc()
		if found = upstreamStateAfter(result, err); found != upstreamUnknown {
			return found
		}
	}
	return upstreamUnknown
}

// upstreamStateAfter returns what a probe tells about the upstream.
func upstreamStateAfter(result route.ProbeResult, err error) string {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, errUnknownUpstream), result.AddressReassigned:
		return upstreamEnded
	case result.OK, result.Load != nil:
		return upstreamAlive
	}
	return upstreamUnknown
}
