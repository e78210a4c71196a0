package entry

import (
	"time"

	"github.com/pkg/errors"

	"siskinpath/core/clock"
)

var (
	errLeaving     = errors.New("the host is being stopped")
	errNoConfig    = errors.New("no configuration has been read yet")
	errNoDiscovery = errors.New("no upstreams have been read yet")
)

const (
	// closeIdleAfter is when a host that leaves closes unused connections; by then
	// no answer to "which address" names it any more.
	closeIdleAfter = 500 * clock.Millisecond
	// serveFor is the share of the grace for which it takes requests: callers keep
	// an answer up to three times its time to live.
	serveFor = 0.85
	// stopAt is the share of the grace at which it ends at the latest.
	stopAt = 0.96
	// leavePoll is how often it looks whether all is answered.
	leavePoll = 20 * clock.Millisecond
)

// leave goes on serving until callers have gone elsewhere and all requests have
// been answered.
func (n *Node) leave() {
	start := n.Clock.Now()
	n.leaving.Store(int64(start))
	grace := n.cfg().Shutdown.GraceMs
	n.Log.Info("leaving", "grace_ms", grace, "in_flight", n.server.InFlight())
	n.relay.SetReady(false)
	n.server.DisableKeepAlive()
	closed := false
	for {
		spent := n.Clock.Now() - start
		if spent >= closeIdleAfter {
			n.server.CloseIdle()
		}
		if !closed && spent >= share(grace, serveFor) {
			n.server.StopAccepting()
			closed = true
		}
		if closed && n.server.InFlight() == 0 {
			return
		}
		if spent >= share(grace, stopAt) {
			n.Log.Warn("stopping with requests in flight", "in_flight", n.server.InFlight())
			return
		}
		time.Sleep(leavePoll.Duration())
	}
}

func share(span clock.Millis, part float64) clock.Millis {
	return clock.Millis(float64(span) * part)
}

// tooLateToStart tells whether a host that stops would end before r is answered.
func (n *Node) tooLateToStart(r *request) bool {
	at := n.leaving.Load()
	if at == 0 {
		return false
	}
	end := clock.Millis(at) + share(n.cfg().Shutdown.GraceMs, stopAt)
	return r.arrived+r.route.Target > end
}
