package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// reached is a placer with upstreams of which some do not answer.
type reached struct {
	placer *place.Placer
	now    clock.Millis
	last   route.RequestID
	silent map[string]bool
	busy   bool           // upstreams that answer report no room
	open   []place.Action // attempts without an end
	ended  []place.Action // final actions
	probes int
}

func newReached(upstreams, hosts int) *reached {
	r := &reached{now: clock.Hour, silent: map[string]bool{}}
	r.placer = &place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: rand.New(rand.NewPCG(1, 1))}
	cfg := place.Config{AvailabilityZone: "a", ProbesPerSecond: 60, RepeatRatio: 0.2, RepeatBurst: 20}
	for i := range upstreams {
		cfg.Upstreams = append(cfg.Upstreams, place.Upstream{ID: fmt.Sprint("u", i), Slots: 4})
	}
	for i := range hosts {
		cfg.Hosts = append(cfg.Hosts, place.Host{ID: fmt.Sprint("h", i), AvailabilityZone: []string{"a", "b"}[i%2]})
	}
	r.perform(r.placer.Configure(r.now, cfg))
	for range 20 { // until all upstreams have reported their load
		r.offer(place.Request{})
		for _, a := range r.takeOpen() {
			r.end(a, route.Result{Status: route.Succeeded, Load: &route.LoadReport{Slots: 4, Slowdown: 1}})
		}
		r.pass(100)
	}
	r.takeEnded()
	return r
}

// silence makes the first n upstreams answer nothing, and the others everything.
func (r *reached) silence(n int) {
	clear(r.silent)
	for i := range n {
		r.silent[fmt.Sprint("u", i)] = true
	}
}

func (r *reached) perform(actions []place.Action) {
	for _, a := range actions {
		switch a.Kind {
		case route.Probe:
			r.probes++
			res := route.ProbeResult{Upstream: a.Upstream}
			if !r.silent[a.Upstream] {
				res.OK, res.Answered, res.Load = true, true, &route.LoadReport{Slots: 4, Slowdown: 1}
				if r.busy {
					res.Load.InFlight = 9
				}
			}
			r.perform(r.placer.ProbeDone(r.now, res))
		case route.Send, route.Forward:
			r.open = append(r.open, a)
		case route.Finish, route.Refuse, route.Unknown:
			r.ended = append(r.ended, a)
		}
	}
}

// offer offers a request and returns its number.
func (r *reached) offer(in place.Request) route.RequestID {
	r.last++
	in.ID, in.Arrived, in.Target, in.GiveUp = r.last, r.now, 400, r.now+1000
	in.MaxAttempts = 2
	r.perform(r.placer.Offer(r.now, in))
	return in.ID
}

// pass lets time pass.
func (r *reached) pass(span clock.Millis) {
	for end := r.now + span; r.now < end; r.now += 10 {
		if next := r.placer.NextTick(); next > 0 && next <= r.now {
			r.perform(r.placer.Tick(r.now))
		}
	}
}

// takeOpen returns the attempts that began since the last call.
func (r *reached) takeOpen() []place.Action {
	open := r.open
	r.open = nil
	return open
}

func (r *reached) takeEnded() []place.Action {
	ended := r.ended
	r.ended = nil
	return ended
}

// end ends an attempt.
func (r *reached) end(a place.Action, res route.Result) {
	res.Attempt = a.Attempt
	r.perform(r.placer.AttemptDone(r.now, res))
}

// cutOff cuts the host off, and waits until it knows.
func (r *reached) cutOff(upstreams int) {
	r.silence(upstreams)
	for range 3 {
		r.offer(place.Request{Idempotent: true})
		r.pass(300)
	}
	r.takeOpen()
	r.takeEnded()
}

