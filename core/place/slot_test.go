package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// slotFleet is a host and the allocator that it asks. Messages are passed by the test.
type slotFleet struct {
	now       clock.Millis
	host      *place.Placer
	allocator *place.Placer
	toHost    []place.SlotMessage
	toAlloc   []place.SlotMessage
	sent      []place.Action // of the host
	ended     []place.Action // of the host's requests
	last      route.RequestID
}

func newSlotFleet() *slotFleet {
	f := &slotFleet{now: clock.Hour}
	f.host, f.allocator = f.start("h"), f.start("a")
	f.host.AllocatorLinked("a")
	return f
}

func (f *slotFleet) start(id string) *place.Placer {
	p := &place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: rand.New(rand.NewPCG(1, uint64(len(id))))}
	cfg := place.Config{AvailabilityZone: "a", Host: id, Allocators: []string{"a"}, ProbesPerSecond: 60, AllocatorProbesPerSecond: 60, RepeatRatio: 0.2, RepeatBurst: 20}
	for i := range 3 {
		cfg.Upstreams = append(cfg.Upstreams, place.Upstream{ID: fmt.Sprint("u", i), Slots: 2})
	}
	f.perform(p, p.Configure(f.now, cfg))
	return p
}

// perform answers probes at once, and keeps all else.
func (f *slotFleet) perform(p *place.Placer, actions []place.Action) {
	for _, a := range actions {
		switch a.Kind {
		case route.Probe:
			f.perform(p, p.ProbeDone(f.now, route.ProbeResult{Upstream: a.Upstream, OK: true, Answered: true, Load: &route.LoadReport{Slots: 2, Slowdown: 1}}))
		case route.SlotMessage:
			if p == f.host {
				f.toAlloc = append(f.toAlloc, a.Slot)
			} else {
				f.toHost = append(f.toHost, a.Slot)
			}
		case route.Send:
			f.sent = append(f.sent, a)
		case route.Finish, route.Refuse, route.Unknown:
			f.ended = append(f.ended, a)
		}
	}
}

// pass passes the messages on until there are none.
func (f *slotFleet) pass() {
	for len(f.toAlloc)+len(f.toHost) > 0 {
		up, down := f.toAlloc, f.toHost
		f.toAlloc, f.toHost = nil, nil
		for _, m := range up {
			f.perform(f.allocator, f.allocator.HandleSlotMessage(f.now, "h", m))
		}
		for _, m := range down {
			f.perform(f.host, f.host.HandleSlotMessage(f.now, "a", m))
		}
	}
}

func (f *slotFleet) offer() route.RequestID {
	f.last++
	f.perform(f.host, f.host.Offer(f.now, place.Request{
		ID: f.last, Route: "r", Priority: 2, Arrived: f.now, Target: 300, GiveUp: f.now + 1200, CallerLeft: 1200, MaxAttempts: 2,
	}))
	return f.last
}

// wait lets time pass at both hosts, without passing messages on.
func (f *slotFleet) wait(span clock.Millis) {
	for end := f.now + span; f.now < end; f.now++ {
		for _, p := range []*place.Placer{f.host, f.allocator} {
			if next := p.NextTick(); next > 0 && next <= f.now {
				f.perform(p, p.Tick(f.now))
			}
		}
	}
}

func (f *slotFleet) end(a place.Action, status route.Status) {
	f.perform(f.host, f.host.AttemptDone(f.now, route.Result{Attempt: a.Attempt, Status: status, Load: &route.LoadReport{Slots: 2, Slowdown: 1}}))
	f.pass()
}

// use returns the number of slots that the allocator counts as occupied.
func (f *slotFleet) use() (n int) {
	for _, u := range f.allocator.Report(f.now).Upstreams {
		n += u.InFlight
	}
	return n
}

