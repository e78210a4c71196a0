package place_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// TestRetryAfterShed guards against callers that come back late after the refusal of an
// upstream that has room: it refuses at random, later as often as now.
func TestRetryAfterShed(t *testing.T) {
	refused := func(load *route.LoadReport) clock.Millis {
		tuning := place.DefaultTuning()
		tuning.NoProbe = true
		p := &place.Placer{Service: "s", Tuning: tuning, Rand: rand.New(rand.NewPCG(1, 1))}
		p.Configure(clock.Hour, place.Config{Upstreams: []place.Upstream{{ID: "u", Slots: 3}}})
		for _, a := range p.Offer(clock.Hour, place.Request{ID: 1, Priority: 2, Arrived: clock.Hour, Target: 300, GiveUp: clock.Hour + 1000, MaxAttempts: 1}) {
			if a.Kind == route.Send {
				for _, a := range p.AttemptDone(clock.Hour+5, route.Result{Attempt: a.Attempt, Status: route.Refused, Load: load}) {
					if a.Kind == route.Refuse {
						return a.RetryAfter
					}
				}
			}
		}
		return 0
	}
	Convey("a caller comes back within 15 ms if the upstream that refused it has room", t, func() {
		So(refused(&route.LoadReport{InFlight: 1, Slots: 3}), ShouldBeBetweenOrEqual, 1, 15)
	})
	Convey("it waits for longer if the upstream is full", t, func() {
		So(refused(&route.LoadReport{InFlight: 3, Slots: 3}), ShouldBeGreaterThan, 15)
	})
}
