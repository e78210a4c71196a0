package consistency

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/standin/caller"
	"siskinpath/standin/payload"
	"siskinpath/standin/upstream"
)

func TestCompare(t *testing.T) {
	once := caller.Entry{Key: "k", Final: caller.NotRun, Attempts: []caller.Attempt{{Marker: "1.0", Outcome: caller.NotRun}}}
	idempotent := caller.Entry{Final: caller.Answered, Attempts: []caller.Attempt{
		{Marker: "2.0", Outcome: caller.NotRun},
		{Marker: "2.1", Outcome: caller.Answered},
	}}
	Convey("Nothing is found where nothing is wrong", t, func() {
		runs := []upstream.Run{{Marker: "2.1", Upstream: "w", StartedUnixMs: 4000}}
		f := Compare([]caller.Entry{once, idempotent}, runs, []LeavingMark{{Upstream: "w", UnixMs: 1000}})
		So(f.None(), ShouldBeTrue)
	})
	Convey("A key that ran twice is found, a marker that ran twice isn't one", t, func() {
		f := Compare(nil, []upstream.Run{{Key: "k", Marker: "1"}, {Key: "k", Marker: "2"}, {Marker: "3"}, {Marker: "3"}}, nil)
		So(f, shouldFind, Violations{DuplicateRuns: 1})
	})
	Convey("What was refused as not run and ran is found", t, func() {
		f := Compare([]caller.Entry{once, idempotent}, []upstream.Run{{Key: "k", Marker: "9"}, {Marker: "2.0"}}, nil)
		So(f, shouldFind, Violations{NotRunButRan: 2})
	})
	Convey("Wrong, cut and changed answers are found", t, func() {
		e := caller.Entry{Attempts: []caller.Attempt{
			{Verdict: payload.WrongOrganisation}, {Verdict: payload.Truncated}, {Verdict: payload.Corrupt},
		}}
		So(Compare([]caller.Entry{e}, nil, nil), shouldFind, Violations{WrongOrganisation: 1, Truncated: 1, Corrupt: 1})
	})
	Convey("A late run at a leaving upstream is found", t, func() {
		runs := []upstream.Run{{Upstream: "w", StartedUnixMs: 4001}, {Upstream: "v", StartedUnixMs: 9000}}
		So(Compare(nil, runs, []LeavingMark{{Upstream: "w", UnixMs: 1000}}), shouldFind, Violations{LateOnLeaving: 1})
	})
}

// shouldFind compares findings but for the examples.
func shouldFind(actual any, expected ...any) string {
	f := actual.(Violations)
	f.Examples = nil
	return ShouldResemble(f, expected[0])
}
