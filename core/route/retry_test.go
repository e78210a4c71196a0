package route

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// finishFirst submits one request and ends its first attempt with status. It
// returns the record of the request and the number of attempts then in flight.
func finishFirst(h *harness, req Request, status Status) (*requestRecord, int) {
	req.Deadline = h.now + clock.Second
	h.arrive(req)
	h.finish(len(h.order)-1, status, nil)
	return h.requests[h.lastID], len(h.order)
}

func TestRetry(t *testing.T) {
	nonIdempotent, idempotent := Request{}, Request{Idempotent: true}
	cases := []struct {
		name    string
		req     Request
		status  Status
		retried bool
		final   int
	}{
		{"not idempotent, not sent", nonIdempotent, NotSent, true, 0},
		{"not idempotent, refused", nonIdempotent, Refused, true, 0},
		{"not idempotent, lost", nonIdempotent, ConnectionLost, false, 1},
		{"not idempotent, errored", nonIdempotent, Errored, false, 1},
		{"idempotent, lost", idempotent, ConnectionLost, true, 0},
		{"idempotent, errored", idempotent, Errored, true, 0},
		{"nested, lost", Request{Idempotent: true, Depth: 1}, ConnectionLost, false, 1},
		{"nested, errored", Request{Idempotent: true, Depth: 1}, Errored, false, 1},
		{"nested, not sent", Request{Depth: 1}, NotSent, true, 0},
	}
	for _, c := range cases {
		convey.Convey(c.name, t, func() {
			h := newWarmHarness(t, 3, 4)
			r, running := finishFirst(h, c.req, c.status)
			convey.So(running == 1, convey.ShouldEqual, c.retried)
			convey.So(r.final, convey.ShouldEqual, c.final)
			if c.retried {
				convey.So(h.attempts[h.order[0]].upstream, convey.ShouldNotEqual, r.failedAt[0])
			}
		})
	}
	convey.Convey("retries stop when their budget is used up", t, func() {
		h := newWarmHarness(t, 3, 4)
		h.s.Ablation.NoEjection = true
		for range 500 {
			h.arrive(Request{Deadline: h.now + clock.Second, Idempotent: true})
			for len(h.order) > 0 {
				h.finish(0, ConnectionLost, nil)
			}
		}
		convey.So(h.retries, convey.ShouldBeBetween, 40, 72)
	})
	convey.Convey("a deadline that passes before the first byte does not count as a failure of the upstream", t, func() {
		h := newWarmHarness(t, 1, 4)
		h.arrive(Request{Deadline: h.now + 2*serviceTime})
		h.now += 2 * serviceTime
		h.finish(0, NotSent, nil)
		convey.So(h.requests[h.lastID].final, convey.ShouldEqual, 1)
		convey.So(h.upstreamState("a").SuccessShare, convey.ShouldBeGreaterThan, 0.99)
	})
	convey.Convey("an attempt that this host chose not to send does not count as a failure of the upstream", t, func() {
		h := newWarmHarness(t, 2, 4)
		for range 20 {
			h.arrive(Request{Deadline: h.now + clock.Second})
			id := h.order[0]
			h.order = h.order[1:]
			h.attempts[id].ended = true
			h.requests[h.lastID].running--
			h.apply(h.s.AttemptEnded(h.now, Result{Attempt: id, Status: NotSent, BlockedLocally: true}))
			for len(h.order) > 0 {
				h.finish(0, Succeeded, nil)
			}
		}
		convey.So(h.upstreamState("a").Limit, convey.ShouldEqual, 4)
		convey.So(h.upstreamState("b").Limit, convey.ShouldEqual, 4)
	})
	convey.Convey("a request in flight at its deadline is cancelled and ends unknown", t, func() {
		h := newWarmHarness(t, 1, 4)
		h.arrive(Request{Deadline: h.now + 50})
		h.advance(h.now + 50)
		convey.So(h.requests[h.lastID].final, convey.ShouldEqual, 1)
		convey.So(h.s.State().Counters.Unknown, convey.ShouldEqual, 1)
		convey.So(h.upstreamState("a").InFlight, convey.ShouldEqual, 1)
	})
}
