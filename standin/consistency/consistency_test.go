package consistency

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/standin/caller"
	"siskinpath/standin/payload"
	"siskinpath/standin/upstream"
)

func TestCompare(t *testing.T) {
	once := caller.RequestRecord{Key: "k", Final: caller.NotRun, Attempts: []caller.Attempt{{Marker: "1.0", Outcome: caller.NotRun}}}
	idempotent := caller.RequestRecord{Final: caller.Answered, Attempts: []caller.Attempt{
		{Marker: "2.0", Outcome: caller.NotRun},
		{Marker: "2.1", Outcome: caller.Answered},
	}}
	Convey("Consistent results have no violations, also a run on a leaving upstream within the grace period", t, func() {
		runs := []upstream.Run{{Marker: "2.1", Upstream: "w", StartedUnixMs: 4000}}
		f := Compare([]caller.RequestRecord{once, idempotent}, runs, []LeavingMark{{Upstream: "w", UnixMs: 1000}})
		So(f.None(), ShouldBeTrue)
	})
	Convey("A key that ran twice is a violation, a marker without a key that ran twice is not", t, func() {
		f := Compare(nil, []upstream.Run{{Key: "k", Marker: "1"}, {Key: "k", Marker: "2"}, {Marker: "3"}, {Marker: "3"}}, nil)
		So(f, shouldEqualIgnoringExamples, Violations{DuplicateRuns: 1})
	})
	Convey("A request that ran although it was refused as not run is a violation", t, func() {
		f := Compare([]caller.RequestRecord{once, idempotent}, []upstream.Run{{Key: "k", Marker: "9"}, {Marker: "2.0"}}, nil)
		So(f, shouldEqualIgnoringExamples, Violations{NotRunButRan: 2})
	})
	Convey("Answers to another request, truncated and corrupt answers are violations", t, func() {
		e := caller.RequestRecord{Attempts: []caller.Attempt{
			{Verdict: payload.WrongOrganisation}, {Verdict: payload.Truncated}, {Verdict: payload.Corrupt},
		}}
		So(Compare([]caller.RequestRecord{e}, nil, nil), shouldEqualIgnoringExamples, Violations{WrongOrganisation: 1, Truncated: 1, Corrupt: 1})
	})
	Convey("A run on a leaving upstream after the grace period is a violation", t, func() {
		runs := []upstream.Run{{Upstream: "w", StartedUnixMs: 4001}, {Upstream: "v", StartedUnixMs: 9000}}
		So(Compare(nil, runs, []LeavingMark{{Upstream: "w", UnixMs: 1000}}), shouldEqualIgnoringExamples, Violations{LateOnLeaving: 1})
	})
}

// shouldEqualIgnoringExamples compares violations without their examples.
func shouldEqualIgnoringExamples(actual any, expected ...any) string {
	f := actual.(Violations)
	f.Examples = nil
	return ShouldResemble(f, expected[0])
}
