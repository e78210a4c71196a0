package sim

import (
	"math/rand/v2"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/route"
)

func newTestUpstream(e *engine, slots int) *upstream {
	return &upstream{engine: e, rand: rand.New(rand.NewPCG(1, 1)), slots: slots, meanServiceTime: meanServiceTime, slowdown: 1}
}

// answers records the answers to jobs.
type answers struct {
	e          *engine
	times      []Micros
	lastStatus route.Status
}

func (s *answers) job() *job {
	return &job{deadline: 100 * Second, answer: func(status route.Status, _ *route.LoadReport) {
		s.times = append(s.times, s.e.now)
		s.lastStatus = status
	}}
}

func TestUpstream(t *testing.T) {
	convey.Convey("an upstream", t, func() {
		e := &engine{}
		u := newTestUpstream(e, 1)
		s := &answers{e: e}
		convey.Convey("queues requests while all slots are taken and refuses them when the queue is full", func() {
			for range 1 + queueLimitPerSlot {
				u.arrive(s.job())
			}
			convey.So(u.maxOvershoot, convey.ShouldEqual, queueLimitPerSlot)
			u.arrive(s.job())
			e.runUntil(refusalTime)
			convey.So(s.lastStatus, convey.ShouldEqual, route.Refused)
		})
		convey.Convey("serves running requests more slowly after a slowdown", func() {
			u.arrive(s.job())
			left := u.running[0].remaining
			e.runUntil(left / 2)
			u.setSlowdown(8)
			e.runUntil(Second)
			convey.So(s.times, convey.ShouldHaveLength, 1)
			convey.So(float64(s.times[0]), convey.ShouldAlmostEqual, 4.5*float64(left), 10)
		})
		convey.Convey("removes a cancelled request and starts the next one", func() {
			first := s.job()
			u.arrive(first)
			u.arrive(s.job())
			u.cancel(first)
			convey.So(u.running, convey.ShouldHaveLength, 1)
			e.runUntil(Second)
			convey.So(s.times, convey.ShouldHaveLength, 1)
		})
		convey.Convey("refuses requests and reports draining while it drains", func() {
			u.draining = true
			u.arrive(s.job())
			e.runUntil(refusalTime)
			convey.So(s.lastStatus, convey.ShouldEqual, route.Refused)
			convey.So(u.load().Draining, convey.ShouldBeTrue)
		})
	})
}
