package route

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// slowRequest sends one request and lets it stay in flight for long.
func slowRequest(w *harness, idempotent bool) (RequestID, AttemptID) {
	w.arrive(Request{Deadline: w.now + 10*clock.Second, Idempotent: idempotent})
	first := w.order[len(w.order)-1]
	w.advance(w.now + 20*serviceTime)
	return w.lastID, first
}

func TestHedge(t *testing.T) {
	convey.Convey("an idempotent request that stays in flight is sent once more", t, func() {
		w := newWarmHarness(t, 3, 4)
		id, first := slowRequest(w, true)
		convey.So(w.order, convey.ShouldHaveLength, 2)
		second := w.order[1]
		convey.So(w.attempts[second].upstream, convey.ShouldNotEqual, w.attempts[first].upstream)

		convey.Convey("the first answer wins, and the other keeps its slot until its end", func() {
			loser := w.attempts[first].upstream
			w.finish(1, Succeeded, nil)
			convey.So(w.requests[id].final, convey.ShouldEqual, 1)
			convey.So(w.upstreamState(loser).InFlight, convey.ShouldEqual, 1)
			w.finish(0, Cancelled, nil)
			convey.So(w.upstreamState(loser).InFlight, convey.ShouldEqual, 0)
		})
	})
	convey.Convey("without hedging it is not", t, func() {
		w := newWarmHarness(t, 3, 4)
		w.s.Ablation.NoHedge = true
		slowRequest(w, true)
		convey.So(w.order, convey.ShouldHaveLength, 1)
	})
	convey.Convey("a request that must run once is never hedged", t, func() {
		w := newWarmHarness(t, 3, 4)
		slowRequest(w, false)
		convey.So(w.order, convey.ShouldHaveLength, 1)
	})
	convey.Convey("without spare slots nothing is hedged", t, func() {
		w := newWarmHarness(t, 2, 2)
		for range 4 {
			w.arrive(Request{Deadline: w.now + 10*clock.Second, Idempotent: true})
		}
		w.advance(w.now + 20*serviceTime)
		convey.So(w.order, convey.ShouldHaveLength, 4)
	})
	convey.Convey("a service that allows no hedges gets none", t, func() {
		w := newWarmHarness(t, 3, 4)
		cfg := w.cfg
		cfg.HedgePercent = 0
		w.configure(cfg)
		slowRequest(w, true)
		convey.So(w.order, convey.ShouldHaveLength, 1)
	})
}
