package fleetsim

import (
	"math/rand/v2"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/probe"
	"siskinpath/core/table"
)

// Intervals and time-outs of a host's simulated I/O.
const (
	readEvery       = 1 * clock.Second
	listEvery       = 2 * clock.Second
	probeEvery      = 100 * clock.Millisecond
	platformTimeout = 1 * clock.Second         // time-out of a call to the platform
	maxRequestTime  = 1500 * clock.Millisecond // longest duration of a request
	minBootTime     = 5 * clock.Second         // minimum time from losing power to running again
)

// Mode is the state of a host's process and machine.
type Mode int

// Modes of a host.
const (
	Running  Mode = iota
	Frozen        // the process is stopped and may resume
	Killed        // the process has ended; the machine refuses connections
	PowerOff      // the machine is off; connections are not answered
)

// Host is a simulated machine and the process on it.
type Host struct {
	fleet *Fleet
	Index int
	ID    string
	Zone  string
	Mode  Mode
	View  *membership.View // nil before the first boot

	PeersCut    bool // the links to all peers are cut
	PlatformCut bool // the link to the platform is cut
	Delisted    bool // removed from the platform's host list

	powerLostAt   clock.Millis // when it lost power
	clockOffset   clock.Millis // process clock minus virtual time
	backlog       []func()     // functions postponed while frozen
	budget        *probe.Budget
	rights        map[string]membership.Right
	epoch         uint64
	reportedEpoch uint64         // newest epoch in the process's heartbeats
	table         *table.Table   // table in force on this host
	running       map[string]int // requests in flight at each upstream

	SentBytes, SentMessages int
}

// Boot starts a new process on the machine.
func (h *Host) Boot() {
	f := h.fleet
	h.Mode = Running
	h.clockOffset = f.randomSpan(0, clock.Hour)
	h.backlog = nil
	h.budget = &probe.Budget{}
	h.rights = map[string]membership.Right{}
	h.epoch, h.reportedEpoch = 0, 0
	h.running = map[string]int{}
	h.View = &membership.View{
		Self: membership.Host{
			ID: h.ID, Incarnation: membership.Incarnation(f.rand.Uint64() | 1), AvailabilityZone: h.Zone,
			PeerAddress: h.ID + ":7100", CallerAddress: h.ID + ":7001", OperatorAddress: h.ID + ":7200",
		},
		Rand:         rand.New(rand.NewPCG(f.rand.Uint64(), 2)),
		DelayReports: true,
	}
	if f.ConfigureView != nil {
		f.ConfigureView(h.View)
	}
	f.tracef("%s starts", h.ID)
	h.applyTable()
	h.every(0, h.tick)
	h.every(f.randomSpan(0, readEvery), h.read)
	h.every(f.randomSpan(0, 200), h.list)
	h.every(f.randomSpan(0, probeEvery), h.sendTraffic)
}

func (h *Host) applyTable() {
	h.table = h.fleet.Table
	h.handleEvent(func(now clock.Millis) []membership.Action { return h.View.SetTable(now, h.table) })
	h.applyRights()
}

// Time returns the time on the process's own clock.
func (h *Host) Time() clock.Millis { return h.fleet.Now + h.clockOffset }

// later runs do in the current process after d. It is dropped if that process
// has ended by then, and postponed while the process is frozen.
func (h *Host) later(d clock.Millis, do func()) {
	view := h.View
	h.fleet.after(d, func() { h.run(view, do) })
}

func (h *Host) run(view *membership.View, do func()) {
	switch {
	case h.View != view || h.Mode == Killed || h.Mode == PowerOff:
	case h.Mode == Frozen:
		h.backlog = append(h.backlog, func() { h.run(view, do) })
	default:
		do()
	}
}

// every runs do repeatedly: first after the given delay, then after each delay
// that do returns.
func (h *Host) every(first clock.Millis, do func() clock.Millis) {
	h.later(first, func() { h.every(do(), do) })
}

// handleEvent passes one event to the view and performs the actions it returns.
func (h *Host) handleEvent(do func(now clock.Millis) []membership.Action) {
	actions := do(h.Time())
	h.fleet.Checker.checkHost(h)
	for _, a := range actions {
		h.perform(a)
	}
	h.reportDrained()
}

// reportDrained calls MarkDrained of the view if no request is in flight under a
// right that the host has lost.
func (h *Host) reportDrained() {
	for key, n := range h.running {
		if _, ok := h.rights[key]; !ok && n > 0 {
			return
		}
	}
	h.View.MarkDrained(h.View.Epoch())
}