func TestSlots(t *testing.T) {
	Convey("a host that asks an allocator", t, func() {
		f := newSlotFleet()
		Convey("sends where a slot is granted, and frees it at the end", func() {
			f.offer()
			So(f.sent, ShouldBeEmpty)
			f.pass()
			So(f.sent, ShouldHaveLength, 1)
			So(f.use(), ShouldEqual, 1)
			f.end(f.sent[0], route.Succeeded)
			So(kinds(f.ended), ShouldResemble, []route.ActionKind{route.Finish})
			So(f.use(), ShouldEqual, 0)
		})
		Convey("gets no more slots than there are, and the next one when one is free", func() {
			for range 8 {
				f.offer()
			}
			f.pass()
			So(f.sent, ShouldHaveLength, 6)
			first := f.sent[0]
			f.end(first, route.Succeeded)
			So(f.sent, ShouldHaveLength, 7)
			So(f.sent[6].Upstream, ShouldEqual, first.Upstream)
		})
		Convey("decides by itself when the allocator does not answer, and does not ask it again at once", func() {
			f.offer()
			f.wait(60)
			So(f.sent, ShouldHaveLength, 1)
			f.toAlloc = nil
			f.offer()
			So(f.sent, ShouldHaveLength, 2)
			So(f.toAlloc, ShouldBeEmpty)
			Convey("but after a while", func() {
				f.wait(1100)
				f.offer()
				So(f.toAlloc, ShouldNotBeEmpty)
			})
		})
		Convey("does not use a grant that comes after it has decided, and says so", func() {
			f.offer()
			ask := f.toAlloc[0]
			f.wait(60)
			f.toAlloc = nil
			f.perform(f.allocator, f.allocator.HandleSlotMessage(f.now, "h", ask))
			So(f.use(), ShouldEqual, 1)
			f.pass()
			So(f.sent, ShouldHaveLength, 1)
			So(f.use(), ShouldEqual, 0)
		})
		Convey("decides by itself when the connection is lost", func() {
			f.offer()
			f.perform(f.host, f.host.AllocatorLost(f.now, "a"))
			So(f.sent, ShouldHaveLength, 1)
			f.toAlloc = nil
			f.offer()
			So(f.sent, ShouldHaveLength, 2)
			So(f.toAlloc, ShouldBeEmpty)
		})
		Convey("goes on asking it when the allocator, as a host that asks this one, is lost", func() {
			f.offer()
			f.perform(f.host, f.host.AskerLost(f.now, "a"))
			So(f.sent, ShouldBeEmpty)
			f.pass()
			So(f.sent, ShouldHaveLength, 1)
			f.offer()
			So(f.toAlloc, ShouldHaveLength, 1)
		})
		Convey("decides by itself when the allocator knows an upstream that names a limit", func() {
			f.perform(f.allocator, f.allocator.Offer(f.now, place.Request{ID: 1, Route: "r", Arrived: f.now, Target: 300, GiveUp: f.now + 1200, MaxAttempts: 2}))
			limited := f.sent[0]
			f.perform(f.allocator, f.allocator.AttemptDone(f.now, route.Result{Attempt: limited.Attempt, Status: route.Succeeded, Notice: route.Notice{PerSecond: 1}}))
			f.offer()
			f.pass()
			So(f.sent, ShouldHaveLength, 2)
			So(f.sent[1].Sent.Allocator, ShouldBeEmpty)
			So(f.use(), ShouldEqual, 0)
		})
		Convey("does not rely on an allocator that no longer tells that a request waits", func() {
			for range 7 {
				f.offer()
			}
			f.pass()
			So(f.sent, ShouldHaveLength, 6)
			f.wait(400)
			f.toAlloc = nil
			So(len(f.sent)+len(f.ended), ShouldBeGreaterThanOrEqualTo, 7)
		})
		Convey("withdraws the request of a caller that has gone", func() {
			for range 6 {
				f.offer()
			}
			gone := f.offer()
			f.pass()
			f.perform(f.host, f.host.CallerGone(f.now, gone))
			f.pass()
			f.end(f.sent[0], route.Succeeded)
			So(f.sent, ShouldHaveLength, 6)
			So(f.use(), ShouldEqual, 5)
		})
		Convey("finds another upstream if it does not use the one granted", func() {
			f.perform(f.host, f.host.HandleSlotMessage(f.now, "a", place.SlotMessage{Kind: place.SlotGrant, ID: 99, Upstream: "u0"}))
			So(f.toAlloc, ShouldHaveLength, 1)
			So(f.toAlloc[0].Status, ShouldEqual, route.NotSent)
			f.toAlloc = nil
			f.offer()
			f.perform(f.host, f.host.HandleSlotMessage(f.now, "a", place.SlotMessage{Kind: place.SlotGrant, ID: f.toAlloc[0].ID, Upstream: "unknown"}))
			So(f.sent, ShouldHaveLength, 1)
		})
	})
	Convey("an allocator frees the slots of a host that", t, func() {
		f := newSlotFleet()
		for range 3 {
			f.offer()
		}
		f.pass()
		So(f.use(), ShouldEqual, 3)
		Convey("is lost", func() {
			f.perform(f.allocator, f.allocator.AskerLost(f.now, "h"))
			So(f.use(), ShouldEqual, 0)
		})
		Convey("has lost its power, after twice the target", func() {
			f.now += 700
			f.perform(f.allocator, f.allocator.HandleSlotMessage(f.now, "x", place.SlotMessage{Kind: place.SlotAsk, ID: 1, Route: "r", Target: 300, TimeLeft: 1000}))
			So(f.use(), ShouldEqual, 1)
		})
	})
	Convey("a request that has run is sent again only if it may be, whoever allocates", t, func() {
		f := newSlotFleet()
		f.offer()
		f.pass()
		f.end(f.sent[0], route.ConnectionLost)
		So(f.sent, ShouldHaveLength, 1)
		So(kinds(f.ended), ShouldResemble, []route.ActionKind{route.Unknown})
	})
}