func TestForward(t *testing.T) {
	shouldForward := func(r *reached) place.Action {
		open := r.takeOpen()
		So(open, ShouldHaveLength, 1)
		So(open[0].Kind, ShouldEqual, route.Forward)
		return open[0]
	}
	shouldEnd := func(r *reached, kind route.ActionKind) place.Action {
		ended := r.takeEnded()
		So(kinds(ended), ShouldResemble, []route.ActionKind{kind})
		return ended[0]
	}
	Convey("a host that reaches none of eight upstreams, and knows six other hosts", t, func() {
		r := newReached(8, 6)
		r.cutOff(8)
		r.pass(3 * clock.Second) // hosts that did not answer the preparation are no longer avoided
		r.takeEnded()
		Convey("passes a request on at once, to a host of another zone", func() {
			probes := r.probes
			r.offer(place.Request{})
			a := shouldForward(r)
			So(a.Host, ShouldBeIn, "h1", "h3", "h5")
			So(a.Forward.AttemptsLeft, ShouldEqual, 2)
			So(r.probes, ShouldEqual, probes)
			Convey("and passes on its answer", func() {
				r.end(a, route.Result{Status: route.Succeeded})
				So(shouldEnd(r, route.Finish).Attempt, ShouldEqual, a.Attempt)
			})
			Convey("and to others when hosts do not take it, and refuses it when three have not", func() {
				hosts := map[string]bool{a.Host: true}
				for range 2 {
					r.end(a, route.Result{Status: route.NotSent})
					a = shouldForward(r)
					hosts[a.Host] = true
				}
				So(hosts, ShouldHaveLength, 3)
				r.end(a, route.Result{Status: route.NotSent})
				r.pass(300)
				shouldEnd(r, route.Refuse)
			})
			Convey("and refuses it as the other host does, with the time to come back", func() {
				r.end(a, route.Result{Status: route.Refused, Reason: route.ReasonQuarantined, Notice: route.Notice{RetryAfter: clock.Minute}})
				end := shouldEnd(r, route.Refuse)
				So(end.Reason, ShouldEqual, route.ReasonQuarantined)
				So(end.RetryAfter, ShouldBeGreaterThanOrEqualTo, clock.Minute)
			})
			Convey("and does not send it again if it may have run", func() {
				r.end(a, route.Result{Status: route.ConnectionLost})
				shouldEnd(r, route.Unknown)
			})
			Convey("and ends it unknown at its time", func() {
				r.pass(1100)
				So(shouldEnd(r, route.Unknown).Reason, ShouldEqual, route.ReasonTimeout)
			})
		})
		Convey("passes an idempotent request that was lost on again, as often as it may be sent", func() {
			r.offer(place.Request{Idempotent: true})
			a := shouldForward(r)
			Convey("not at all when the first host may have sent it twice", func() {
				r.end(a, route.Result{Status: route.ConnectionLost})
				shouldEnd(r, route.Unknown)
			})
		})
		Convey("does not pass on what another host has passed to it, and says that others may serve it", func() {
			probes := r.probes
			r.offer(place.Request{Forwarded: true})
			So(r.probes, ShouldEqual, probes)
			So(r.takeOpen(), ShouldBeEmpty)
			So(shouldEnd(r, route.Refuse).Refusal.OutOfReach, ShouldBeTrue)
		})
		Convey("does not pass on what is withheld, nor send it when upstreams answer again", func() {
			id := r.offer(place.Request{Idempotent: true})
			a := shouldForward(r)
			r.perform(r.placer.Withhold(r.now, id, clock.Minute))
			r.silence(0)
			r.pass(500)
			r.end(a, route.Result{Status: route.NotSent})
			r.pass(300)
			So(r.takeOpen(), ShouldBeEmpty)
			shouldEnd(r, route.Refuse)
		})
		Convey("sends requests itself soon after upstreams answer again, though none came meanwhile", func() {
			r.silence(0)
			r.pass(clock.Second)
			r.offer(place.Request{})
			So(kinds(r.takeOpen()), ShouldResemble, []route.ActionKind{route.Send})
		})
	})
	Convey("a host that knows no other one refuses as before", t, func() {
		r := newReached(8, 0)
		r.cutOff(8)
		r.offer(place.Request{})
		r.pass(300)
		So(r.takeOpen(), ShouldBeEmpty)
		shouldEnd(r, route.Refuse)
	})
	Convey("a host that reaches one of eight upstreams, which has no room, passes a request on at the end of its wait", t, func() {
		r := newReached(8, 6)
		r.cutOff(7)
		r.busy = true
		r.pass(1500)
		r.takeEnded()
		r.offer(place.Request{})
		r.pass(300)
		shouldForward(r)
	})
	Convey("a host that reaches five of eight upstreams, which have no room, refuses", t, func() {
		r := newReached(8, 6)
		r.cutOff(3)
		r.busy = true
		r.pass(1500)
		r.takeEnded()
		r.offer(place.Request{})
		r.pass(300)
		So(r.takeOpen(), ShouldBeEmpty)
		shouldEnd(r, route.Refuse)
	})
}

// TestSoundHostAvoided guards against a host that is cut off and refuses all requests for a
// time, as the only host that serves them was late once.
func TestSoundHostAvoided(t *testing.T) {
	shouldBePassedOn := func(r *reached) route.Action {
		r.offer(place.Request{Idempotent: true})
		open := r.takeOpen()
		So(open, ShouldHaveLength, 1)
		So(open[0].Kind, ShouldEqual, route.Forward)
		return open[0].Action
	}
	Convey("a host that reaches no upstream, and knows one other host", t, func() {
		r := newReached(8, 1)
		r.cutOff(8)
		r.pass(2 * clock.Second)
		r.takeEnded()
		Convey("passes requests on after one that had little time left ended without an answer", func() {
			r.perform(r.placer.Offer(r.now, place.Request{ID: 999, Arrived: r.now - 900, Target: 400, GiveUp: r.now + 50, MaxAttempts: 2, Idempotent: true}))
			So(r.takeOpen(), ShouldHaveLength, 1)
			r.pass(100)
			So(r.takeEnded(), ShouldHaveLength, 1)
			r.takeOpen()
			shouldBePassedOn(r)
		})
		Convey("tries the host again soon after it did not take a request, and goes on once it does", func() {
			r.end(place.Action{Action: shouldBePassedOn(r)}, route.Result{Status: route.NotSent})
			r.takeEnded()
			r.offer(place.Request{Idempotent: true})
			So(r.takeOpen(), ShouldBeEmpty)
			r.pass(110)
			trial := shouldBePassedOn(r)
			r.offer(place.Request{Idempotent: true})
			So(r.takeOpen(), ShouldBeEmpty)
			r.end(place.Action{Action: trial}, route.Result{Status: route.Succeeded})
			shouldBePassedOn(r)
			shouldBePassedOn(r)
		})
	})
}
