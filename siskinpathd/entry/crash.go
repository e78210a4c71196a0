package entry

import (
	"context"
	"maps"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/quarantine"
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

// guardAgainstCrash takes note of the end of an attempt before the placer decides whether
// the request is sent again.
func (d *Dispatcher) guardAgainstCrash(p *pendingRequest, a place.Action, status route.Status) {
	switch status {
	case route.Succeeded:
		d.Crashes.succeeded(p)
	case route.ConnectionLost:
		at, ran := d.Clock.Now(), d.Clock.Now()-a.Sent.At
		d.Crashes.suspect(p, a, ran)
		go func() {
			found := d.checkForCrash(a.Upstream)
			d.Decisions.logLoss(d.Service, p, a, found)
			d.Crashes.handleCheck(p, a, at, ran, found == upstreamEnded)
		}()
	}
}

// withhold stops those of the running requests of a work that are in quarantine from
// being sent on.
func (d *Dispatcher) withhold(work quarantine.Hash) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, p := range maps.Clone(d.pending) {
		if p.content().Work != work {
			continue
		}
		if v := d.Crashes.verdict(p.content); v.Left > 0 {
			d.execute(d.placer.Withhold(d.Clock.Now(), id, v.Left))
		}
	}
}

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
