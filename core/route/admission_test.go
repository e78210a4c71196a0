package route

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

const serviceTime = 20 * clock.Millisecond

// warm lets a shard learn that the service takes serviceTime, and opens the
// upstreams' whole shares.
func warm(w *harness) {
	for range 200 {
		w.arrive(Request{Deadline: w.now + clock.Second, Idempotent: true})
		w.advance(w.now + serviceTime)
		for len(w.order) > 0 {
			w.finish(0, Succeeded, nil)
		}
	}
}

// newWarmHarness returns a world whose shard has n upstreams of share slots and
// knows the service.
func newWarmHarness(t *testing.T, n, share int, owners ...string) *harness {
	w := newHarness(1, func(format string, args ...any) {
		t.Helper()
		t.Fatalf(format, args...)
	})
	cfg := testConfig(n, 1, owners...)
	w.configure(cfg)
	warm(w)
	for i := range cfg.Upstreams {
		cfg.Upstreams[i].Share = share
	}
	w.configure(cfg)
	for range 2*share + 4 {
		fillAndFinish(w, n*share)
	}
	return w
}

func fillAndFinish(w *harness, n int) {
	for range n {
		w.arrive(Request{Deadline: w.now + clock.Minute, Idempotent: true})
	}
	w.advance(w.now + serviceTime)
	for len(w.order) > 0 {
		w.finish(0, Succeeded, nil)
	}
}

// overload offers twice what the upstreams can do for a span and returns what
// was answered and how long the longest queue was.
func overload(w *harness, slots int, span clock.Millis) (answered, longest int) {
	end := w.now + span
	credit := 0
	for w.now < end {
		for range 2 {
			w.arrive(Request{Deadline: w.now + 2*clock.Second, Idempotent: true})
		}
		credit += slots
		for credit >= int(serviceTime) && len(w.order) > 0 {
			credit -= int(serviceTime)
			w.finish(0, Succeeded, nil)
			answered++
		}
		longest = max(longest, w.s.State().Queued)
		w.advance(w.now + 1)
	}
	return answered, longest
}

func TestOverload(t *testing.T) {
	convey.Convey("at twice capacity", t, func() {
		convey.Convey("the slots stay busy and the queue stays short", func() {
			w := newWarmHarness(t, 5, 4)
			answered, longest := overload(w, 20, 5*clock.Second)
			convey.So(answered, convey.ShouldBeGreaterThan, 4500)
			convey.So(longest, convey.ShouldBeLessThan, 250)
		})
		convey.Convey("without admission the queue grows to the deadline", func() {
			w := newWarmHarness(t, 5, 4)
			w.s.Ablation.NoAdmissionControl = true
			_, longest := overload(w, 20, 5*clock.Second)
			convey.So(longest, convey.ShouldBeGreaterThan, 1000)
		})
	})
	convey.Convey("in a standing queue a patient request may wait longer, to a bound", t, func() {
		w := newWarmHarness(t, 5, 4)
		short := w.s.maxStandingWait(clock.Millis(2 * w.s.latencies.p90))
		long := w.s.maxStandingWait(clock.Minute)
		convey.So(long, convey.ShouldBeGreaterThan, short)
		convey.So(long, convey.ShouldBeLessThan, float64(10*serviceTime))
	})
	convey.Convey("a request that can't be in time is refused at once", t, func() {
		w := newWarmHarness(t, 1, 1)
		w.arrive(Request{Deadline: w.now + clock.Second, Idempotent: true})
		actions := w.s.Submit(w.now, Request{ID: 9999, Deadline: w.now + 3*serviceTime/2, Idempotent: true})
		refused := shouldHaveOne(actions, Refuse)
		convey.So(refused.Reason, convey.ShouldEqual, ReasonOverloaded)
		convey.So(refused.RetryAfter, convey.ShouldBeGreaterThan, clock.Millis(0))
	})
	convey.Convey("so is one with less time left than the service ever takes, though a slot is free", t, func() {
		w := newWarmHarness(t, 1, 1)
		actions := w.s.Submit(w.now, Request{ID: 9999, Deadline: w.now + serviceTime/2})
		convey.So(shouldHaveOne(actions, Refuse).Reason, convey.ShouldEqual, ReasonDeadline)
	})
	convey.Convey("short calls of a service with long ones are let in", t, func() {
		w := newWarmHarness(t, 2, 4)
		for range 600 {
			for i := range 8 {
				w.arrive(Request{Deadline: w.now + clock.Minute})
				if i < 2 {
					w.advance(w.now + 1)
					w.finish(len(w.order)-1, Succeeded, nil)
				}
			}
			w.advance(w.now + clock.Second)
			for len(w.order) > 0 {
				w.finish(0, Succeeded, nil)
			}
		}
		convey.So(w.s.latencies.p50, convey.ShouldBeGreaterThan, 500)
		actions := w.s.Submit(w.now, Request{ID: 9999, Deadline: w.now + 100})
		shouldHaveOne(actions, Send)
	})
	convey.Convey("callers that were refused are told different times", t, func() {
		w := newWarmHarness(t, 1, 1)
		w.arrive(Request{Deadline: w.now + clock.Second, Idempotent: true})
		told := make(map[clock.Millis]bool)
		for i := range 100 {
			actions := w.s.Submit(w.now, Request{ID: RequestID(9000 + i), Deadline: w.now + 3*serviceTime/2})
			told[shouldHaveOne(actions, Refuse).RetryAfter] = true
		}
		convey.So(len(told), convey.ShouldBeGreaterThan, 20)
	})
}

func TestQueueOrder(t *testing.T) {
	// second returns which of two waiting requests is sent first, the second of
	// which has the earlier deadline.
	second := func(tuning Ablation) bool {
		w := newWarmHarness(t, 1, 1)
		w.s.Ablation = tuning
		w.arrive(Request{Deadline: w.now + clock.Second})
		w.arrive(Request{Deadline: w.now + 20*serviceTime})
		w.arrive(Request{Deadline: w.now + 10*serviceTime})
		w.finish(0, Succeeded, nil)
		return w.attempts[w.order[0]].request == w.lastID
	}
	convey.Convey("the request with the earliest deadline is sent first", t, func() {
		convey.So(second(Ablation{}), convey.ShouldBeTrue)
	})
	convey.Convey("by arrival it would not be", t, func() {
		convey.So(second(Ablation{FIFOQueue: true}), convey.ShouldBeFalse)
	})
}
