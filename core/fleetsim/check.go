package fleetsim

import (
	"fmt"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/probe"
)

// Names of the checks.
const (
	OneHolder   = "one_holder"
	ProbeBudget = "probe_budget"
	EpochRises  = "epoch_rises"
	Slots       = "slots"
	ReportRises = "report_rises"
)

// Checker checks after each event what must always hold.
type Checker struct {
	fleet     *Fleet
	Violation string // the first one; empty when none

	Probes   int
	inFlight map[string]map[*membership.View]int // requests at each upstream

	MaxReducedHolders int // most hosts at once with the cut share of one upstream
	holders           map[string]map[*Host]bool
	probes            map[string][]clock.Millis // latest probes of each upstream
}

func (c *Checker) violate(name, format string, args ...any) {
	if c.Violation == "" {
		c.Violation = fmt.Sprintf("%s at %d ms: ", name, c.fleet.Now) + fmt.Sprintf(format, args...)
		c.fleet.tracef("VIOLATION %s", c.Violation)
	}
}

// host checks a host after an event in it. The full right of a host grows only
// in its own events, so this finds any two holders.
func (c *Checker) host(h *Host) {
	now := h.Time()
	if epoch := h.View.Epoch(); epoch < h.epoch {
		c.violate(EpochRises, "%s went from epoch %d to %d", h.ID, h.epoch, epoch)
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
			if other != h && c.holdsNow(other, r.Service, r.Upstream) {
				c.violate(OneHolder, "%s held by %s (epoch %d) and %s (epoch %d)", key, h.ID, h.View.Epoch(), other.ID, other.View.Epoch())
			}
		}
		c.holders[key][h] = true
	}
}

// reports checks that the epoch a process tells others never goes down.
func (c *Checker) reports(h *Host, epoch uint64) {
	if epoch < h.told {
		c.violate(ReportRises, "%s told epoch %d after %d", h.ID, epoch, h.told)
	}
	h.told = epoch
}

// holdsNow says whether a running host holds the full right. Those that no
// longer do are forgotten, but for the frozen, which may wake.
func (c *Checker) holdsNow(h *Host, service, upstream string) bool {
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

// gone forgets a host whose process has ended.
func (c *Checker) gone(h *Host) {
	for _, hosts := range c.holders {
		delete(hosts, h)
	}
	if h.Mode == Killed {
		for _, views := range c.inFlight {
			delete(views, h.View)
		}
	}
}

// Holder returns the running host that holds an upstream fully, or nil.
func (c *Checker) Holder(key string) *Host {
	r := splitKey(key)
	for h := range c.holders[key] {
		if c.holdsNow(h, r.Service, r.Upstream) {
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

// probed counts a probe and checks every window that ends with it.
func (c *Checker) probed(service, upstream string) {
	const kept = 64
	c.Probes++
	s := c.fleet.original.Service(service) // edits only add upstreams, so this part is the largest
	part := probe.RatePerUpstream(s.ProbesPerSecond, len(s.Upstreams))
	key := membership.UpstreamKey(service, upstream)
	times := append(c.probes[key], c.fleet.Now)
	if len(times) > kept {
		times = times[1:]
	}
	c.probes[key] = times
	for i, at := range times {
		count := float64(len(times) - i)
		window := float64(c.fleet.Now-at) / float64(clock.Second)
		if count > part*window+1+1e-6 {
			c.violate(ProbeBudget, "%v probes of %s in %v s at %v a second", count, key, window, part)
		}
	}
}

// cuts notes how many hosts have the cut share of one upstream now.
func (c *Checker) cuts() {
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

// started counts a request under the full right. Over all hosts there may be no
// more than the upstream has slots.
func (c *Checker) started(key string, view *membership.View) {
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

func (c *Checker) ended(key string, view *membership.View) {
	if c.inFlight[key][view] > 0 {
		c.inFlight[key][view]--
	}
}
