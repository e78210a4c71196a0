package route

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

func TestEject(t *testing.T) {
	convey.Convey("an upstream that fails fast, and so is always free, gets hardly any requests", t, func() {
		h := newWarmHarness(t, 4, 4)
		counts := h.serveMany(30, 14, "a")
		convey.So(counts["a"], convey.ShouldBeLessThan, 20)
		convey.So(h.s.State().Counters.Ejected, convey.ShouldBeGreaterThan, 0)
	})
	convey.Convey("without ejection it gets more", t, func() {
		h := newWarmHarness(t, 4, 4)
		h.s.Ablation.NoEjection = true
		counts := h.serveMany(30, 14, "a")
		convey.So(counts["a"], convey.ShouldBeGreaterThanOrEqualTo, 20)
	})
	convey.Convey("half of the upstreams stay in use when all fail", t, func() {
		h := newWarmHarness(t, 4, 4)
		for range 200 {
			h.arrive(Request{Deadline: h.now + clock.Second})
			for len(h.order) > 0 {
				h.finish(0, Errored, nil)
			}
		}
		ejected := 0
		for _, u := range h.s.State().Upstreams {
			if u.Ejected {
				ejected++
			}
		}
		convey.So(ejected, convey.ShouldEqual, 2)
	})
	convey.Convey("an ejected upstream returns after a successful probe, with a window of one request", t, func() {
		h := newWarmHarness(t, 4, 4)
		h.serveMany(10, 14, "a")
		convey.So(h.upstreamState("a").Ejected, convey.ShouldBeTrue)
		h.advance(h.upstreamState("a").Until)
		convey.So(h.probes, convey.ShouldContain, "a")
		for len(h.probes) > 0 {
			h.endProbe(true, nil)
		}
		convey.So(h.upstreamState("a").Ejected, convey.ShouldBeFalse)
		convey.So(h.upstreamState("a").Limit, convey.ShouldEqual, 1)
		h.serveMany(20, 14, "")
		convey.So(h.upstreamState("a").Limit, convey.ShouldEqual, 4)
	})
	convey.Convey("an ejected upstream stays ejected after a failed probe", t, func() {
		h := newWarmHarness(t, 4, 4)
		h.serveMany(10, 14, "a")
		h.advance(h.upstreamState("a").Until)
		for len(h.probes) > 0 {
			h.endProbe(false, nil)
		}
		convey.So(h.upstreamState("a").Ejected, convey.ShouldBeTrue)
	})
	convey.Convey("an ejected upstream returns without a probe result after the grace period", t, func() {
		h := newWarmHarness(t, 4, 4)
		h.serveMany(10, 14, "a")
		h.advance(h.upstreamState("a").Until + probeGracePeriod + clock.Second)
		convey.So(h.upstreamState("a").Ejected, convey.ShouldBeFalse)
	})
}

func TestLastResort(t *testing.T) {
	convey.Convey("when all upstreams failed, those of last resort become healthy again without a probe", t, func() {
		h := newWarmHarness(t, 2, 4)
		cfg := h.cfg
		cfg.Upstreams = testUpstreams(2, 4)
		for i := range cfg.Upstreams {
			cfg.Upstreams[i].ProbeAllowed = false
		}
		h.configure(cfg)
		for range 50 {
			h.arrive(Request{Deadline: h.now + clock.Second})
			for len(h.order) > 0 {
				h.finish(0, Errored, nil)
			}
		}
		convey.So(h.s.hasHealthy(), convey.ShouldBeFalse)
		for range 30 {
			h.serve(1, "")
			h.advance(h.now + clock.Second)
		}
		for _, u := range h.s.State().Upstreams {
			convey.So(u.Standing, convey.ShouldEqual, "good")
		}
	})
}

func TestUnresponsiveUpstream(t *testing.T) {
	convey.Convey("an upstream that never answers is ejected after requests reach their deadlines there", t, func() {
		h := newWarmHarness(t, 4, 4)
		for range 100 {
			for range 14 {
				h.arrive(Request{Deadline: h.now + 10*serviceTime})
			}
			h.advance(h.now + serviceTime)
			h.finishAllExcept("a")
		}
		convey.So(h.upstreamState("a").Ejected, convey.ShouldBeTrue)
		convey.So(h.s.State().Counters.Unknown, convey.ShouldBeLessThan, 30)
	})
}