// TestReturnedCallers guards against callers that have come back too late to be in time and
// go before others that can be, as after a loss of power of all hosts.
func TestReturnedCallers(t *testing.T) {
	ask := func(f *slotFleet, id uint64, left clock.Millis) {
		f.perform(f.allocator, f.allocator.HandleSlotMessage(f.now, "h", place.SlotMessage{
			Kind: place.SlotAsk, ID: id, Route: "r", Priority: 2, Target: 300, TimeLeft: min(left, 1200), CallerLeft: left,
		}))
	}
	granted := func(f *slotFleet) (ids []uint64) {
		for _, m := range f.toHost {
			if m.Kind == place.SlotGrant {
				ids = append(ids, m.ID)
			}
		}
		f.toHost = nil
		return ids
	}
	Convey("an allocator without a free slot", t, func() {
		f := newSlotFleet()
		for id := range uint64(6) {
			ask(f, id, 2400)
		}
		So(granted(f), ShouldHaveLength, 6)
		for id := uint64(6); id < 20; id++ { // so that the usual time is known
			ask(f, id, 2400)
			f.perform(f.allocator, f.allocator.HandleSlotMessage(f.now, "h", place.SlotMessage{Kind: place.SlotWithdraw, ID: id}))
		}
		f.toHost = nil
		free := func(id uint64) {
			f.perform(f.allocator, f.allocator.HandleSlotMessage(f.now, "h", place.SlotMessage{
				Kind: place.SlotEnd, ID: id, Status: route.Succeeded, Load: &route.LoadReport{InFlight: 1, Slots: 2, Slowdown: 1},
			}))
		}
		Convey("gives the next one to a request that can be in time, and then to the one that came back", func() {
			ask(f, 100, 1400)
			ask(f, 101, 2300)
			free(0)
			So(granted(f), ShouldResemble, []uint64{101})
			free(1)
			So(granted(f), ShouldResemble, []uint64{100})
		})
		Convey("takes requests with less time for new ones when nobody can have been turned away lately", func() {
			f.now += 11 * clock.Second
			for id := uint64(200); id < 206; id++ {
				ask(f, id, 2400)
			}
			So(granted(f), ShouldContain, uint64(205))
			ask(f, 102, 1400)
			ask(f, 103, 2300)
			So(granted(f), ShouldBeEmpty)
			free(200)
			So(granted(f), ShouldResemble, []uint64{102})
		})
	})
}
