package fleetsim

import (
	"math/rand/v2"
	"slices"

	"siskinpath/core/clock"
	"siskinpath/core/membership"
	"siskinpath/core/probe"
	"siskinpath/core/table"
)

// Spans of a host's driver.
const (
	readEvery   = 1 * clock.Second
	listEvery   = 2 * clock.Second
	probeEvery  = 100 * clock.Millisecond
	platformMax = 1 * clock.Second // a call to the platform is given up after this
	requestMax  = 1500 * clock.Millisecond
	bootTime    = 5 * clock.Second // of a machine that has lost power, at least
)

// Mode says in what way a host doesn't run.
type Mode int

// Modes of a host.
const (
	Running  Mode = iota
	Frozen        // stopped in the middle; wakes later
	Killed        // the process is gone, the machine refuses connections
	PowerOff      // the machine is gone, nothing answers
)

// Host is a machine and the process on it.
type Host struct {
	fleet *Fleet
	Index int
	ID    string
	Zone  string
	Mode  Mode
	View  *membership.View

	PeersCut    bool // no link to any peer
	PlatformCut bool // no link to the platform
	Delisted    bool // no longer on the platform's list

	offAt   clock.Millis // when it lost power
	offset  clock.Millis // of the process's clock
	backlog []func()     // what arrived while frozen
	budget  *probe.Budget
	rights  map[string]membership.Right
	epoch   uint64
	told    uint64         // newest epoch in its heartbeats
	table   *table.Table   // in force here
	running map[string]int // requests in flight at each upstream

	SentBytes, SentMessages int
}

// Boot starts a new process on the machine.
func (h *Host) Boot() {
	f := h.fleet
	h.Mode = Running
	h.offset = f.between(0, clock.Hour)
	h.backlog = nil
	h.budget = &probe.Budget{}
	h.rights = map[string]membership.Right{}
	h.epoch, h.told = 0, 0
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
	h.takeTable()
	h.every(0, h.tick)
	h.every(f.between(0, readEvery), h.read)
	h.every(f.between(0, 200), h.list)
	h.every(f.between(0, probeEvery), h.probe)
}

func (h *Host) takeTable() {
	h.table = h.fleet.Table
	h.event(func(now clock.Millis) []membership.Action { return h.View.SetTable(now, h.table) })
	h.takeRights()
}

// Time is the time on the process's own clock.
func (h *Host) Time() clock.Millis { return h.fleet.Now + h.offset }

// later runs do in the process that is there now: not after its end, and only
// after waking when it is frozen then.
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

// every runs do, which returns when to run it next.
func (h *Host) every(first clock.Millis, do func() clock.Millis) {
	h.later(first, func() { h.every(do(), do) })
}

// event gives the view one event and carries out what it asks for.
func (h *Host) event(do func(now clock.Millis) []membership.Action) {
	actions := do(h.Time())
	h.fleet.Checker.host(h)
	for _, a := range actions {
		h.act(a)
	}
	h.release()
}

// release tells the view when nothing is in flight under rights that ended.
func (h *Host) release() {
	for key, n := range h.running {
		if _, ok := h.rights[key]; !ok && n > 0 {
			return
		}
	}
	h.View.MarkDrained(h.View.Epoch())
}

func (h *Host) act(a membership.Action) {
	switch a.Kind {
	case membership.SendHeartbeat:
		h.fleet.Checker.reports(h, a.Heartbeat.Epoch)
		h.fleet.Links.send(h, a.Host, a.Heartbeat)
	case membership.Dial:
		h.fleet.Links.dial(h, a.Host)
	case membership.FetchUpdates:
		h.fleet.Links.fetch(h, a.Host)
	case membership.WriteAssignment:
		h.fleet.Platform.write(h, a.Assignment)
	case membership.RightsChanged:
		h.takeRights()
	}
}

// takeRights takes up what the view says, as far as the table in force knows it.
func (h *Host) takeRights() {
	now := h.Time()
	next := map[string]membership.Right{}
	full, cut := 0, 0
	for _, r := range h.View.Rights(now) {
		switch part := probePart(h.table, r.Service, r.Upstream); {
		case !r.Full:
			cut++
		case part > 0:
			full++
			next[membership.UpstreamKey(r.Service, r.Upstream)] = r
			h.budget.SetRate(now, r.Service, r.Upstream, part)
		}
	}
	for key, r := range h.rights {
		if _, ok := next[key]; !ok && !h.fleet.Ablation.KeepBuckets {
			h.budget.Remove(r.Service, r.Upstream)
		}
	}
	h.rights = next
	h.fleet.tracef("%s holds %d, cut share of %d", h.ID, full, cut)
}

// probePart returns an upstream's part of the budget in a table; 0 when it isn't there.
func probePart(t *table.Table, service, upstream string) float64 {
	s := t.Service(service)
	if s == nil || !slices.ContainsFunc(s.Upstreams, func(u table.Upstream) bool { return u.Name == upstream }) {
		return 0
	}
	return probe.RatePerUpstream(s.ProbesPerSecond, len(s.Upstreams))
}

func (h *Host) tick() clock.Millis {
	h.event(h.View.Tick)
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

// probe starts probes and requests as budget and slots allow, asking for the
// right just before.
func (h *Host) probe() clock.Millis {
	now := h.Time()
	for i := range h.table.Services {
		for _, u := range h.table.Services[i].Upstreams {
			if full, _ := h.View.Holds(now, u.Service, u.Name); !full {
				continue
			}
			if h.budget.Allow(now, u.Service, u.Name) {
				h.fleet.Checker.probed(u.Service, u.Name)
			}
			if key := membership.UpstreamKey(u.Service, u.Name); h.running[key] < u.Slots {
				h.request(key)
			}
		}
	}
	return probeEvery
}

// request starts a request. It runs to its end at the upstream, unless the
// process is killed.
func (h *Host) request(key string) {
	c := h.fleet.Checker
	view, running := h.View, h.running
	running[key]++
	c.started(key, view)
	h.fleet.after(h.fleet.between(20, requestMax), func() {
		c.ended(key, view)
		h.run(view, func() {
			running[key]--
			h.release()
		})
	})
}

// Stop ends or freezes the process.
func (h *Host) Stop(mode Mode) {
	h.fleet.tracef("%s %s", h.ID, [...]string{"runs", "freezes", "is killed", "loses power"}[mode])
	if mode == PowerOff {
		h.offAt = h.fleet.Now
	}
	h.Mode = mode
	if mode != Frozen {
		h.fleet.Checker.gone(h)
	}
}

// Restart starts a new process; a machine without power must boot first.
func (h *Host) Restart() {
	if ready := h.offAt + bootTime; h.Mode == PowerOff && h.fleet.Now < ready {
		h.fleet.at(ready, h.Restart)
		return
	}
	if h.Mode != Killed {
		h.Stop(Killed)
	}
	h.Boot()
}

// Wake lets a frozen process go on: everything that waited comes at once.
func (h *Host) Wake() {
	if h.Mode != Frozen {
		return
	}
	h.fleet.tracef("%s wakes", h.ID)
	h.Mode = Running
	h.fleet.Checker.host(h)
	h.probe()
	backlog := h.backlog
	h.backlog = nil
	for _, do := range backlog {
		do()
	}
}

// Leave tells the process to hand over.
func (h *Host) Leave() {
	if h.Mode == Running && h.View != nil {
		h.fleet.tracef("%s leaves", h.ID)
		h.event(h.View.SetLeaving)
	}
}
