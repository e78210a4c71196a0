package route

import (
	"math/rand/v2"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

func testShard(seed uint64) *Shard {
	return &Shard{Rand: rand.New(rand.NewPCG(seed, 1))}
}

func testUpstreams(n, share int) []Upstream {
	var list []Upstream
	for i := range n {
		list = append(list, Upstream{
			Name:             string(rune('a' + i)),
			AvailabilityZone: "near",
			Weight:           100,
			Share:            share,
			ProbeAllowed:     true,
		})
	}
	return list
}

func testConfig(n, share int, owners ...string) Config {
	return Config{
		Self:             "self",
		AvailabilityZone: "near",
		Upstreams:        testUpstreams(n, share),
		Owners:           owners,
		HedgePercent:     10,
	}
}

// filterKind returns the actions of one kind.
func filterKind(actions []Action, kind ActionKind) []Action {
	var found []Action
	for _, a := range actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	return found
}

// shouldHaveOne asserts that actions holds exactly one action of a kind and returns
// it.
func shouldHaveOne(actions []Action, kind ActionKind) Action {
	found := filterKind(actions, kind)
	convey.So(found, convey.ShouldHaveLength, 1)
	return found[0]
}

func idempotentRequest(id RequestID, deadline clock.Millis) Request {
	return Request{ID: id, Deadline: deadline, Idempotent: true}
}

func TestRequestLifecycle(t *testing.T) {
	convey.Convey("a request is sent and finished by the answer of its attempt", t, func() {
		s := testShard(1)
		s.Configure(1000, testConfig(2, 4))
		sent := shouldHaveOne(s.Submit(1000, idempotentRequest(1, 2000)), Send)
		done := shouldHaveOne(s.AttemptEnded(1020, Result{Attempt: sent.Attempt}), Finish)
		convey.So(done.Request, convey.ShouldEqual, RequestID(1))
		convey.So(done.Attempt, convey.ShouldEqual, sent.Attempt)
		convey.So(s.State().Requests, convey.ShouldEqual, 0)
	})
	convey.Convey("a request waits until a slot is free", t, func() {
		s := testShard(1)
		s.Configure(1000, testConfig(1, 1))
		first := shouldHaveOne(s.Submit(1000, idempotentRequest(1, 2000)), Send)
		convey.So(s.Submit(1001, idempotentRequest(2, 2000)), convey.ShouldBeEmpty)
		actions := s.AttemptEnded(1020, Result{Attempt: first.Attempt})
		convey.So(shouldHaveOne(actions, Send).Request, convey.ShouldEqual, RequestID(2))
	})
	convey.Convey("a host without upstreams forwards a request to an owner", t, func() {
		s := testShard(1)
		s.Configure(1000, Config{Self: "self", Owners: []string{"h1", "h2"}})
		sent := shouldHaveOne(s.Submit(1000, idempotentRequest(1, 2000)), Forward)
		convey.So(sent.Host, convey.ShouldBeIn, "h1", "h2")
	})
	convey.Convey("without upstreams and owners a request is refused at once", t, func() {
		s := testShard(1)
		s.Configure(1000, Config{Self: "self"})
		refused := shouldHaveOne(s.Submit(1000, idempotentRequest(1, 2000)), Refuse)
		convey.So(refused.Reason, convey.ShouldEqual, ReasonNoUpstream)
		convey.So(refused.RetryAfter, convey.ShouldBeGreaterThan, clock.Millis(0))
	})
}
