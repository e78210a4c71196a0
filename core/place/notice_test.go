package place_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
)

// noticed is a placer with two upstreams, and the number of sends and probes that each
// has got.
type noticed struct {
	placer      *place.Placer
	now         clock.Millis
	last        route.RequestID
	sends       map[string]int
	probes      map[string]int
	notice      map[string]route.Notice // of each upstream in its replies to requests
	probeNotice map[string]route.Notice // and to probes
	refuse      map[string]bool         // upstreams that refuse requests
	ended       place.Action            // final action of the last request
}

func newNoticed() *noticed {
	n := &noticed{now: 1000, sends: map[string]int{}, probes: map[string]int{}, notice: map[string]route.Notice{}, probeNotice: map[string]route.Notice{}, refuse: map[string]bool{}}
	n.placer = &place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: rand.New(rand.NewPCG(1, 1))}
	n.configure(place.Upstream{ID: "a", Started: 1, Slots: 4}, place.Upstream{ID: "b", Started: 1, Slots: 4})
	return n
}

func (n *noticed) configure(list ...place.Upstream) {
	n.perform(n.placer.Configure(n.now, place.Config{Upstreams: list, ProbesPerSecond: 60, RepeatRatio: 0.2, RepeatBurst: 20}))
}

// perform carries out actions; each upstream answers at once.
func (n *noticed) perform(actions []place.Action) {
	for _, a := range actions {
		load := &route.LoadReport{Slots: 4, Slowdown: 1}
		switch a.Kind {
		case route.Probe:
			n.probes[a.Upstream]++
			n.perform(n.placer.ProbeDone(n.now, route.ProbeResult{Upstream: a.Upstream, OK: true, Load: load, Notice: n.probeNotice[a.Upstream]}))
		case route.Send:
			n.sends[a.Upstream]++
			res := route.Result{Attempt: a.Attempt, Status: route.Succeeded, Load: load, Notice: n.notice[a.Upstream]}
			if n.refuse[a.Upstream] {
				res.Status = route.Refused
			}
			n.perform(n.placer.AttemptDone(n.now, res))
		case route.Finish, route.Refuse, route.Unknown:
			n.ended = a
		}
	}
}

// request offers one request and plays its timers until it ends.
func (n *noticed) request() {
	n.last++
	n.perform(n.placer.Offer(n.now, place.Request{ID: n.last, CallerID: "c", Arrived: n.now, Target: 400, GiveUp: n.now + 1200, MaxAttempts: 2, Idempotent: true}))
	for n.ended.Request != n.last {
		n.now = max(n.now, n.placer.NextTick())
		n.perform(n.placer.Tick(n.now))
	}
}

// requests sends requests for a time, one in 10 ms.
func (n *noticed) requests(span clock.Millis) {
	for end := n.now + span; n.now < end; n.now += 10 {
		n.request()
	}
}

