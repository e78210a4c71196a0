package upstream

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

func newScheduler(b Behaviour) *Scheduler {
	var s Scheduler
	s.change(0, func(c *Behaviour) { *c = b })
	return &s
}

func (s *Scheduler) change(now clock.Millis, edit func(*Behaviour)) {
	_, err := s.UpdateBehaviour(now, func(b *Behaviour) error {
		edit(b)
		return nil
	})
	So(err, ShouldBeNil)
}

func shouldRefuse(s *Scheduler, now clock.Millis, want Refusal) {
	a, refusal := s.Admit(now)
	So(a, ShouldBeNil)
	So(refusal, ShouldEqual, want)
}

func shouldAdmit(s *Scheduler, now clock.Millis, running bool) *Admission {
	a, refusal := s.Admit(now)
	So(refusal, ShouldEqual, Refusal(""))
	So(a.started, ShouldEqual, running)
	return a
}

func TestEngine(t *testing.T) {
	Convey("Requests above the slots are queued, and those above the queue limit are shed", t, func() {
		s := newScheduler(Behaviour{Slots: 1, Queue: 1})
		first := shouldAdmit(s, 0, true)
		second := shouldAdmit(s, 0, false)
		shouldRefuse(s, 0, RefusedOverloaded)
		s.Release(1, first)
		So(second.started, ShouldBeTrue)
	})
	Convey("A cancelled request is removed from the queue", t, func() {
		s := newScheduler(Behaviour{Slots: 1, Queue: 2})
		first := shouldAdmit(s, 0, true)
		second := shouldAdmit(s, 0, false)
		third := shouldAdmit(s, 0, false)
		s.Release(1, second)
		s.Release(1, first)
		So(second.started, ShouldBeFalse)
		So(third.started, ShouldBeTrue)
		So(s.ReportedLoad(1), ShouldResemble, Load{InFlight: 1})
	})
	Convey("Requests are refused while starting or draining", t, func() {
		s := newScheduler(Behaviour{Slots: 1, StartingMs: 100})
		shouldRefuse(s, 99, RefusedStarting)
		s.Release(101, shouldAdmit(s, 100, true))
		s.change(200, func(b *Behaviour) { b.Draining = true })
		shouldRefuse(s, 201, RefusedDraining)
	})
	Convey("A change of another field does not restart the durations", t, func() {
		s := newScheduler(Behaviour{Slots: 1, StartingMs: 100})
		s.change(50, func(b *Behaviour) { b.WatchedLimit = 3 })
		shouldAdmit(s, 100, true)
		s.change(150, func(b *Behaviour) { b.WatchedLimit = 4 })
		s.change(160, func(b *Behaviour) { b.StartingMs = 100 })
		shouldRefuse(s, 259, RefusedStarting)
	})
	Convey("Load reports can be delayed and misleading", t, func() {
		s := newScheduler(Behaviour{Slots: 2, LoadLagMs: 100})
		shouldAdmit(s, 10, true)
		shouldAdmit(s, 50, true)
		So(s.ReportedLoad(60).InFlight, ShouldEqual, 0)
		So(s.ReportedLoad(110).InFlight, ShouldEqual, 1)
		So(s.ReportedLoad(150).InFlight, ShouldEqual, 2)
		s.change(200, func(b *Behaviour) { b.LoadMisleads = true })
		So(s.ReportedLoad(200).InFlight, ShouldEqual, 0)
	})
	Convey("Admitted requests above the watched limit are counted", t, func() {
		s := newScheduler(Behaviour{Slots: 4, WatchedLimit: 2})
		for range 3 {
			shouldAdmit(s, 0, true)
		}
		So(s.Stats().MaxOvershoot, ShouldEqual, 1)
		So(s.Stats().MaxAdmitted, ShouldEqual, 3)
	})
	Convey("The maximum number of probes within a second is counted", t, func() {
		s := newScheduler(Behaviour{})
		for _, at := range []clock.Millis{0, 400, 999, 1000, 2500} {
			s.CountProbe(at)
		}
		So(s.Stats().Probes, ShouldEqual, 5)
		So(s.Stats().MaxProbeBurst, ShouldEqual, 3)
	})
}
