package route

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

func TestEject(t *testing.T) {
	convey.Convey("an upstream that fails fast looks idle but gets hardly any work", t, func() {
		w := newWarmHarness(t, 4, 4)
		counts := w.serveMany(30, 14, "a")
		convey.So(counts["a"], convey.ShouldBeLessThan, 20)
		convey.So(w.s.State().Counters.Ejected, convey.ShouldBeGreaterThan, 0)
	})
	convey.Convey("without ejection and score it gets more", t, func() {
		w := newWarmHarness(t, 4, 4)
		w.s.Ablation.NoEjection = true
		counts := w.serveMany(30, 14, "a")
		convey.So(counts["a"], convey.ShouldBeGreaterThanOrEqualTo, 20)
	})
	convey.Convey("half of the upstreams are kept when all fail", t, func() {
		w := newWarmHarness(t, 4, 4)
		for range 200 {
			w.arrive(Request{Deadline: w.now + clock.Second})
			for len(w.order) > 0 {
				w.finish(0, Errored, nil)
			}
		}
		ejected := 0
		for _, u := range w.s.State().Upstreams {
			if u.Ejected {
				ejected++
			}
		}
		convey.So(ejected, convey.ShouldEqual, 2)
	})
	convey.Convey("it returns after a good probe, with one request at first", t, func() {
		w := newWarmHarness(t, 4, 4)
		w.serveMany(10, 14, "a")
		convey.So(w.upstreamState("a").Ejected, convey.ShouldBeTrue)
		w.advance(w.upstreamState("a").Until)
		convey.So(w.probes, convey.ShouldContain, "a")
		for len(w.probes) > 0 {
			w.endProbe(true, nil)
		}
		convey.So(w.upstreamState("a").Ejected, convey.ShouldBeFalse)
		convey.So(w.upstreamState("a").Limit, convey.ShouldEqual, 1)
		w.serveMany(20, 14, "")
		convey.So(w.upstreamState("a").Limit, convey.ShouldEqual, 4)
	})
	convey.Convey("a failed probe keeps it out", t, func() {
		w := newWarmHarness(t, 4, 4)
		w.serveMany(10, 14, "a")
		w.advance(w.upstreamState("a").Until)
		for len(w.probes) > 0 {
			w.endProbe(false, nil)
		}
		convey.So(w.upstreamState("a").Ejected, convey.ShouldBeTrue)
	})
	convey.Convey("it returns without a probe when none was carried out", t, func() {
		w := newWarmHarness(t, 4, 4)
		w.serveMany(10, 14, "a")
		w.advance(w.upstreamState("a").Until + probeGracePeriod + clock.Second)
		convey.So(w.upstreamState("a").Ejected, convey.ShouldBeFalse)
	})
}

func TestLastUsed(t *testing.T) {
	convey.Convey("an upstream that failed while all did comes back without a probe", t, func() {
		w := newWarmHarness(t, 2, 4)
		cfg := w.cfg
		cfg.Upstreams = testUpstreams(2, 4)
		for i := range cfg.Upstreams {
			cfg.Upstreams[i].ProbeAllowed = false
		}
		w.configure(cfg)
		for range 50 {
			w.arrive(Request{Deadline: w.now + clock.Second})
			for len(w.order) > 0 {
				w.finish(0, Errored, nil)
			}
		}
		convey.So(w.s.hasHealthy(), convey.ShouldBeFalse)
		for range 30 {
			w.serve(1, "")
			w.advance(w.now + clock.Second)
		}
		for _, u := range w.s.State().Upstreams {
			convey.So(u.Standing, convey.ShouldEqual, "good")
		}
	})
}

func TestNoAnswers(t *testing.T) {
	convey.Convey("an upstream that answers nothing is ejected once deadlines have passed there", t, func() {
		w := newWarmHarness(t, 4, 4)
		for range 100 {
			for range 14 {
				w.arrive(Request{Deadline: w.now + 10*serviceTime})
			}
			w.advance(w.now + serviceTime)
			w.finishAllExcept("a")
		}
		convey.So(w.upstreamState("a").Ejected, convey.ShouldBeTrue)
		convey.So(w.s.State().Counters.Unknown, convey.ShouldBeLessThan, 30)
	})
}

