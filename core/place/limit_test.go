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

// limitedFleet is a number of hosts in virtual time, each with a placer, that share
// upstreams which answer at once. Upstream "a" names a limit.
type limitedFleet struct {
	hosts   []*place.Placer
	limit   float64
	now     clock.Millis
	last    route.RequestID
	toldAt  map[*place.Placer]clock.Millis // first answer that named the limit
	sentAt  []clock.Millis                 // requests to "a" from hosts told half a second before
	refused int
	after   clock.Millis // Retry-After of the last refusal
}

func newLimitedFleet(hosts int, upstreams []string, limit float64, seed uint64) *limitedFleet {
	f := &limitedFleet{limit: limit, now: 1000, toldAt: map[*place.Placer]clock.Millis{}}
	var list []place.Upstream
	for _, id := range upstreams {
		list = append(list, place.Upstream{ID: id, Started: 1, Slots: 1000})
	}
	for i := range hosts {
		p := &place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		f.perform(p, p.Configure(f.now, place.Config{Upstreams: list, ProbesPerSecond: 60, RepeatRatio: 0.2, RepeatBurst: 20, LimitShare: 1 / float64(hosts)}))
		f.hosts = append(f.hosts, p)
	}
	return f
}

func (f *limitedFleet) perform(p *place.Placer, actions []place.Action) {
	for _, a := range actions {
		load := &route.LoadReport{Slots: 1000, Slowdown: 1}
		switch a.Kind {
		case route.Probe:
			f.perform(p, p.ProbeDone(f.now, route.ProbeResult{Upstream: a.Upstream, OK: true, Load: load}))
		case route.Send:
			res := route.Result{Attempt: a.Attempt, Status: route.Succeeded, Load: load}
			if a.Upstream == "a" {
				if at, told := f.toldAt[p]; told && f.now >= at+500 {
					f.sentAt = append(f.sentAt, f.now)
				}
				if res.Notice.PerSecond = f.limit; f.limit > 0 && f.toldAt[p] == 0 {
					f.toldAt[p] = f.now
				}
			}
			f.perform(p, p.AttemptDone(f.now, res))
		case route.Refuse:
			f.refused++
			f.after = a.RetryAfter
		}
	}
}

// run sends a request through each host at each interval.
func (f *limitedFleet) run(span, interval clock.Millis) {
	for end := f.now + span; f.now < end; f.now += interval {
		for _, p := range f.hosts {
			f.last++
			f.perform(p, p.Offer(f.now, place.Request{
				ID: f.last, Route: "r", Priority: 2, Arrived: f.now, Target: 400, GiveUp: f.now + 1200, MaxAttempts: 1,
			}))
			f.perform(p, p.Tick(f.now))
		}
	}
}

// most returns the largest number of counted requests within 4 s.
func (f *limitedFleet) most() (most int) {
	for i, first := range f.sentAt {
		n := 0
		for _, at := range f.sentAt[i:] {
			if at <= first+4*clock.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

func TestLimit(t *testing.T) {
	for _, hosts := range []int{1, 3, 20, 200} {
		for _, limit := range []float64{0.4, 1, 1.9, 12, 80} {
			for seed := range uint64(3) {
				Convey(fmt.Sprintf("%d hosts, a limit of %v a second, seed %d", hosts, limit, seed), t, func() {
					f := newLimitedFleet(hosts, []string{"a", "b", "c"}, limit, seed)
					for range 4 { // a busy fleet, and one that was idle for a while
						f.run(20*clock.Second, 100*clock.Millisecond)
						f.now += 30 * clock.Second
					}
					allowed := 1.5*limit*4 + 5
					So(float64(f.most()), ShouldBeLessThanOrEqualTo, allowed)
					So(f.refused, ShouldEqual, 0)
				})
			}
		}
	}
	Convey("most of the limit is used", t, func() {
		f := newLimitedFleet(20, []string{"a", "b"}, 4, 1)
		f.run(30*clock.Second, 50*clock.Millisecond)
		f.sentAt = nil
		f.run(60*clock.Second, 50*clock.Millisecond)
		So(len(f.sentAt), ShouldBeBetween, 0.5*4*60, 1.0*4*60)
	})
	Convey("an upstream that names no limit any more has its share again once each host has heard so", t, func() {
		f := newLimitedFleet(4, []string{"a", "b"}, 2, 1)
		f.run(10*clock.Second, 100*clock.Millisecond)
		f.limit = 0
		f.run(10*clock.Second, 100*clock.Millisecond)
		f.sentAt = nil
		f.run(10*clock.Second, 100*clock.Millisecond)
		So(len(f.sentAt), ShouldBeGreaterThan, 100)
	})
	Convey("a limit that rises or falls holds at once", t, func() {
		f := newLimitedFleet(5, []string{"a", "b"}, 0.2, 1)
		f.run(60*clock.Second, 100*clock.Millisecond)
		f.limit = 40
		f.run(60*clock.Second, 100*clock.Millisecond)
		f.sentAt = nil
		f.run(20*clock.Second, 100*clock.Millisecond)
		So(len(f.sentAt), ShouldBeGreaterThan, 200)
	})
	Convey("with no other upstream, requests are refused at once with the time of the next turn", t, func() {
		f := newLimitedFleet(1, []string{"a"}, 0.1, 1)
		f.run(300*clock.Millisecond, 100*clock.Millisecond)
		So(f.refused, ShouldBeGreaterThan, 0)
		So(f.after, ShouldBeBetween, 0, 20*clock.Second)
	})
}

func TestLimitNotice(t *testing.T) {
	Convey("an upstream that has named a limit", t, func() {
		n := newNoticed()
		n.notice["a"] = route.Notice{PerSecond: 1}
		n.requests(2 * clock.Second)
		before := n.sends["a"]
		Convey("keeps it when replies to probes name none, and its row changes", func() {
			n.configure(place.Upstream{ID: "a", Started: 1, Slots: 8}, place.Upstream{ID: "b", Started: 1, Slots: 4})
			n.requests(4 * clock.Second)
			So(n.sends["a"]-before, ShouldBeLessThanOrEqualTo, 11)
		})
		Convey("loses it with its next start", func() {
			n.notice["a"] = route.Notice{}
			n.configure(place.Upstream{ID: "a", Started: 2, Slots: 4}, place.Upstream{ID: "b", Started: 1, Slots: 4})
			n.requests(4 * clock.Second)
			So(n.sends["a"]-before, ShouldBeGreaterThan, 30)
		})
		Convey("that it also names in replies to probes loses it when these name none", func() {
			n.probeNotice["a"] = route.Notice{PerSecond: 1}
			n.requests(2 * clock.Second)
			n.notice["a"], n.probeNotice["a"] = route.Notice{}, route.Notice{}
			n.requests(6 * clock.Second)
			So(n.sends["a"]-before, ShouldBeGreaterThan, 30)
		})
	})
}
