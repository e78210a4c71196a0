package entry

import (
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
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
	// drainPollInterval is how often the drain checks for requests in flight.
	drainPollInterval = 20 * clock.Millisecond
)

// drain goes on serving until callers have moved to other hosts and all requests have
// been answered, or until stopFraction of the grace period has passed.
func (n *Node) drain() {
	start := n.Clock.Now()
	n.drainStart.Store(int64(start))
	grace := n.cfg().Shutdown.GraceMs
	n.Log.Info("leaving", "grace_ms", grace, "in_flight", n.InFlight())
	n.relay.SetReady(false)
	n.slots.leave()
	n.server.DisableKeepAlive()
	accepting := true
	for {
		elapsed := n.Clock.Now() - start
		if elapsed >= idleCloseDelay {
			n.server.CloseIdle()
		}
		if accepting && elapsed >= fractionOf(grace, acceptFraction) {
			n.server.StopAccepting()
			accepting = false
		}
		if !accepting && n.InFlight() == 0 {
			return
		}
		if elapsed >= fractionOf(grace, stopFraction) {
			n.Log.Warn("stopping with requests in flight", "in_flight", n.InFlight())
			return
		}
		time.Sleep(drainPollInterval.Duration())
	}
}

func fractionOf(span clock.Millis, part float64) clock.Millis {
	return clock.Millis(float64(span) * part)
}

// tooLateToStart reports whether this host is draining and might stop before r is
// answered.
func (n *Node) tooLateToStart(r *request) bool {
	at := n.drainStart.Load()
	if at == 0 {
		return false
	}
	end := clock.Millis(at) + fractionOf(n.cfg().Shutdown.GraceMs, stopFraction)
	return r.arrived+r.route.Target > end
}
