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

// slowProbes is a placer whose probes are answered late, as on a busy processor.
type slowProbes struct {
	placer  *place.Placer
	now     clock.Millis
	delay   clock.Millis
	down    bool // probes fail when they time out
	pending []pendingProbe
	last    route.RequestID
	arrived map[route.RequestID]clock.Millis
	sent    map[route.RequestID]clock.Millis // waits until the send
	refused []place.Action
}

type pendingProbe struct {
	upstream string
	at       clock.Millis
}

func newSlowProbes(upstreams int, delay clock.Millis) *slowProbes {
	s := &slowProbes{now: clock.Hour, delay: delay, arrived: map[route.RequestID]clock.Millis{}, sent: map[route.RequestID]clock.Millis{}}
	s.placer = &place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: rand.New(rand.NewPCG(1, 1))}
	cfg := place.Config{AvailabilityZone: "a", ProbesPerSecond: 60, RepeatRatio: 0.2, RepeatBurst: 20}
	for i := range upstreams {
		cfg.Upstreams = append(cfg.Upstreams, place.Upstream{ID: fmt.Sprint("u", i), Slots: 8})
	}
	s.perform(s.placer.Configure(s.now, cfg))
	return s
}

func (s *slowProbes) perform(actions []place.Action) {
	for _, a := range actions {
		switch a.Kind {
		case route.Probe:
			s.pending = append(s.pending, pendingProbe{upstream: a.Upstream, at: s.now + s.delay})
		case route.Send:
			s.sent[a.Request] = s.now - s.arrived[a.Request]
		case route.Refuse:
			s.refused = append(s.refused, a)
		}
	}
}

func (s *slowProbes) offer() {
	s.last++
	s.arrived[s.last] = s.now
	s.perform(s.placer.Offer(s.now, place.Request{ID: s.last, Priority: 2, Arrived: s.now, Target: 400, GiveUp: s.now + 1500, MaxAttempts: 2}))
}

// pass lets time pass in steps of a millisecond.
func (s *slowProbes) pass(span clock.Millis) {
	for end := s.now + span; s.now < end; s.now++ {
		due := s.pending
		s.pending = nil
		for _, p := range due {
			if p.at > s.now {
				s.pending = append(s.pending, p)
				continue
			}
			res := route.ProbeResult{Upstream: p.upstream}
			if !s.down {
				res.OK, res.Answered, res.Load = true, true, &route.LoadReport{Slots: 8, Slowdown: 1}
			}
			s.perform(s.placer.ProbeDone(s.now, res))
		}
		if next := s.placer.NextTick(); next > 0 && next <= s.now {
			s.perform(s.placer.Tick(s.now))
		}
	}
}

// TestProbesAnsweredLate guards against refusals because no upstream has answered yet: a
// first connection or a busy processor takes longer than probeTimeout.
func TestProbesAnsweredLate(t *testing.T) {
	for _, delay := range []clock.Millis{40, 90, 200} {
		Convey(fmt.Sprintf("requests are sent when probes are answered after %d ms", delay), t, func() {
			s := newSlowProbes(3, delay)
			for range 10 {
				s.offer()
				s.pass(15)
			}
			s.pass(500)
			So(len(s.refused), ShouldEqual, 0)
			So(s.sent, ShouldHaveLength, 10)
			for _, wait := range s.sent {
				So(wait, ShouldBeLessThanOrEqualTo, 2*delay)
			}
		})
	}
	Convey("requests are refused when the probes of all upstreams have timed out", t, func() {
		s := newSlowProbes(3, 300)
		s.down = true
		s.offer()
		s.pass(30)
		s.offer()
		So(len(s.refused), ShouldEqual, 0)
		s.pass(350)
		So(s.sent, ShouldBeEmpty)
		So(s.refused, ShouldHaveLength, 2)
		So(s.refused[0].Refusal.OutOfReach, ShouldBeTrue)
	})
}
