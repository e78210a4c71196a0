package place_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

const (
	lightHosts     = 5
	lightUpstreams = 10
	// lightPause is the time between two requests at each host: 10 a second and upstream, each
	// of lightWork.
	lightPause = 50 * clock.Millisecond
	lightWork  = 5 * clock.Millisecond
	// faultSpan is how long a fault of an upstream lasts.
	faultSpan = 3 * clock.Second
)

// upstreamFault is how an upstream answers for a time.
type upstreamFault struct {
	name string
	// within is how long after its end the upstream may get less than its share.
	within clock.Millis
	// result and probe change the answers; nil for none. left is the time until the end.
	result func(left clock.Millis, res *route.Result)
	probe  func(left clock.Millis, res *route.ProbeResult)
	// delay is how much later the upstream answers requests, and probeDelay probes.
	delay, probeDelay clock.Millis
	// row is the upstream's row during the fault and afterwards; nil for the usual one. It
	// returns false if there is none.
	row func(now, end clock.Millis, u *place.Upstream) bool
}

func (f *upstreamFault) String() string { return f.name }

// lightFleet is a fleet at light load with upstreams of equal speed. Messages between hosts
// arrive at once.
type lightFleet struct {
	now     clock.Millis
	ids     []string
	placers map[string]*place.Placer
	later   []event
	sends   map[string]int
	fault   *upstreamFault // of u0
	end     clock.Millis   // of the fault
	last    route.RequestID
	served  int
	ended   int
}

type event struct {
	at clock.Millis
	do func()
}

func newLightFleet(allocated bool, seed uint64) *lightFleet {
	f := &lightFleet{now: clock.Hour, placers: map[string]*place.Placer{}, sends: map[string]int{}}
	for i := range lightHosts {
		id := fmt.Sprint("h", i)
		f.ids = append(f.ids, id)
		f.placers[id] = &place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: rand.New(rand.NewPCG(seed, uint64(i)))}
	}
	f.configure(allocated)
	return f
}

func (f *lightFleet) configure(allocated bool) {
	cfg := place.Config{AvailabilityZone: "a", ProbesPerSecond: 3, RepeatRatio: 0.2, RepeatBurst: 20, LimitShare: 1.0 / lightHosts}
	for i := range lightUpstreams {
		u := place.Upstream{ID: fmt.Sprint("u", i), AvailabilityZone: "a", Started: 1, Slots: 4}
		if i == 0 && f.fault != nil && f.fault.row != nil && !f.fault.row(f.now, f.end, &u) {
			continue
		}
		cfg.Upstreams = append(cfg.Upstreams, u)
	}
	allocated = allocated && place.MayAllocate(cfg.Upstreams)
	if allocated {
		cfg.Allocators, cfg.AllocatorProbesPerSecond = []string{"h0"}, 30
	}
	for _, id := range f.ids {
		cfg.Host = id
		f.perform(id, f.placers[id].Configure(f.now, cfg))
		if allocated && id != "h0" {
			f.placers[id].AllocatorLinked("h0")
		}
	}
}

func (f *lightFleet) after(span clock.Millis, do func()) {
	f.later = append(f.later, event{f.now + span, do})
}

// faulty returns the fault of an upstream, nil for none, and the time left of it.
func (f *lightFleet) faulty(upstream string) (fault *upstreamFault, left clock.Millis) {
	if upstream != "u0" || f.now >= f.end {
		return nil, 0
	}
	return f.fault, f.end - f.now
}

func (f *lightFleet) perform(id string, actions []place.Action) {
	p := f.placers[id]
	for _, a := range actions {
		fault, left := f.faulty(a.Upstream)
		load := &route.LoadReport{Slots: 4, Slowdown: 1}
		switch a.Kind {
		case route.Probe:
			res := route.ProbeResult{Upstream: a.Upstream, OK: true, Answered: true, Load: load}
			delay := clock.Millis(1)
			if fault != nil {
				delay += fault.probeDelay
				if fault.probe != nil {
					fault.probe(left, &res)
				}
			}
			f.after(delay, func() { f.perform(id, p.ProbeDone(f.now, res)) })
		case route.Send:
			f.sends[a.Upstream]++
			res := route.Result{Attempt: a.Attempt, Status: route.Succeeded, Load: load}
			delay := lightWork
			if fault != nil {
				delay += fault.delay
				if fault.result != nil {
					fault.result(left, &res)
				}
			}
			f.after(delay, func() { f.perform(id, p.AttemptDone(f.now, res)) })
		case route.SlotMessage:
			f.perform(a.Host, f.placers[a.Host].HandleSlotMessage(f.now, id, a.Slot))
		case route.Finish:
			f.served++
			f.ended++
		case route.Refuse, route.Unknown:
			f.ended++
		}
	}
}

// run lets time pass while each host gets requests.
func (f *lightFleet) run(span clock.Millis) {
	for end := f.now + span; f.now < end; f.now++ {
		due := slices.Clone(f.later)
		f.later = slices.DeleteFunc(f.later, func(e event) bool { return e.at <= f.now })
		for _, e := range due {
			if e.at <= f.now {
				e.do()
			}
		}
		for i, id := range f.ids {
			p := f.placers[id]
			if next := p.NextTick(); next > 0 && next <= f.now {
				f.perform(id, p.Tick(f.now))
			}
			if (f.now+clock.Millis(i)*lightPause/lightHosts)%lightPause != 0 {
				continue
			}
			f.last++
			f.perform(id, p.Offer(f.now, place.Request{
				ID: f.last, CallerID: "c", Route: "r", Priority: 2, Arrived: f.now, Target: 400, GiveUp: f.now + 1200, CallerLeft: 1200, MaxAttempts: 2, Idempotent: true,
			}))
		}
	}
}

