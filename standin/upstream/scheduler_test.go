package upstream

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

func engine(b Behaviour) *Scheduler {
	var e Scheduler
	e.change(0, func(c *Behaviour) { *c = b })
	return &e
}

func (e *Scheduler) change(now clock.Millis, edit func(*Behaviour)) {
	_, err := e.UpdateBehaviour(now, func(b *Behaviour) error {
		edit(b)
		return nil
	})
	So(err, ShouldBeNil)
}

func shouldRefuse(e *Scheduler, now clock.Millis, want Refusal) {
	t, refusal := e.Admit(now)
	So(t, ShouldBeNil)
	So(refusal, ShouldEqual, want)
}

func shouldTake(e *Scheduler, now clock.Millis, running bool) *Admission {
	t, refusal := e.Admit(now)
	So(refusal, ShouldEqual, Refusal(""))
	So(t.started, ShouldEqual, running)
	return t
}

func TestEngine(t *testing.T) {
	Convey("Slots run, the queue waits, the rest is shed", t, func() {
		e := engine(Behaviour{Slots: 1, Queue: 1})
		first := shouldTake(e, 0, true)
		second := shouldTake(e, 0, false)
		shouldRefuse(e, 0, RefusedOverloaded)
		e.Release(1, first)
		So(second.started, ShouldBeTrue)
	})
	Convey("A cancelled request leaves the queue", t, func() {
		e := engine(Behaviour{Slots: 1, Queue: 2})
		first := shouldTake(e, 0, true)
		second := shouldTake(e, 0, false)
		third := shouldTake(e, 0, false)
		e.Release(1, second)
		e.Release(1, first)
		So(second.started, ShouldBeFalse)
		So(third.started, ShouldBeTrue)
		So(e.ReportedLoad(1), ShouldResemble, Load{InFlight: 1})
	})
	Convey("Draining and starting refuse", t, func() {
		e := engine(Behaviour{Slots: 1, StartingMs: 100})
		shouldRefuse(e, 99, RefusedStarting)
		e.Release(101, shouldTake(e, 100, true))
		e.change(200, func(b *Behaviour) { b.Draining = true })
		shouldRefuse(e, 201, RefusedDraining)
	})
	Convey("Another change doesn't begin a span of time again", t, func() {
		e := engine(Behaviour{Slots: 1, StartingMs: 100})
		e.change(50, func(b *Behaviour) { b.WatchedLimit = 3 })
		shouldTake(e, 100, true)
		e.change(150, func(b *Behaviour) { b.WatchedLimit = 4 })
		e.change(160, func(b *Behaviour) { b.StartingMs = 100 })
		shouldRefuse(e, 259, RefusedStarting)
	})
	Convey("Reports lag and mislead on request", t, func() {
		e := engine(Behaviour{Slots: 2, LoadLagMs: 100})
		shouldTake(e, 10, true)
		shouldTake(e, 50, true)
		So(e.ReportedLoad(60).InFlight, ShouldEqual, 0)
		So(e.ReportedLoad(110).InFlight, ShouldEqual, 1)
		So(e.ReportedLoad(150).InFlight, ShouldEqual, 2)
		e.change(200, func(b *Behaviour) { b.LoadMisleads = true })
		So(e.ReportedLoad(200).InFlight, ShouldEqual, 0)
	})
	Convey("More requests than the watched limit are counted", t, func() {
		e := engine(Behaviour{Slots: 4, WatchedLimit: 2})
		for range 3 {
			shouldTake(e, 0, true)
		}
		So(e.Stats().MaxOvershoot, ShouldEqual, 1)
		So(e.Stats().MaxAdmitted, ShouldEqual, 3)
	})
	Convey("The most probes within a second are counted", t, func() {
		e := engine(Behaviour{})
		for _, at := range []clock.Millis{0, 400, 999, 1000, 2500} {
			e.CountProbe(at)
		}
		So(e.Stats().Probes, ShouldEqual, 5)
		So(e.Stats().MaxProbeBurst, ShouldEqual, 3)
	})
}
