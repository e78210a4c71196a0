package route

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// submitN submits n requests that are not idempotent.
func submitN(h *harness, n int) {
	for range n {
		h.arrive(Request{Deadline: h.now + clock.Second})
	}
}

func TestSpill(t *testing.T) {
	convey.Convey("with all slots taken", t, func() {
		h := newWarmHarness(t, 1, 4, "h1", "h2")
		submitN(h, 4)
		convey.Convey("requests go to the owner with most free slots, to each no more than it has", func() {
			h.digest(Digest{Host: "h1", Free: 1, Slots: 4})
			h.digest(Digest{Host: "h2", Free: 2, Slots: 4})
			submitN(h, 4)
			convey.So(h.forwards, convey.ShouldHaveLength, 3)
			convey.So(h.s.State().Queued, convey.ShouldEqual, 1)
		})
		convey.Convey("a request that was forwarded maxHops times is not forwarded again", func() {
			h.digest(Digest{Host: "h1", Free: 4, Slots: 4})
			h.arrive(Request{Deadline: h.now + clock.Second, Hops: maxHops})
			convey.So(h.forwards, convey.ShouldBeEmpty)
		})
		convey.Convey("an old digest is ignored", func() {
			h.digest(Digest{Host: "h1", Free: 4, Slots: 4})
			h.advance(h.now + digestMaxAge)
			for len(h.order) > 0 {
				h.finish(0, Succeeded, nil)
			}
			submitN(h, 5)
			convey.So(h.forwards, convey.ShouldBeEmpty)
		})
		convey.Convey("queued requests go to an owner that reports free slots", func() {
			submitN(h, 2)
			convey.So(h.forwards, convey.ShouldBeEmpty)
			h.digest(Digest{Host: "h1", Free: 2, Slots: 4})
			convey.So(h.forwards, convey.ShouldHaveLength, 2)
		})
		convey.Convey("with NoPull they stay", func() {
			h.s.Ablation.NoPull = true
			submitN(h, 2)
			h.digest(Digest{Host: "h1", Free: 2, Slots: 4})
			convey.So(h.forwards, convey.ShouldBeEmpty)
		})
		convey.Convey("a request goes to an owner whose queue is much shorter", func() {
			h.digest(Digest{Host: "h1", Queued: 0, Slots: 4})
			submitN(h, 8)
			convey.So(len(h.forwards), convey.ShouldBeGreaterThan, 0)
		})
	})
	convey.Convey("a request that another host did not run is forwarded to a third, not to the same one again", t, func() {
		h := newHarness(1, t.Fatalf)
		h.configure(Config{Self: "self", Owners: []string{"h1", "h2"}})
		first := shouldHaveOne(h.s.Submit(h.now, idempotentRequest(1, h.now+clock.Second)), Forward)
		again := h.s.ForwardEnded(h.now, ForwardResult{Request: 1, Host: first.Host, NotRun: true, RetryAfter: 700})
		second := shouldHaveOne(again, Forward)
		convey.So(second.Host, convey.ShouldNotEqual, first.Host)
		end := h.s.ForwardEnded(h.now, ForwardResult{Request: 1, Host: second.Host, NotRun: true})
		refused := shouldHaveOne(end, Refuse)
		convey.So(refused.RetryAfter, convey.ShouldBeGreaterThanOrEqualTo, clock.Millis(700))
	})
	convey.Convey("an owner that did not run a request and sent no digest is avoided for ownerAvoidTime", t, func() {
		h := newHarness(1, t.Fatalf)
		h.configure(Config{Self: "self", Owners: []string{"h1", "h2"}})
		lost := ""
		for id := range RequestID(20) {
			sent := shouldHaveOne(h.s.Submit(h.now, idempotentRequest(id+1, h.now+clock.Second)), Forward)
			if lost == "" {
				lost = sent.Host
				again := h.s.ForwardEnded(h.now, ForwardResult{Request: id + 1, Host: lost, NotRun: true})
				sent = shouldHaveOne(again, Forward)
			}
			convey.So(sent.Host, convey.ShouldNotEqual, lost)
			h.s.ForwardEnded(h.now, ForwardResult{Request: id + 1, Host: sent.Host})
		}
		h.now += ownerAvoidTime
		hosts := make(map[string]bool)
		for id := range RequestID(20) {
			hosts[shouldHaveOne(h.s.Submit(h.now, idempotentRequest(id+100, h.now+clock.Second)), Forward).Host] = true
		}
		convey.So(hosts[lost], convey.ShouldBeTrue)
	})
	convey.Convey("a host that has free slots again sends a digest at once", t, func() {
		h := newWarmHarness(t, 1, 4, "h1")
		submitN(h, 5)
		h.advance(h.now + clock.Second)
		before := h.s.State().Counters.Digests
		for len(h.order) > 0 {
			h.finish(0, Succeeded, nil)
		}
		convey.So(h.s.State().Counters.Digests, convey.ShouldBeGreaterThan, before)
	})
}