func TestSlowStart(t *testing.T) {
	convey.Convey("the window of a new upstream starts at one request and grows with successes", t, func() {
		h := newHarness(1, t.Fatalf)
		h.configure(testConfig(1, 4))
		fillAndFinish(h, 1)
		convey.So(h.upstreamState("a").Limit, convey.ShouldEqual, 2)
		for range 20 {
			fillAndFinish(h, 1)
		}
		convey.So(h.upstreamState("a").Limit, convey.ShouldEqual, 4)

		convey.Convey("and shrinks at once on a lost connection", func() {
			finishFirst(h, Request{}, ConnectionLost)
			convey.So(h.upstreamState("a").Limit, convey.ShouldEqual, 2)
		})
	})
}

func TestDraining(t *testing.T) {
	draining := &LoadReport{Draining: true}
	convey.Convey("an upstream that reports draining gets no new requests", t, func() {
		h := newWarmHarness(t, 3, 4)
		h.arrive(Request{Deadline: h.now + clock.Second, Idempotent: true})
		name := h.attempts[h.order[0]].upstream
		h.finish(0, Succeeded, draining)
		counts := h.serveMany(50, 1, "")
		convey.So(counts[name], convey.ShouldEqual, 0)
	})
	convey.Convey("the report is ignored after the upstream has served several new requests", t, func() {
		h := newWarmHarness(t, 2, 4)
		for range 10 {
			h.arrive(Request{Deadline: h.now + clock.Second, Idempotent: true})
			for len(h.order) > 0 {
				h.advance(h.now + 1)
				h.finish(0, Succeeded, draining)
			}
			h.advance(h.now + drainReportTTL + 1)
		}
		h.arrive(Request{Deadline: h.now + clock.Second})
		h.finish(0, Succeeded, draining)
		convey.So(h.upstreamState("a").Standing, convey.ShouldEqual, "good")
		convey.So(h.upstreamState("b").Standing, convey.ShouldEqual, "good")
	})
	convey.Convey("when all upstreams report draining, they are used all the same", t, func() {
		h := newWarmHarness(t, 2, 4)
		for range 50 {
			h.arrive(Request{Deadline: h.now + clock.Second})
			convey.So(h.order, convey.ShouldHaveLength, 1)
			h.finish(0, Succeeded, draining)
		}
	})
	convey.Convey("a leaving upstream gets no new requests and finishes those in flight", t, func() {
		h := newWarmHarness(t, 1, 4)
		h.arrive(Request{Deadline: h.now + clock.Second})
		cfg := h.cfg
		cfg.Upstreams = testUpstreams(1, 4)
		cfg.Upstreams[0].Leaving = true
		h.configure(cfg)
		h.finish(0, Succeeded, nil)
		convey.So(h.requests[h.lastID].final, convey.ShouldEqual, 1)
		h.arrive(Request{Deadline: h.now + clock.Second})
		convey.So(h.order, convey.ShouldBeEmpty)
		convey.So(h.s.State().Counters.RefusedNoUpstream, convey.ShouldEqual, 1)
	})
}

func TestProbe(t *testing.T) {
	convey.Convey("an idle upstream is probed, one with traffic is not", t, func() {
		h := newWarmHarness(t, 1, 4)
		for range 100 {
			h.serve(1, "")
			h.advance(h.now + 200)
		}
		convey.So(h.probes, convey.ShouldBeEmpty)
		h.advance(h.now + idleProbeAfter + clock.Second)
		convey.So(h.probes, convey.ShouldHaveLength, 1)
	})
	convey.Convey("an idle upstream is probed repeatedly, one probe at a time", t, func() {
		h := newWarmHarness(t, 1, 4)
		n := 0
		for range 60 {
			h.advance(h.now + clock.Second)
			for len(h.probes) > 0 {
				h.endProbe(true, nil)
				n++
			}
		}
		convey.So(n, convey.ShouldBeBetween, 8, 13)
	})
}
