package entry

import (
	"context"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
	"siskinpath/core/place"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
)

func TestMaySend(t *testing.T) {
	Convey("a request is not sent once its deadline has passed or it was cancelled", t, func() {
		now := &clock.Manual{}
		d := &Dispatcher{Clock: now, placer: &place.Placer{}}
		ctx, cancel := context.WithCancel(context.Background())
		c := &call.Call{Deadline: 100}
		So(d.maySend(ctx, &pendingRequest{call: c}, place.Action{}), ShouldBeTrue)
		Convey("as after a pause of the process", func() {
			now.Advance(5 * clock.Second)
			So(d.maySend(ctx, &pendingRequest{call: c}, place.Action{}), ShouldBeFalse)
		})
		Convey("as when its caller has gone", func() {
			cancel()
			So(d.maySend(ctx, &pendingRequest{call: c}, place.Action{}), ShouldBeFalse)
		})
		Convey("as when this host may stop before it is answered", func() {
			p := &pendingRequest{call: c, in: place.Request{GiveUp: 100}}
			d.setStop(place.Stop{At: 100, LongUntil: 50})
			So(d.maySend(ctx, p, place.Action{}), ShouldBeTrue)
			d.setStop(place.Stop{At: 99, LongUntil: 50})
			So(d.maySend(ctx, p, place.Action{}), ShouldBeFalse)
		})
		cancel()
	})
}

// TestMaySendLate guards against requests that reach a cold upstream together although they
// were decided one after another, as when its connections open late.
func TestMaySendLate(t *testing.T) {
	Convey("a request to an upstream that is limited while it is cold", t, func() {
		now := &clock.Manual{}
		p := &place.Placer{Service: "s", Tuning: place.DefaultTuning(), Rand: newRand()}
		d := &Dispatcher{Clock: now, placer: p}
		p.Configure(now.Now(), place.Config{ProbesPerSecond: 10, Upstreams: []place.Upstream{{ID: "u", Slots: 4, ColdLimited: true}}})
		p.Offer(now.Now(), place.Request{ID: 1, Route: "r", Target: 400, GiveUp: 1000, MaxAttempts: 1})
		sent := p.ProbeDone(now.Now(), route.ProbeResult{Upstream: "u", OK: true, Load: &route.LoadReport{Slots: 4, Slowdown: 1}})
		So(sent, ShouldHaveLength, 1)
		c := &call.Call{Deadline: 1000}
		So(d.maySend(context.Background(), &pendingRequest{call: c}, sent[0]), ShouldBeTrue)
		Convey("is not sent late without another check", func() {
			now.Advance(100)
			So(d.maySend(context.Background(), &pendingRequest{call: c}, sent[0]), ShouldBeFalse)
		})
	})
}