func TestStraggler(t *testing.T) {
	convey.Convey("a straggler, an upstream whose oldest request is old, is avoided", t, func() {
		h := newWarmHarness(t, 2, 4)
		h.arrive(Request{Deadline: h.now + 10*clock.Second})
		slow := h.attempts[h.order[0]].upstream
		h.advance(h.now + 10*serviceTime)
		submitN(h, 4)
		convey.So(h.upstreamState(slow).InFlight, convey.ShouldEqual, 1)

		convey.Convey("but its slots are used when the queue grows", func() {
			submitN(h, 20)
			convey.So(h.upstreamState(slow).InFlight, convey.ShouldEqual, 4)
		})
	})
	convey.Convey("without straggler avoidance it gets its part of the requests", t, func() {
		h := newWarmHarness(t, 2, 4)
		h.s.Ablation.NoStragglerAvoidance = true
		h.arrive(Request{Deadline: h.now + 10*clock.Second})
		slow := h.attempts[h.order[0]].upstream
		h.advance(h.now + 10*serviceTime)
		submitN(h, 4)
		convey.So(h.upstreamState(slow).InFlight, convey.ShouldBeGreaterThan, 1)
	})
}

func TestZonePreference(t *testing.T) {
	convey.Convey("an upstream in the same availability zone is preferred until its latency is much higher", t, func() {
		h := newWarmHarness(t, 2, 4)
		cfg := h.cfg
		cfg.Upstreams = testUpstreams(2, 4)
		cfg.Upstreams[1].AvailabilityZone = "far"
		h.configure(cfg)
		counts := h.serveMany(20, 1, "")
		convey.So(counts["a"], convey.ShouldEqual, 20)
		h.s.findUpstream("a").latency = 100
		counts = h.serve(1, "")
		convey.So(counts["b"], convey.ShouldEqual, 1)
	})
}

func TestRateLimit(t *testing.T) {
	convey.Convey("a service's rate limit refuses at once, and only requests that were not forwarded", t, func() {
		h := newWarmHarness(t, 5, 20)
		cfg := h.cfg
		cfg.RatePerSecond = 10
		h.advance(h.now + 2*clock.Second)
		h.configure(cfg)
		submitN(h, 15)
		convey.So(h.s.State().Counters.RefusedRate, convey.ShouldEqual, 5)
		h.arrive(Request{Deadline: h.now + clock.Second, Hops: 1})
		convey.So(h.s.State().Counters.RefusedRate, convey.ShouldEqual, 5)
	})
	convey.Convey("an upstream's rate limit queues requests, and they are sent when it allows", t, func() {
		h := newWarmHarness(t, 1, 20)
		cfg := h.cfg
		cfg.Upstreams = testUpstreams(1, 20)
		cfg.Upstreams[0].RatePerSecond = 10
		h.advance(h.now + 2*clock.Second)
		h.configure(cfg)
		for range 15 {
			h.arrive(Request{Deadline: h.now + 5*clock.Second})
		}
		convey.So(h.order, convey.ShouldHaveLength, 10)
		h.advance(h.now + 1100)
		convey.So(h.order, convey.ShouldHaveLength, 15)
	})
}