func (h *Host) perform(a membership.Action) {
	switch a.Kind {
	case membership.SendHeartbeat:
		h.fleet.Checker.checkReportedEpoch(h, a.Heartbeat.Epoch)
		h.fleet.Links.send(h, a.Host, a.Heartbeat)
	case membership.Dial:
		h.fleet.Links.dial(h, a.Host)
	case membership.FetchUpdates:
		h.fleet.Links.fetch(h, a.Host)
	case membership.WriteAssignment:
		h.fleet.Platform.write(h, a.Assignment)
	case membership.RightsChanged:
		h.applyRights()
	}
}

// applyRights applies the view's full rights to the probe budget, for upstreams
// that are in the table in force.
func (h *Host) applyRights() {
	now := h.Time()
	next := map[string]membership.Right{}
	full, reduced := 0, 0
	for _, r := range h.View.Rights(now) {
		switch rate := upstreamProbeRate(h.table, r.Service, r.Upstream); {
		case !r.Full:
			reduced++
		case rate > 0:
			full++
			next[membership.UpstreamKey(r.Service, r.Upstream)] = r
			h.budget.SetRate(now, r.Service, r.Upstream, rate)
		}
	}
	for key, r := range h.rights {
		if _, ok := next[key]; !ok && !h.fleet.Ablation.KeepBuckets {
			h.budget.Remove(r.Service, r.Upstream)
		}
	}
	h.rights = next
	h.fleet.tracef("%s holds %d, reduced share of %d", h.ID, full, reduced)
}

// upstreamProbeRate returns the probes per second of an upstream, its part of its
// service's probe budget. It returns 0 when the upstream isn't in the table.
func upstreamProbeRate(t *table.Table, service, upstream string) float64 {
	s := t.Service(service)
	if s == nil || !slices.ContainsFunc(s.Upstreams, func(u table.Upstream) bool { return u.Name == upstream }) {
		return 0
	}
	return probe.RatePerUpstream(s.ProbesPerSecond, len(s.Upstreams))
}

func (h *Host) tick() clock.Millis {
	h.handleEvent(h.View.Tick)
	return max(h.View.NextTick()-h.Time(), 1)
}

func (h *Host) read() clock.Millis {
	h.fleet.Platform.read(h)
	return readEvery
}

func (h *Host) list() clock.Millis {
	h.fleet.Platform.list(h)
	return listEvery
}

// sendTraffic starts probes and requests as the budget and the slots allow. It checks
// the right to the upstream just before.
func (h *Host) sendTraffic() clock.Millis {
	now := h.Time()
	for i := range h.table.Services {
		for _, u := range h.table.Services[i].Upstreams {
			if full, _ := h.View.Holds(now, u.Service, u.Name); !full {
				continue
			}
			if h.budget.Allow(now, u.Service, u.Name) {
				h.fleet.Checker.checkProbe(u.Service, u.Name)
			}
			if key := membership.UpstreamKey(u.Service, u.Name); h.running[key] < u.Slots {
				h.request(key)
			}
		}
	}
	return probeEvery
}

// request starts a request. It runs to its end at the upstream, even if the host
// freezes or loses power. If the process is killed, Checker.removeHost stops
// counting the request.
func (h *Host) request(key string) {
	c := h.fleet.Checker
	view, running := h.View, h.running
	running[key]++
	c.requestStarted(key, view)
	h.fleet.after(h.fleet.randomSpan(20, maxRequestTime), func() {
		c.requestEnded(key, view)
		h.run(view, func() {
			running[key]--
			h.reportDrained()
		})
	})
}

// Stop ends or freezes the process, depending on mode.
func (h *Host) Stop(mode Mode) {
	h.fleet.tracef("%s %s", h.ID, [...]string{"runs", "freezes", "is killed", "loses power"}[mode])
	if mode == PowerOff {
		h.powerLostAt = h.fleet.Now
	}
	h.Mode = mode
	if mode != Frozen {
		h.fleet.Checker.removeHost(h)
	}
}

// Restart starts a new process. After a loss of power it waits for minBootTime.
func (h *Host) Restart() {
	if ready := h.powerLostAt + minBootTime; h.Mode == PowerOff && h.fleet.Now < ready {
		h.fleet.at(ready, h.Restart)
		return
	}
	if h.Mode != Killed {
		h.Stop(Killed)
	}
	h.Boot()
}

// Wake resumes a frozen process. All postponed functions run at once.
func (h *Host) Wake() {
	if h.Mode != Frozen {
		return
	}
	h.fleet.tracef("%s wakes", h.ID)
	h.Mode = Running
	h.fleet.Checker.checkHost(h)
	h.sendTraffic()
	backlog := h.backlog
	h.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// Leave makes the process hand over its rights.
func (h *Host) Leave() {
	if h.Mode == Running && h.View != nil {
		h.fleet.tracef("%s leaves", h.ID)
		h.handleEvent(h.View.SetLeaving)
	}
}