func TestNotices(t *testing.T) {
	Convey("two upstreams that share the requests", t, func() {
		n := newNoticed()
		n.requests(500)
		So(n.sends["a"], ShouldBeGreaterThan, 0)
		So(n.sends["b"], ShouldBeGreaterThan, 0)
		Convey("when one says that it is leaving", func() {
			n.notice["a"] = route.Notice{Leaving: true}
			n.requests(200)
			sends, probes := n.sends["a"], n.probes["a"]
			n.notice["a"] = route.Notice{}
			shouldRest := func() {
				n.requests(20 * clock.Second)
				So(n.sends["a"], ShouldEqual, sends)
				So(n.probes["a"], ShouldEqual, probes)
			}
			Convey("it gets nothing more", shouldRest)
			Convey("it gets nothing more when it is listed again after a time", func() {
				n.configure(place.Upstream{ID: "b", Started: 1, Slots: 4})
				n.requests(5 * clock.Second)
				n.configure(place.Upstream{ID: "a", Started: 1, Slots: 8}, place.Upstream{ID: "b", Started: 1, Slots: 4})
				shouldRest()
			})
			Convey("a later start under its ID is used", func() {
				n.configure(place.Upstream{ID: "a", Started: 2, Slots: 4}, place.Upstream{ID: "b", Started: 1, Slots: 4})
				n.requests(500)
				So(n.sends["a"], ShouldBeGreaterThan, sends)
			})
			Convey("the change names the request", func() {
				So(n.placer.StateChanges(), ShouldContain, place.StateChange{Upstream: "a", State: "leaving", CallerID: "c"})
			})
		})
		Convey("when one says so to a probe, it gets no request", func() {
			n.probeNotice["a"] = route.Notice{Leaving: true}
			probes, sends := n.probes["a"], n.sends["a"]
			for n.probes["a"] == probes {
				sends = n.sends["a"]
				n.request()
			}
			n.requests(5 * clock.Second)
			So(n.sends["a"], ShouldEqual, sends)
			So(n.probes["a"], ShouldEqual, probes+1)
		})
		Convey("when one refuses a request with a time to wait", func() {
			n.refuse["a"], n.notice["a"] = true, route.Notice{RetryAfter: 3 * clock.Second}
			for n.sends["a"]+n.probes["a"] > 0 && n.ended.Upstream == "" && n.placer.StateChanges() == nil {
				n.request()
			}
			refusedAt := n.now
			n.refuse["a"], n.notice["a"] = false, route.Notice{}
			sends, probes := n.sends["a"], n.probes["a"]
			n.requests(refusedAt + 3*clock.Second - 10 - n.now)
			Convey("it gets nothing until then", func() {
				So(n.sends["a"], ShouldEqual, sends)
				So(n.probes["a"], ShouldEqual, probes)
			})
			Convey("it gets nothing until then if its row names another start soon after it was refused, as the row may have lagged", func() {
				n.now = refusedAt + 500
				n.configure(place.Upstream{ID: "a", Started: 2, Slots: 4}, place.Upstream{ID: "b", Started: 1, Slots: 4})
				n.requests(refusedAt + 3*clock.Second - 10 - n.now)
				So(n.sends["a"], ShouldEqual, sends)
				Convey("and its share after that", func() {
					n.now = refusedAt + 3*clock.Second
					n.requests(clock.Second)
					So(n.sends["a"], ShouldBeGreaterThan, sends)
				})
			})
			Convey("it gets its share again soon after", func() {
				n.now = refusedAt + 3*clock.Second
				before := n.sends["b"]
				n.requests(clock.Second)
				So(n.sends["a"]-sends, ShouldBeGreaterThan, (n.sends["b"]-before)/3)
			})
		})
		Convey("when one refuses a request with a long time to wait, a start that its row names later is used at once", func() {
			n.refuse["a"], n.notice["a"] = true, route.Notice{RetryAfter: clock.Minute}
			for n.placer.StateChanges() == nil {
				n.request()
			}
			n.refuse["a"], n.notice["a"] = false, route.Notice{}
			n.requests(4 * clock.Second)
			sends := n.sends["a"]
			n.configure(place.Upstream{ID: "a", Started: 2, Slots: 4}, place.Upstream{ID: "b", Started: 1, Slots: 4})
			n.requests(clock.Second)
			So(n.sends["a"], ShouldBeGreaterThan, sends)
		})
		Convey("when all refuse with a time to wait, requests are refused at once until the first of them", func() {
			for id, wait := range map[string]clock.Millis{"a": 2 * clock.Second, "b": 5 * clock.Second} {
				n.refuse[id], n.notice[id] = true, route.Notice{RetryAfter: wait}
			}
			n.request()
			n.request()
			from := n.now
			n.request()
			So(n.now, ShouldEqual, from)
			So(n.ended.Kind, ShouldEqual, route.Refuse)
			So(n.ended.RetryAfter, ShouldBeBetween, 1500*clock.Millisecond, 4*clock.Second)
		})
	})
}