// share returns how much of its fair share of the requests of a time u0 gets.
func (f *lightFleet) share(span clock.Millis) float64 {
	clear(f.sends)
	f.run(span)
	all := 0
	for _, n := range f.sends {
		all += n
	}
	return float64(f.sends["u0"]) * lightUpstreams / float64(all)
}

func upstreamFaults() []*upstreamFault {
	refuse := func(load *route.LoadReport, after bool) func(left clock.Millis, res *route.Result) {
		return func(left clock.Millis, res *route.Result) {
			res.Status, res.Load = route.Refused, load
			if after {
				res.Notice.RetryAfter = left
			}
		}
	}
	lost := func(status route.Status) func(left clock.Millis, res *route.Result) {
		return func(_ clock.Millis, res *route.Result) { res.Status, res.Load = status, nil }
	}
	noProbe := func(_ clock.Millis, res *route.ProbeResult) {
		*res = route.ProbeResult{Upstream: res.Upstream}
	}
	reports := func(load route.LoadReport) (func(clock.Millis, *route.Result), func(clock.Millis, *route.ProbeResult)) {
		return func(_ clock.Millis, res *route.Result) { res.Load = &load }, func(_ clock.Millis, res *route.ProbeResult) { res.Load = &load }
	}
	fullResult, fullProbe := reports(route.LoadReport{InFlight: 4, Queued: 8, Slots: 4, Slowdown: 1})
	slowResult, slowProbe := reports(route.LoadReport{Slots: 4, Slowdown: 8})
	drainingResult, drainingProbe := reports(route.LoadReport{Slots: 4, Slowdown: 1, Draining: true})
	return []*upstreamFault{
		{name: "refuses with Retry-After", within: clock.Second, result: refuse(nil, true)},
		{name: "refuses without saying how long", within: 4 * clock.Second, result: refuse(nil, false)},
		{name: "refuses although it reports room", within: 4 * clock.Second, result: refuse(&route.LoadReport{Slots: 4, Slowdown: 1}, false)},
		{name: "refuses as it is full", within: 2 * clock.Second, result: refuse(&route.LoadReport{InFlight: 4, Queued: 8, Slots: 4, Slowdown: 1}, false), probe: fullProbe},
		{name: "reports that it is full", within: 2 * clock.Second, result: fullResult, probe: fullProbe},
		{name: "reports that it is slow", within: 2 * clock.Second, result: slowResult, probe: slowProbe},
		{name: "reports that it drains", within: 4 * clock.Second, result: drainingResult, probe: drainingProbe},
		{name: "answers with errors", within: 4 * clock.Second, result: lost(route.Errored)},
		{name: "loses connections", within: 4 * clock.Second, result: lost(route.ConnectionLost), probe: noProbe},
		{name: "accepts no connections", within: 4 * clock.Second, result: lost(route.NotSent), probe: noProbe},
		{name: "does not answer", within: 4 * clock.Second, delay: 2 * clock.Second, probe: noProbe, probeDelay: 300},
		{name: "answers probes late", within: clock.Second, probeDelay: 150},
		{name: "gives its address to another one", within: 6 * clock.Second, result: func(_ clock.Millis, res *route.Result) {
			res.Status, res.AddressReassigned = route.Refused, true
		}, probe: func(_ clock.Millis, res *route.ProbeResult) { res.OK, res.AddressReassigned = false, true }},
		{name: "names a limit", within: 3 * clock.Second, result: func(_ clock.Millis, res *route.Result) { res.Notice.PerSecond = 5 }},
		{name: "says that it leaves, and starts again", within: clock.Second,
			result: func(_ clock.Millis, res *route.Result) { res.Notice.Leaving = true },
			row: func(now, end clock.Millis, u *place.Upstream) bool {
				if now >= end {
					u.Started = 2
				}
				return true
			}},
		{name: "leaves by its row, and does not", within: clock.Second, row: func(now, end clock.Millis, u *place.Upstream) bool {
			u.Leaving = now < end
			return true
		}},
		{name: "is not listed", within: clock.Second, row: func(now, end clock.Millis, _ *place.Upstream) bool { return now >= end }},
		{name: "is cold", within: 3 * clock.Second, row: func(_, end clock.Millis, u *place.Upstream) bool {
			u.ColdUntil = end
			return true
		}},
		{name: "is cold and limited", within: 3 * clock.Second, row: func(_, end clock.Millis, u *place.Upstream) bool {
			u.ColdUntil, u.ColdLimited, u.ColdPerSecond, u.ColdBurst = end, true, 0.5, 1
			return true
		}},
	}
}

// TestUpstreamNeverUsedAgain guards against a belief about an upstream that nothing renews
// once the upstream gets no requests.
func TestUpstreamNeverUsedAgain(t *testing.T) {
	for _, allocated := range []bool{true, false} {
		for _, fault := range upstreamFaults() {
			Convey(fmt.Sprintf("an upstream that %s for a time (allocator: %t) is used like the others soon after", fault, allocated), t, func() {
				for seed := range uint64(3) {
					f := newLightFleet(allocated, seed)
					f.run(2 * clock.Second)
					before := f.share(2 * clock.Second)
					f.fault, f.end = fault, f.now+faultSpan
					f.configure(allocated)
					during := f.share(faultSpan)
					f.configure(allocated)
					f.run(fault.within)
					after := f.share(3 * clock.Second)
					Printf("\n  %.2f before, %.2f meanwhile, %.2f after", before, during, after)
					So(after, ShouldBeBetween, 0.5, 2)
				}
			})
		}
	}
}
