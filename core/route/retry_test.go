package route

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// finishFirst sends one request and ends its first attempt with status. It
// returns the request and how many attempts are in flight then.
func finishFirst(w *harness, req Request, status Status) (*requestRecord, int) {
	req.Deadline = w.now + clock.Second
	w.arrive(req)
	w.finish(len(w.order)-1, status, nil)
	return w.requests[w.lastID], len(w.order)
}

func TestRetry(t *testing.T) {
	once, idempotent := Request{}, Request{Idempotent: true}
	cases := []struct {
		name    string
		req     Request
		status  Status
		retried bool
		final   int
	}{
		{"once, not sent", once, NotSent, true, 0},
		{"once, refused", once, Refused, true, 0},
		{"once, lost", once, Lost, false, 1},
		{"once, errored", once, Errored, false, 1},
		{"idempotent, lost", idempotent, Lost, true, 0},
		{"idempotent, errored", idempotent, Errored, true, 0},
		{"nested, lost", Request{Idempotent: true, Depth: 1}, Lost, false, 1},
		{"nested, errored", Request{Idempotent: true, Depth: 1}, Errored, false, 1},
		{"nested, not sent", Request{Depth: 1}, NotSent, true, 0},
	}
	for _, c := range cases {
		convey.Convey(c.name, t, func() {
			w := newWarmHarness(t, 3, 4)
			r, running := finishFirst(w, c.req, c.status)
			convey.So(running == 1, convey.ShouldEqual, c.retried)
			convey.So(r.final, convey.ShouldEqual, c.final)
			if c.retried {
				convey.So(w.attempts[w.order[0]].upstream, convey.ShouldNotEqual, r.failedAt[0])
			}
		})
	}
	convey.Convey("retries stop when their budget is used up", t, func() {
		w := newWarmHarness(t, 3, 4)
		w.s.Ablation.NoEjection = true
		for range 500 {
			w.arrive(Request{Deadline: w.now + clock.Second, Idempotent: true})
			for len(w.order) > 0 {
				w.finish(0, Lost, nil)
			}
		}
		convey.So(w.retries, convey.ShouldBeBetween, 40, 72)
	})
	convey.Convey("a deadline that passed before the first byte is not the upstream's failure", t, func() {
		w := newWarmHarness(t, 1, 4)
		w.arrive(Request{Deadline: w.now + 2*serviceTime})
		w.now += 2 * serviceTime
		w.finish(0, NotSent, nil)
		convey.So(w.requests[w.lastID].final, convey.ShouldEqual, 1)
		convey.So(w.upstreamState("a").SuccessShare, convey.ShouldBeGreaterThan, 0.99)
	})
	convey.Convey("nor is what this host would not send", t, func() {
		w := newWarmHarness(t, 2, 4)
		for range 20 {
			w.arrive(Request{Deadline: w.now + clock.Second})
			id := w.order[0]
			w.order = w.order[1:]
			w.attempts[id].ended = true
			w.requests[w.lastID].running--
			w.apply(w.s.AttemptEnded(w.now, Result{Attempt: id, Status: NotSent, BlockedLocally: true}))
			for len(w.order) > 0 {
				w.finish(0, Succeeded, nil)
			}
		}
		convey.So(w.upstreamState("a").Limit, convey.ShouldEqual, 4)
		convey.So(w.upstreamState("b").Limit, convey.ShouldEqual, 4)
	})
	convey.Convey("a request in flight at its deadline is cancelled and unknown", t, func() {
		w := newWarmHarness(t, 1, 4)
		w.arrive(Request{Deadline: w.now + 50})
		w.advance(w.now + 50)
		convey.So(w.requests[w.lastID].final, convey.ShouldEqual, 1)
		convey.So(w.s.State().Counters.Unknown, convey.ShouldEqual, 1)
		convey.So(w.upstreamState("a").InFlight, convey.ShouldEqual, 1)
	})
}
