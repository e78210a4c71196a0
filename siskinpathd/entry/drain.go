package entry

import (
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
	"siskinpath/core/place"
)

var (
	errDraining    = errors.New("the host is shutting down")
	errNoConfig    = errors.New("the configuration has not been read yet")
	errNoDiscovery = errors.New("the upstreams have not been read yet")
)

const (
	// idleCloseDelay is the time from the start of the drain until idle connections
	// are closed. By then the address directory no longer returns this host.
	idleCloseDelay = 500 * clock.Millisecond
	// acceptFraction is the part of the grace period during which new connections are
	// still accepted: callers use an address for up to three times its time to live.
	acceptFraction = 0.85
	// stopFraction is the part of the grace period after which the process stops even
	// if requests are in flight.
	stopFraction = 0.96
	// longFraction is the part of the grace period during which requests are sent at most that
	// may run more than once and may take until after its end.
	longFraction = 0.5
	// signalMargin is how much later than the signal was sent this host may notice it.
	signalMargin = 100 * clock.Millisecond
	// lastAnswerMargin is how long before that stop the last answer is due, so that it is
	// written although timers are late, and closeMargin how long before it the requests are
	// ended that have none.
	lastAnswerMargin = 100 * clock.Millisecond
	closeMargin      = 50 * clock.Millisecond
	// drainPollInterval is how often the drain checks for requests in flight.
	drainPollInterval = 20 * clock.Millisecond
)

// drain goes on serving until callers have moved to other hosts and all requests have
// been answered, or until stopFraction of the grace period has passed. Requests that have no
// answer by then get one, as a connection that just ends tells a caller nothing.
func (n *Node) drain() {
	start := n.Clock.Now()
	n.drainStart.Store(int64(start))
	shutdown := n.cfg().Shutdown
	grace := shutdown.GraceMs
	n.Log.Info("leaving", "grace_ms", grace, "in_flight", n.InFlight())
	n.relay.SetReady(false)
	stop := stopAfter(start, shutdown)
	n.server.SetStop(stop)
	for _, d := range n.allDispatchers() {
		d.setStop(stop)
	}
	n.slots.leave()
	n.server.DisableKeepAlive()
	accepting, closed := true, false
	for {
		elapsed := n.Clock.Now() - start
		if elapsed >= idleCloseDelay {
			n.server.CloseIdle()
		}
		if accepting && elapsed >= fractionOf(grace, acceptFraction) {
			n.server.StopAccepting()
			accepting = false
		}
		if !accepting && n.InFlight() == 0 && n.server.OpenConnections() == 0 {
			return
		}
		if !closed && elapsed >= fractionOf(grace, stopFraction)-closeMargin {
			closed = true
			n.answerHeld()
		}
		if elapsed >= fractionOf(grace, stopFraction) {
			if left := n.InFlight(); left > 0 {
				n.Log.Warn("stopping with requests in flight", "in_flight", left)
			}
			return
		}
		n.server.RefuseBodies(false)
		time.Sleep(drainPollInterval.Duration())
	}
}

// answerHeld answers the requests that have no answer when this host ends.
func (n *Node) answerHeld() {
	n.server.RefuseBodies(true)
	for _, d := range n.allDispatchers() {
		d.close()
	}
}

func fractionOf(span clock.Millis, part float64) clock.Millis {
	return clock.Millis(float64(span) * part)
}

// stopAfter returns what is sent until when by a host that drains from start on.
func stopAfter(start clock.Millis, s Shutdown) place.Stop {
	return place.Stop{
		At:        start + fractionOf(s.GraceMs, stopFraction) - lastAnswerMargin,
		LongUntil: start + max(0, min(fractionOf(s.GraceMs, longFraction), s.longRequests()-signalMargin)),
	}
}

// setStop tells the placer when this host stops.
func (d *Dispatcher) setStop(s place.Stop) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.execute(d.placer.SetStop(d.Clock.Now(), s))
}

// outlasts reports whether a request that is sent now may still be unanswered when this
// host stops; see place.Placer.
func (d *Dispatcher) outlasts(now clock.Millis, in place.Request) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.placer.Outlasted(now, in)
}

// close ends the requests that have no answer, and logs them.
func (d *Dispatcher) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.Clock.Now()
	for _, h := range d.placer.Held(now) {
		if p := d.pending[h.ID]; p != nil {
			d.Decisions.logHeld(d.Service, p, h)
		}
	}
	d.execute(d.placer.Close(now))
}
