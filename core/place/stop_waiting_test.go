package place_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// waitPassing lets time pass at both hosts, and passes messages on.
func (f *slotFleet) waitPassing(span clock.Millis) {
	for end := f.now + span; f.now < end; {
		f.wait(1)
		f.pass()
	}
}

// offerLong offers idempotent requests of 6 s to a host.
func (f *slotFleet) offerLong(p *place.Placer, n int) {
	for range n {
		f.last++
		f.perform(p, p.Offer(f.now, place.Request{
			ID: f.last, Route: "r", Priority: 2, Arrived: f.now, Target: 2000, GiveUp: f.now + 6000, CallerLeft: 12000, MaxAttempts: 2, Idempotent: true,
		}))
	}
	f.pass()
}

func (f *slotFleet) shouldHaveRefused(n int) {
	So(f.ended, ShouldHaveLength, n)
	for _, a := range f.ended {
		So(a.Kind, ShouldEqual, route.Refuse)
		So(a.Reason, ShouldEqual, route.ReasonStopping)
		So(a.RetryAfter, ShouldEqual, place.StoppingRetryAfter)
	}
}

// TestRequestsLeftWaitingAtStop guards against requests that wait for a slot and get no answer
// before their host stops.
func TestRequestsLeftWaitingAtStop(t *testing.T) {
	const slots = 6
	stopIn := func(f *slotFleet) place.Stop { return place.Stop{At: f.now + 5660, LongUntil: f.now + 3000} }
	Convey("a fleet whose slots are all in use", t, func() {
		f := newSlotFleet()
		f.offerLong(f.host, slots)
		So(f.sent, ShouldHaveLength, slots)
		Convey("a host whose requests wait at an allocator and that stops", func() {
			f.offerLong(f.host, 1)
			f.perform(f.host, f.host.SetStop(f.now, stopIn(f)))
			f.waitPassing(1000)
			f.offerLong(f.host, 1)
			Convey("lets them wait as long as they may be sent, and then refuses them at once", func() {
				f.waitPassing(1990)
				f.shouldHaveRefused(0)
				f.waitPassing(20)
				f.shouldHaveRefused(2)
				So(f.sent, ShouldHaveLength, slots)
			})
			Convey("sends one for which a slot becomes free before that", func() {
				f.end(f.sent[0], route.Succeeded)
				So(f.sent, ShouldHaveLength, slots+1)
			})
		})
		Convey("an allocator that stops refuses its own requests in the same way", func() {
			f.offerLong(f.allocator, 2)
			f.perform(f.allocator, f.allocator.SetStop(f.now, stopIn(f)))
			f.waitPassing(2990)
			f.shouldHaveRefused(0)
			f.waitPassing(20)
			f.shouldHaveRefused(2)
		})
		Convey("a host refuses them sooner if a slot would come too late for the usual time of the route", func() {
			f.offerLong(f.host, 1)
			f.perform(f.host, f.host.SetStop(f.now, place.Stop{At: f.now + 2000, LongUntil: f.now + 1500}))
			f.waitPassing(700)
			f.shouldHaveRefused(0)
			f.waitPassing(110)
			f.shouldHaveRefused(1)
		})
	})
}

// TestForwardedUntilAfterStop guards against requests that another host still holds when the host
// that has passed them on stops.
func TestForwardedUntilAfterStop(t *testing.T) {
	Convey("a host that reaches no upstream, and passes requests on", t, func() {
		r := newReached(8, 6)
		r.cutOff(8)
		r.pass(3 * clock.Second)
		r.takeEnded()
		forwardedUntil := func() clock.Millis {
			r.offer(place.Request{Idempotent: true})
			open := r.takeOpen()
			So(open, ShouldHaveLength, 1)
			So(open[0].Kind, ShouldEqual, route.Forward)
			return open[0].Forward.GiveUp
		}
		Convey("asks for a reply by their latest answer", func() {
			So(forwardedUntil(), ShouldEqual, r.now+1000)
		})
		Convey("asks for one before it stops", func() {
			at := r.now + 800
			r.perform(r.placer.SetStop(r.now, place.Stop{At: at, LongUntil: r.now + 500}))
			So(forwardedUntil(), ShouldEqual, at)
		})
	})
}
