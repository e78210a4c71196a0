package fleetsim

import (
	"fmt"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/probe"
)

// Names of the invariants, as they begin the text of a violation.
const (
	OneHolder   = "one_holder"
	ProbeBudget = "probe_budget"
	EpochRises  = "epoch_rises"
	Slots       = "slots"
	ReportRises = "report_rises"
)

// Checker checks the invariants of the fleet after each event.
type Checker struct {
	fleet     *Fleet
	Violation string // the first violation; empty when there is none

	Probes   int
	inFlight map[string]map[*membership.View]int // requests at each upstream, by the view that sent them

	MaxReducedHolders int // most hosts that had a reduced share (one slot, no probing) of one upstream at once
	holders           map[string]map[*Host]bool
	probes            map[string][]clock.Millis // times of the latest probes of each upstream
}

func (c *Checker) violate(name, format string, args ...any) {
	if c.Violation == "" {
		c.Violation = fmt.Sprintf("%s at %d ms: ", name, c.fleet.Now) + fmt.Sprintf(format, args...)
		c.fleet.tracef("VIOLATION %s", c.Violation)
	}
}

// checkHost checks a host after an event on it. A host gains full rights only in
// its own events, so checking that host alone finds any second holder.
func (c *Checker) checkHost(h *Host) {
	now := h.Time()
	if epoch := h.View.Epoch(); epoch < h.epoch {
		c.violate(EpochRises, "%s: epoch decreased from %d to %d", h.ID, h.epoch, epoch)
	} else if epoch > h.epoch {
		h.epoch = epoch
		c.fleet.tracef("%s has epoch %d", h.ID, epoch)
	}
	for _, r := range h.View.Rights(now) {
		if !r.Full {
			continue
		}
		key := membership.UpstreamKey(r.Service, r.Upstream)
		if c.holders[key] == nil {
			c.holders[key] = map[*Host]bool{}
		}
		for other := range c.holders[key] {
			if other != h && c.isHolder(other, r.Service, r.Upstream) {
				c.violate(OneHolder, "%s held by %s (epoch %d) and %s (epoch %d)", key, h.ID, h.View.Epoch(), other.ID, other.View.Epoch())
			}
		}
		c.holders[key][h] = true
	}
}

// checkReportedEpoch checks that the epoch in a process's heartbeats never
// decreases.
func (c *Checker) checkReportedEpoch(h *Host, epoch uint64) {
	if epoch < h.reportedEpoch {
		c.violate(ReportRises, "%s reported epoch %d after %d", h.ID, epoch, h.reportedEpoch)
	}
	h.reportedEpoch = epoch
}

// isHolder reports whether a host is running and holds the full right. A frozen
// host doesn't count, but stays in holders because it may wake.
func (c *Checker) isHolder(h *Host, service, upstream string) bool {
	if h.Mode == Frozen {
		return false
	}
	if h.Mode == Running {
		if full, _ := h.View.Holds(h.Time(), service, upstream); full {
			return true
		}
	}
	return false
}

// removeHost removes a host whose process has ended. Its requests stay counted
// after a loss of power, because the upstream may still be running them.
func (c *Checker) removeHost(h *Host) {
	for _, hosts := range c.holders {
		delete(hosts, h)
	}
	if h.Mode == Killed {
		for _, views := range c.inFlight {
			delete(views, h.View)
		}
	}
}

// Holder returns the running host that holds the full right to an upstream, or nil.
func (c *Checker) Holder(key string) *Host {
	r := splitKey(key)
	for h := range c.holders[key] {
		if c.isHolder(h, r.Service, r.Upstream) {
			return h
		}
	}
	return nil
}

func splitKey(key string) membership.Right {
	for i := range key {
		if key[i] == '/' {
			return membership.Right{Service: key[:i], Upstream: key[i+1:]}
		}
	}
	return membership.Right{}
}

// checkProbe counts a probe and checks the probe rate over each window that ends
// with it and starts at one of the latest probes.
func (c *Checker) checkProbe(service, upstream string) {
	const kept = 64
	c.Probes++
	s := c.fleet.original.Service(service) // edits only add upstreams, so the original table gives the largest rate per upstream
	rate := probe.RatePerUpstream(s.ProbesPerSecond, len(s.Upstreams))
	key := membership.UpstreamKey(service, upstream)
	times := append(c.probes[key], c.fleet.Now)
	if len(times) > kept {
		times = times[1:]
	}
	c.probes[key] = times
	for i, at := range times {
		count := float64(len(times) - i)
		window := float64(c.fleet.Now-at) / float64(clock.Second)
		if count > rate*window+1+1e-6 {
			c.violate(ProbeBudget, "%v probes of %s in %v s at %v a second", count, key, window, rate)
		}
	}
}

// countReducedShares updates MaxReducedHolders from the current rights.
func (c *Checker) countReducedShares() {
	count := map[string]int{}
	for _, h := range c.fleet.Hosts {
		if h.Mode != Running || h.View == nil {
			continue
		}
		for _, r := range h.View.Rights(h.Time()) {
			if !r.Full {
				count[membership.UpstreamKey(r.Service, r.Upstream)]++
			}
		}
	}
	for _, n := range count {
		c.MaxReducedHolders = max(c.MaxReducedHolders, n)
	}
}

// requestStarted counts a request sent under the full right. All hosts together
// may have no more in flight than the upstream has slots.
func (c *Checker) requestStarted(key string, view *membership.View) {
	if c.inFlight[key] == nil {
		c.inFlight[key] = map[*membership.View]int{}
	}
	c.inFlight[key][view]++
	total := 0
	for _, n := range c.inFlight[key] {
		total += n
	}
	if total > slots {
		c.violate(Slots, "%d requests at %s, which has %d slots", total, key, slots)
	}
}

func (c *Checker) requestEnded(key string, view *membership.View) {
	if c.inFlight[key][view] > 0 {
		c.inFlight[key][view]--
	}
}
