package route

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

const serviceTime = 20 * clock.Millisecond

// warm serves requests that take serviceTime each, until the shard knows the
// service's latencies and the upstreams' windows have grown to their shares.
func warm(h *harness) {
	for range 200 {
		h.arrive(Request{Deadline: h.now + clock.Second, Idempotent: true})
		h.advance(h.now + serviceTime)
		for len(h.order) > 0 {
			h.finish(0, Succeeded, nil)
		}
	}
}

// newWarmHarness returns a harness whose shard has n upstreams of share slots each
// and knows the latencies of the service.
func newWarmHarness(t *testing.T, n, share int, owners ...string) *harness {
	h := newHarness(1, func(format string, args ...any) {
		t.Helper()
		t.Fatalf(format, args...)
	})
	cfg := testConfig(n, 1, owners...)
	h.configure(cfg)
	warm(h)
	for i := range cfg.Upstreams {
		cfg.Upstreams[i].Share = share
	}
	h.configure(cfg)
	for range 2*share + 4 {
		fillAndFinish(h, n*share)
	}
	return h
}

func fillAndFinish(h *harness, n int) {
	for range n {
		h.arrive(Request{Deadline: h.now + clock.Minute, Idempotent: true})
	}
	h.advance(h.now + serviceTime)
	for len(h.order) > 0 {
		h.finish(0, Succeeded, nil)
	}
}

// overload submits twice the load that the upstreams can serve for a span. It
// returns the number of answers and the greatest length of the queue.
func overload(h *harness, slots int, span clock.Millis) (answered, longest int) {
	end := h.now + span
	credit := 0
	for h.now < end {
		for range 2 {
			h.arrive(Request{Deadline: h.now + 2*clock.Second, Idempotent: true})
		}
		credit += slots
		for credit >= int(serviceTime) && len(h.order) > 0 {
			credit -= int(serviceTime)
			h.finish(0, Succeeded, nil)
			answered++
		}
		longest = max(longest, h.s.State().Queued)
		h.advance(h.now + 1)
	}
	return answered, longest
}

func TestOverload(t *testing.T) {
	convey.Convey("at twice capacity", t, func() {
		convey.Convey("the slots stay busy and the queue stays short", func() {
			h := newWarmHarness(t, 5, 4)
			answered, longest := overload(h, 20, 5*clock.Second)
			convey.So(answered, convey.ShouldBeGreaterThan, 4500)
			convey.So(longest, convey.ShouldBeLessThan, 250)
		})
		convey.Convey("without admission control the queue grows until waits reach the deadline", func() {
			h := newWarmHarness(t, 5, 4)
			h.s.Ablation.NoAdmissionControl = true
			_, longest := overload(h, 20, 5*clock.Second)
			convey.So(longest, convey.ShouldBeGreaterThan, 1000)
		})
	})
	convey.Convey("in a standing queue a request with a later deadline may wait longer, up to a bound", t, func() {
		h := newWarmHarness(t, 5, 4)
		short := h.s.maxStandingWait(clock.Millis(2 * h.s.latencies.p90))
		long := h.s.maxStandingWait(clock.Minute)
		convey.So(long, convey.ShouldBeGreaterThan, short)
		convey.So(long, convey.ShouldBeLessThan, float64(10*serviceTime))
	})
	convey.Convey("a request that cannot meet its deadline is refused at once", t, func() {
		h := newWarmHarness(t, 1, 1)
		h.arrive(Request{Deadline: h.now + clock.Second, Idempotent: true})
		actions := h.s.Submit(h.now, Request{ID: 9999, Deadline: h.now + 3*serviceTime/2, Idempotent: true})
		refused := shouldHaveOne(actions, Refuse)
		convey.So(refused.Reason, convey.ShouldEqual, ReasonOverloaded)
		convey.So(refused.RetryAfter, convey.ShouldBeGreaterThan, clock.Millis(0))
	})
	convey.Convey("a request with less time left than the service needs is refused although a slot is free", t, func() {
		h := newWarmHarness(t, 1, 1)
		actions := h.s.Submit(h.now, Request{ID: 9999, Deadline: h.now + serviceTime/2})
		convey.So(shouldHaveOne(actions, Refuse).Reason, convey.ShouldEqual, ReasonDeadline)
	})
	convey.Convey("a short deadline is accepted at a service with mostly long and some short calls", t, func() {
		h := newWarmHarness(t, 2, 4)
		for range 600 {
			for i := range 8 {
				h.arrive(Request{Deadline: h.now + clock.Minute})
				if i < 2 {
					h.advance(h.now + 1)
					h.finish(len(h.order)-1, Succeeded, nil)
				}
			}
			h.advance(h.now + clock.Second)
			for len(h.order) > 0 {
				h.finish(0, Succeeded, nil)
			}
		}
		convey.So(h.s.latencies.p50, convey.ShouldBeGreaterThan, 500)
		actions := h.s.Submit(h.now, Request{ID: 9999, Deadline: h.now + 100})
		shouldHaveOne(actions, Send)
	})
	convey.Convey("refused callers get different retry delays", t, func() {
		h := newWarmHarness(t, 1, 1)
		h.arrive(Request{Deadline: h.now + clock.Second, Idempotent: true})
		delays := make(map[clock.Millis]bool)
		for i := range 100 {
			actions := h.s.Submit(h.now, Request{ID: RequestID(9000 + i), Deadline: h.now + 3*serviceTime/2})
			delays[shouldHaveOne(actions, Refuse).RetryAfter] = true
		}
		convey.So(len(delays), convey.ShouldBeGreaterThan, 20)
	})
}

func TestQueueOrder(t *testing.T) {
	// secondIsFirst queues two requests, the second with the earlier deadline, and
	// reports whether the second is sent first.
	secondIsFirst := func(ablation Ablation) bool {
		h := newWarmHarness(t, 1, 1)
		h.s.Ablation = ablation
		h.arrive(Request{Deadline: h.now + clock.Second})
		h.arrive(Request{Deadline: h.now + 20*serviceTime})
		h.arrive(Request{Deadline: h.now + 10*serviceTime})
		h.finish(0, Succeeded, nil)
		return h.attempts[h.order[0]].request == h.lastID
	}
	convey.Convey("the request with the earliest deadline is sent first", t, func() {
		convey.So(secondIsFirst(Ablation{}), convey.ShouldBeTrue)
	})
	convey.Convey("with a FIFO queue it is not", t, func() {
		convey.So(secondIsFirst(Ablation{FIFOQueue: true}), convey.ShouldBeFalse)
	})
}
