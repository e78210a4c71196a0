package route

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// submitN sends requests until no slot is free.
func submitN(w *harness, n int) {
	for range n {
		w.arrive(Request{Deadline: w.now + clock.Second})
	}
}

func TestSpill(t *testing.T) {
	convey.Convey("with all slots taken", t, func() {
		w := newWarmHarness(t, 1, 4, "h1", "h2")
		submitN(w, 4)
		convey.Convey("a request goes to the owner with most free slots, and no more than it has", func() {
			w.digest(Digest{Host: "h1", Free: 1, Slots: 4})
			w.digest(Digest{Host: "h2", Free: 2, Slots: 4})
			submitN(w, 4)
			convey.So(w.forwards, convey.ShouldHaveLength, 3)
			convey.So(w.s.State().Queued, convey.ShouldEqual, 1)
		})
		convey.Convey("a request that passed two hosts stays", func() {
			w.digest(Digest{Host: "h1", Free: 4, Slots: 4})
			w.arrive(Request{Deadline: w.now + clock.Second, Hops: maxHops})
			convey.So(w.forwards, convey.ShouldBeEmpty)
		})
		convey.Convey("old news counts for nothing", func() {
			w.digest(Digest{Host: "h1", Free: 4, Slots: 4})
			w.advance(w.now + digestMaxAge)
			for len(w.order) > 0 {
				w.finish(0, Succeeded, nil)
			}
			submitN(w, 5)
			convey.So(w.forwards, convey.ShouldBeEmpty)
		})
		convey.Convey("a waiting request goes to an owner that tells of free slots", func() {
			submitN(w, 2)
			convey.So(w.forwards, convey.ShouldBeEmpty)
			w.digest(Digest{Host: "h1", Free: 2, Slots: 4})
			convey.So(w.forwards, convey.ShouldHaveLength, 2)
		})
		convey.Convey("without pull it stays", func() {
			w.s.Ablation.NoPull = true
			submitN(w, 2)
			w.digest(Digest{Host: "h1", Free: 2, Slots: 4})
			convey.So(w.forwards, convey.ShouldBeEmpty)
		})
		convey.Convey("a request goes where the queue is much shorter", func() {
			w.digest(Digest{Host: "h1", Queued: 0, Slots: 4})
			submitN(w, 8)
			convey.So(len(w.forwards), convey.ShouldBeGreaterThan, 0)
		})
	})
	convey.Convey("what another host did not run is placed again, not there", t, func() {
		w := newHarness(1, t.Fatalf)
		w.configure(Config{Self: "self", Owners: []string{"h1", "h2"}})
		first := shouldHaveOne(w.s.Submit(w.now, idempotentRequest(1, w.now+clock.Second)), Forward)
		again := w.s.ForwardEnded(w.now, ForwardResult{Request: 1, Host: first.Host, NotRun: true, RetryAfter: 700})
		second := shouldHaveOne(again, Forward)
		convey.So(second.Host, convey.ShouldNotEqual, first.Host)
		end := w.s.ForwardEnded(w.now, ForwardResult{Request: 1, Host: second.Host, NotRun: true})
		refused := shouldHaveOne(end, Refuse)
		convey.So(refused.RetryAfter, convey.ShouldBeGreaterThanOrEqualTo, clock.Millis(700))
	})
	convey.Convey("an owner that can't be reached is left alone for a while", t, func() {
		w := newHarness(1, t.Fatalf)
		w.configure(Config{Self: "self", Owners: []string{"h1", "h2"}})
		lost := ""
		for id := range RequestID(20) {
			sent := shouldHaveOne(w.s.Submit(w.now, idempotentRequest(id+1, w.now+clock.Second)), Forward)
			if lost == "" {
				lost = sent.Host
				again := w.s.ForwardEnded(w.now, ForwardResult{Request: id + 1, Host: lost, NotRun: true})
				sent = shouldHaveOne(again, Forward)
			}
			convey.So(sent.Host, convey.ShouldNotEqual, lost)
			w.s.ForwardEnded(w.now, ForwardResult{Request: id + 1, Host: sent.Host})
		}
		w.now += ownerAvoidTime
		hosts := make(map[string]bool)
		for id := range RequestID(20) {
			hosts[shouldHaveOne(w.s.Submit(w.now, idempotentRequest(id+100, w.now+clock.Second)), Forward).Host] = true
		}
		convey.So(hosts[lost], convey.ShouldBeTrue)
	})
	convey.Convey("an owner with free slots again says so at once", t, func() {
		w := newWarmHarness(t, 1, 4, "h1")
		submitN(w, 5)
		w.advance(w.now + clock.Second)
		before := w.s.State().Counters.Digests
		for len(w.order) > 0 {
			w.finish(0, Succeeded, nil)
		}
		convey.So(w.s.State().Counters.Digests, convey.ShouldBeGreaterThan, before)
	})
}

