package route

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

// shouldHaveKinds asserts the kinds of the returned actions, without SendDigest.
func shouldHaveKinds(actions []Action, want ...ActionKind) {
	var got []ActionKind
	for _, a := range actions {
		if a.Kind != SendDigest {
			got = append(got, a.Kind)
		}
	}
	So(got, ShouldResemble, want)
}

func TestForwardOutcomeUnknown(t *testing.T) {
	start := func(req Request) (s *Shard, first string) {
		s = &Shard{Rand: rand.New(rand.NewPCG(1, 2))}
		s.Configure(1000, Config{Self: "gh-1", Owners: []string{"gh-2", "gh-3"}})
		req.ID, req.Deadline = 1, 3000
		actions := s.Submit(1000, req)
		shouldHaveKinds(actions, Forward)
		return s, actions[0].Host
	}
	lost := func(s *Shard, host string) []Action {
		return s.ForwardEnded(1100, ForwardResult{Request: 1, Host: host, OutcomeUnknown: true})
	}
	Convey("an idempotent request that may have run elsewhere is forwarded to another owner, and ends unknown when there is none", t, func() {
		s, first := start(Request{Idempotent: true})
		actions := lost(s, first)
		shouldHaveKinds(actions, Forward)
		So(actions[0].Host, ShouldNotEqual, first)
		shouldHaveKinds(lost(s, actions[0].Host), Unknown)
	})
	Convey("a non-idempotent request is not sent again", t, func() {
		s, first := start(Request{})
		shouldHaveKinds(lost(s, first), Unknown)
	})
	Convey("a request that is nested below another call is not sent again", t, func() {
		s, first := start(Request{Idempotent: true, Depth: 1})
		shouldHaveKinds(lost(s, first), Unknown)
	})
}
