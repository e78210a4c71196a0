package place_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// stopping is a placer of a host with two upstreams that stops.
type stopping struct {
	p       place.Placer
	refused map[route.RequestID]route.Reason
	sent    map[route.RequestID]route.AttemptID // latest
	unknown map[route.RequestID]bool
}

func newStopping() *stopping {
	s := &stopping{
		p:       place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: rand.New(rand.NewPCG(1, 1))},
		refused: map[route.RequestID]route.Reason{}, sent: map[route.RequestID]route.AttemptID{}, unknown: map[route.RequestID]bool{},
	}
	s.p.Tuning.NoProbe = true
	s.p.Configure(0, place.Config{RepeatRatio: 1, RepeatBurst: 10, Upstreams: []place.Upstream{{ID: "a", Slots: 2}, {ID: "b", Slots: 2}}})
	return s
}

func (s *stopping) do(actions []place.Action) {
	for _, a := range actions {
		switch a.Kind {
		case route.Send:
			s.sent[a.Request] = a.Attempt
		case route.Refuse:
			s.refused[a.Request] = a.Reason
		case route.Unknown:
			s.unknown[a.Request] = true
		}
	}
}

// offer offers a request that arrives at a time and gives up a second later.
func (s *stopping) offer(now clock.Millis, id route.RequestID, idempotent bool) {
	s.do(s.p.Offer(now, place.Request{ID: id, Route: "r", Arrived: now, Target: 400, GiveUp: now + clock.Second, MaxAttempts: 2, Idempotent: idempotent}))
}

func (s *stopping) shouldBeRefused(id route.RequestID) {
	So(s.sent[id], ShouldEqual, 0)
	So(s.refused[id], ShouldEqual, route.ReasonStopping)
}

// TestSentBeforeStop guards against requests that a host sends although it may stop before
// they are answered.
func TestSentBeforeStop(t *testing.T) {
	Convey("a host that stops at 3000, and sends what may be repeated until 1500", t, func() {
		s := newStopping()
		stop := place.Stop{At: 3000, LongUntil: 1500}
		Convey("sends what is answered by then, and nothing else", func() {
			s.do(s.p.SetStop(0, stop))
			s.offer(2000, 1, false)
			s.offer(2001, 2, false)
			s.offer(2001, 3, true)
			So(s.sent[1], ShouldNotEqual, 0)
			s.shouldBeRefused(2)
			s.shouldBeRefused(3)
		})
		Convey("sends what may be repeated for some time although it may take longer", func() {
			stop.At = 2000
			s.do(s.p.SetStop(0, stop))
			s.offer(1499, 1, true)
			s.offer(1499, 2, false)
			s.offer(1500, 3, true)
			So(s.sent[1], ShouldNotEqual, 0)
			s.shouldBeRefused(2)
			s.shouldBeRefused(3)
		})
		Convey("refuses what waits, and lets go on what is sent", func() {
			for id := range route.RequestID(6) {
				s.offer(2500, id+1, false)
			}
			waiting := 0
			for id := range route.RequestID(6) {
				if s.sent[id+1] == 0 {
					waiting++
				}
			}
			So(waiting, ShouldBeBetween, 0, 6)
			s.do(s.p.SetStop(2510, stop))
			So(s.refused, ShouldHaveLength, waiting)
		})
		Convey("does not send again what an upstream has refused", func() {
			s.offer(2500, 1, false)
			s.do(s.p.SetStop(2510, stop))
			s.do(s.p.AttemptDone(2520, route.Result{Attempt: s.sent[1], Status: route.Refused}))
			So(s.refused[1], ShouldEqual, route.ReasonStopping)
		})
		Convey("does not call refused what may have run", func() {
			s.offer(2500, 1, true)
			s.do(s.p.SetStop(2510, stop))
			s.do(s.p.AttemptDone(2520, route.Result{Attempt: s.sent[1], Status: route.ConnectionLost}))
			So(s.refused, ShouldBeEmpty)
			So(s.unknown[1], ShouldBeTrue)
		})
		Convey("ends what is left with an answer when it closes", func() {
			s.offer(2000, 1, true)
			s.do(s.p.SetStop(2010, place.Stop{At: 3000, LongUntil: 3000}))
			for id := range route.RequestID(6) {
				s.offer(2000, id+2, true)
			}
			s.do(s.p.Close(2050))
			for id := range route.RequestID(7) {
				_, refused := s.refused[id+1]
				So(refused, ShouldEqual, s.sent[id+1] == 0) // what may have run is not called refused
				So(s.unknown[id+1], ShouldEqual, s.sent[id+1] != 0)
			}
			So(s.refused, ShouldNotBeEmpty)
			So(s.unknown, ShouldNotBeEmpty)
		})
	})
}
