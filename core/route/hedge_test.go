package route

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// slowRequest submits one request and keeps it in flight for 20 times serviceTime.
func slowRequest(h *harness, idempotent bool) (RequestID, AttemptID) {
	h.arrive(Request{Deadline: h.now + 10*clock.Second, Idempotent: idempotent})
	first := h.order[len(h.order)-1]
	h.advance(h.now + 20*serviceTime)
	return h.lastID, first
}

func TestHedge(t *testing.T) {
	convey.Convey("an idempotent request that stays in flight for long is hedged", t, func() {
		h := newWarmHarness(t, 3, 4)
		id, first := slowRequest(h, true)
		convey.So(h.order, convey.ShouldHaveLength, 2)
		second := h.order[1]
		convey.So(h.attempts[second].upstream, convey.ShouldNotEqual, h.attempts[first].upstream)

		convey.Convey("the first answer wins, and the other attempt keeps its slot until its end", func() {
			loser := h.attempts[first].upstream
			h.finish(1, Succeeded, nil)
			convey.So(h.requests[id].final, convey.ShouldEqual, 1)
			convey.So(h.upstreamState(loser).InFlight, convey.ShouldEqual, 1)
			h.finish(0, Cancelled, nil)
			convey.So(h.upstreamState(loser).InFlight, convey.ShouldEqual, 0)
		})
	})
	convey.Convey("without hedging it is not", t, func() {
		h := newWarmHarness(t, 3, 4)
		h.s.Ablation.NoHedge = true
		slowRequest(h, true)
		convey.So(h.order, convey.ShouldHaveLength, 1)
	})
	convey.Convey("a request that is not idempotent is never hedged", t, func() {
		h := newWarmHarness(t, 3, 4)
		slowRequest(h, false)
		convey.So(h.order, convey.ShouldHaveLength, 1)
	})
	convey.Convey("without spare slots nothing is hedged", t, func() {
		h := newWarmHarness(t, 2, 2)
		for range 4 {
			h.arrive(Request{Deadline: h.now + 10*clock.Second, Idempotent: true})
		}
		h.advance(h.now + 20*serviceTime)
		convey.So(h.order, convey.ShouldHaveLength, 4)
	})
	convey.Convey("a service with a hedging budget of 0 percent gets no hedges", t, func() {
		h := newWarmHarness(t, 3, 4)
		cfg := h.cfg
		cfg.HedgePercent = 0
		h.configure(cfg)
		slowRequest(h, true)
		convey.So(h.order, convey.ShouldHaveLength, 1)
	})
}