func TestColdStart(t *testing.T) {
	convey.Convey("a new upstream starts with one request and rises with successes", t, func() {
		w := newHarness(1, t.Fatalf)
		w.configure(testConfig(1, 4))
		fillAndFinish(w, 1)
		convey.So(w.upstreamState("a").Limit, convey.ShouldEqual, 2)
		for range 20 {
			fillAndFinish(w, 1)
		}
		convey.So(w.upstreamState("a").Limit, convey.ShouldEqual, 4)

		convey.Convey("and falls at once on a lost connection", func() {
			finishFirst(w, Request{}, Lost)
			convey.So(w.upstreamState("a").Limit, convey.ShouldEqual, 2)
		})
	})
}

func TestDraining(t *testing.T) {
	drains := &LoadReport{Draining: true}
	convey.Convey("an upstream that says it drains gets no new work", t, func() {
		w := newWarmHarness(t, 3, 4)
		w.arrive(Request{Deadline: w.now + clock.Second, Idempotent: true})
		name := w.attempts[w.order[0]].upstream
		w.finish(0, Succeeded, drains)
		counts := w.serveMany(50, 1, "")
		convey.So(counts[name], convey.ShouldEqual, 0)
	})
	convey.Convey("one that serves new work all the same is believed no longer", t, func() {
		w := newWarmHarness(t, 2, 4)
		for range 10 {
			w.arrive(Request{Deadline: w.now + clock.Second, Idempotent: true})
			for len(w.order) > 0 {
				w.advance(w.now + 1)
				w.finish(0, Succeeded, drains)
			}
			w.advance(w.now + drainReportTTL + 1)
		}
		w.arrive(Request{Deadline: w.now + clock.Second})
		w.finish(0, Succeeded, drains)
		convey.So(w.upstreamState("a").Standing, convey.ShouldEqual, "good")
		convey.So(w.upstreamState("b").Standing, convey.ShouldEqual, "good")
	})
	convey.Convey("when all say so, work goes on", t, func() {
		w := newWarmHarness(t, 2, 4)
		for range 50 {
			w.arrive(Request{Deadline: w.now + clock.Second})
			convey.So(w.order, convey.ShouldHaveLength, 1)
			w.finish(0, Succeeded, drains)
		}
	})
	convey.Convey("a leaving upstream gets nothing, and finishes what it has", t, func() {
		w := newWarmHarness(t, 1, 4)
		w.arrive(Request{Deadline: w.now + clock.Second})
		cfg := w.cfg
		cfg.Upstreams = testUpstreams(1, 4)
		cfg.Upstreams[0].Leaving = true
		w.configure(cfg)
		w.finish(0, Succeeded, nil)
		convey.So(w.requests[w.lastID].final, convey.ShouldEqual, 1)
		w.arrive(Request{Deadline: w.now + clock.Second})
		convey.So(w.order, convey.ShouldBeEmpty)
		convey.So(w.s.State().Counters.RefusedNoUpstream, convey.ShouldEqual, 1)
	})
}

func TestProbe(t *testing.T) {
	convey.Convey("an upstream with traffic is not probed, an idle one is", t, func() {
		w := newWarmHarness(t, 1, 4)
		for range 100 {
			w.serve(1, "")
			w.advance(w.now + 200)
		}
		convey.So(w.probes, convey.ShouldBeEmpty)
		w.advance(w.now + idleProbeAfter + clock.Second)
		convey.So(w.probes, convey.ShouldHaveLength, 1)
	})
	convey.Convey("probes of an idle upstream go on, one at a time", t, func() {
		w := newWarmHarness(t, 1, 4)
		n := 0
		for range 60 {
			w.advance(w.now + clock.Second)
			for len(w.probes) > 0 {
				w.endProbe(true, nil)
				n++
			}
		}
		convey.So(n, convey.ShouldBeBetween, 8, 13)
	})
}
