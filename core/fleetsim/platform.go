package fleetsim

import (
	"siskinpath/core/clock"
	"siskinpath/core/membership"
)

// Platform simulates the platform's table service, reduced to the row of the
// assignment, and its host list.
type Platform struct {
	fleet *Fleet

	Up        bool
	Slow      bool    // calls take up to 3 s
	LoseReply float64 // probability that a write is applied and its reply lost
	LateApply float64 // probability that a write is applied after its time-out

	ReadDelay clock.Millis // extra latency of replies to reads, exempt from the time-out

	Row    membership.Assignment
	Writes int
	Reads  int
}

func (p *Platform) latency() clock.Millis {
	if p.Slow {
		return p.fleet.randomSpan(5, 1500)
	}
	return p.fleet.randomSpan(1, 10)
}

func (p *Platform) reachable(h *Host) bool { return p.Up && !h.PlatformCut }

// read reads the row, as it is at a random time between call and reply.
func (p *Platform) read(h *Host) {
	startedAt := h.Time()
	requestLatency, replyLatency := p.latency(), p.latency()
	p.fleet.after(requestLatency, func() {
		if !p.reachable(h) || requestLatency+replyLatency > platformTimeout {
			return
		}
		p.Reads++
		row := p.Row
		delay := replyLatency + p.ReadDelay
		h.later(delay, func() {
			if p.fleet.Ablation.TimeReadsAtEnd {
				startedAt = h.Time()
			}
			h.handleEvent(func(now clock.Millis) []membership.Action {
				return h.View.HandlePlatformAssignment(now, startedAt, row)
			})
		})
	})
}

// list returns the host list as of the call, so that it lags by the latency.
func (p *Platform) list(h *Host) {
	if !p.reachable(h) {
		return
	}
	var hosts []membership.ListedHost
	for _, other := range p.fleet.Hosts {
		if other.Delisted {
			continue
		}
		hosts = append(hosts, membership.ListedHost{
			ID: other.ID, AvailabilityZone: other.Zone, PeerAddress: other.ID + ":7100",
			CallerAddress: other.ID + ":7001", OperatorAddress: other.ID + ":7200",
		})
	}
	h.later(p.latency(), func() {
		h.handleEvent(func(now clock.Millis) []membership.Action { return h.View.HandleHostList(now, hosts) })
	})
}

// write writes the row by compare-and-set on its epoch.
func (p *Platform) write(h *Host, a membership.Assignment) {
	requestLatency, replyLatency := p.latency(), p.latency()
	lost, late := p.fleet.chance(p.LoseReply), p.fleet.chance(p.LateApply)
	if late {
		requestLatency += p.fleet.randomSpan(platformTimeout, 8*clock.Second)
	}
	finish := func(d clock.Millis, committed, known bool) {
		h.later(d, func() {
			h.handleEvent(func(now clock.Millis) []membership.Action { return h.View.HandleWriteResult(now, committed, known) })
		})
	}
	inTime := !lost && requestLatency+replyLatency <= platformTimeout
	if !inTime {
		finish(platformTimeout, false, false)
	}
	reachable := p.reachable(h)
	p.fleet.after(requestLatency, func() {
		if !reachable || !p.Up {
			if inTime {
				finish(platformTimeout-requestLatency, false, false)
			}
			return
		}
		committed := p.apply(h, a)
		if inTime {
			finish(replyLatency, committed, true)
		}
	})
}

func (p *Platform) apply(h *Host, a membership.Assignment) bool {
	if p.Row.Epoch != a.Epoch {
		return false
	}
	if p.fleet.Ablation.Assignment != nil {
		a = p.fleet.Ablation.Assignment(a)
	}
	p.Writes++
	a.Epoch++
	p.Row = a
	p.fleet.tracef("%s writes epoch %d with %d members, %d moved, %d earlier", h.ID, a.Epoch, len(a.Members), countMoved(a), len(a.Earlier))
	return true
}

func countMoved(a membership.Assignment) int {
	n := 0
	for _, epoch := range a.Moved {
		if epoch == a.Epoch {
			n++
		}
	}
	return n
}