func TestStraggler(t *testing.T) {
	convey.Convey("an upstream whose oldest request is old is passed over", t, func() {
		w := newWarmHarness(t, 2, 4)
		w.arrive(Request{Deadline: w.now + 10*clock.Second})
		slow := w.attempts[w.order[0]].upstream
		w.advance(w.now + 10*serviceTime)
		submitN(w, 4)
		convey.So(w.upstreamState(slow).InFlight, convey.ShouldEqual, 1)

		convey.Convey("but its slots are used rather than let a queue grow", func() {
			submitN(w, 20)
			convey.So(w.upstreamState(slow).InFlight, convey.ShouldEqual, 4)
		})
	})
	convey.Convey("without the rule it gets its part", t, func() {
		w := newWarmHarness(t, 2, 4)
		w.s.Ablation.NoStragglerAvoidance = true
		w.arrive(Request{Deadline: w.now + 10*clock.Second})
		slow := w.attempts[w.order[0]].upstream
		w.advance(w.now + 10*serviceTime)
		submitN(w, 4)
		convey.So(w.upstreamState(slow).InFlight, convey.ShouldBeGreaterThan, 1)
	})
}

func TestZone(t *testing.T) {
	convey.Convey("a near upstream goes first until it is worse", t, func() {
		w := newWarmHarness(t, 2, 4)
		cfg := w.cfg
		cfg.Upstreams = testUpstreams(2, 4)
		cfg.Upstreams[1].AvailabilityZone = "far"
		w.configure(cfg)
		counts := w.serveMany(20, 1, "")
		convey.So(counts["a"], convey.ShouldEqual, 20)
		w.s.findUpstream("a").latency = 100
		counts = w.serve(1, "")
		convey.So(counts["b"], convey.ShouldEqual, 1)
	})
}

func TestRate(t *testing.T) {
	convey.Convey("a service's rate refuses at once, and only requests new to the fleet", t, func() {
		w := newWarmHarness(t, 5, 20)
		cfg := w.cfg
		cfg.RatePerSecond = 10
		w.advance(w.now + 2*clock.Second)
		w.configure(cfg)
		submitN(w, 15)
		convey.So(w.s.State().Counters.RefusedRate, convey.ShouldEqual, 5)
		w.arrive(Request{Deadline: w.now + clock.Second, Hops: 1})
		convey.So(w.s.State().Counters.RefusedRate, convey.ShouldEqual, 5)
	})
	convey.Convey("an upstream's rate makes requests wait, and they go on in time", t, func() {
		w := newWarmHarness(t, 1, 20)
		cfg := w.cfg
		cfg.Upstreams = testUpstreams(1, 20)
		cfg.Upstreams[0].RatePerSecond = 10
		w.advance(w.now + 2*clock.Second)
		w.configure(cfg)
		for range 15 {
			w.arrive(Request{Deadline: w.now + 5*clock.Second})
		}
		convey.So(w.order, convey.ShouldHaveLength, 10)
		w.advance(w.now + 1100)
		convey.So(w.order, convey.ShouldHaveLength, 15)
	})
}
