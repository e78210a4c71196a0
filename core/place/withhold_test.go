package place_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// kinds returns the kinds of actions.
func kinds(actions []place.Action) (list []route.ActionKind) {
	for _, a := range actions {
		list = append(list, a.Kind)
	}
	return list
}

func TestWithhold(t *testing.T) {
	Convey("a request that may be sent to two upstreams", t, func() {
		tuning := place.DefaultTuning()
		tuning.NoProbe = true
		p := &place.Placer{Service: "s", Tuning: tuning, Rand: rand.New(rand.NewPCG(1, 1))}
		p.Configure(0, place.Config{RepeatRatio: 1, RepeatBurst: 10, Upstreams: []place.Upstream{{ID: "a", Slots: 1}, {ID: "b", Slots: 1}}})
		in := place.Request{ID: 1, Route: "r", Target: 400, GiveUp: 1000, Idempotent: true, MaxAttempts: 2}
		sent := p.Offer(0, in)
		So(kinds(sent), ShouldResemble, []route.ActionKind{route.Send})
		lose := func(now clock.Millis) []place.Action {
			return p.AttemptDone(now, route.Result{Attempt: sent[0].Attempt, Status: route.ConnectionLost})
		}
		Convey("is sent to the second when the first has lost it", func() {
			So(kinds(lose(10)), ShouldResemble, []route.ActionKind{route.Send})
		})
		Convey("ends unknown if it is withheld meanwhile, as it may have run", func() {
			So(p.Withhold(5, 1, clock.Minute), ShouldBeEmpty)
			end := lose(10)
			So(kinds(end), ShouldResemble, []route.ActionKind{route.Unknown})
			So(end[0].Reason, ShouldEqual, route.ReasonQuarantined)
		})
		Convey("is not hedged while it is withheld, and its answer is passed on", func() {
			p.Withhold(5, 1, clock.Minute)
			So(p.Tick(390), ShouldBeEmpty)
			So(kinds(p.AttemptDone(395, route.Result{Attempt: sent[0].Attempt, Status: route.Succeeded})), ShouldResemble, []route.ActionKind{route.Finish})
		})
		Convey("is refused if it has not been sent, with the time to come back", func() {
			in.ID = 2
			p.Offer(0, in)
			in.ID = 3
			So(p.Offer(0, in), ShouldBeEmpty)
			end := p.Withhold(5, 3, clock.Minute)
			So(kinds(end), ShouldResemble, []route.ActionKind{route.Refuse})
			So(end[0].RetryAfter, ShouldBeGreaterThanOrEqualTo, clock.Minute)
		})
	})
}
