package faultinjection

import (
	"io"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/standin/caller"
	"siskinpath/standin/launch"
)

func TestVersionWatcher(t *testing.T) {
	Convey("Only a version below the highest one of its host is counted", t, func() {
		w := versionWatcher{highest: map[string]uint64{}}
		for _, v := range []uint64{3, 3, 5, 4, 5} {
			w.observe("a", v)
		}
		w.observe("b", 1)
		So(w.stop(), ShouldEqual, 1)
	})
}

func entry(sentMs int64, final caller.Outcome, unprefixed bool) caller.RequestRecord {
	return caller.RequestRecord{Final: final, Unprefixed: unprefixed, Attempts: []caller.Attempt{{SentMs: sentMs}}}
}

func TestAnsweredShare(t *testing.T) {
	Convey("Only requests first sent within the time span count", t, func() {
		var trial Trial
		trial.load.RequestLog.Add(entry(999, caller.NotRun, false))
		trial.load.RequestLog.Add(entry(1000, caller.Answered, false))
		trial.load.RequestLog.Add(entry(1500, caller.Unknown, false))
		trial.load.RequestLog.Add(entry(1600, caller.NotRun, true))
		trial.load.RequestLog.Add(entry(2000, caller.NotRun, false))
		from, to := time.UnixMilli(1000), time.UnixMilli(2000)
		So(trial.answeredShare(from, to, true), ShouldEqual, 0.5)
		So(trial.answeredShare(from, to, false), ShouldAlmostEqual, 1.0/3)
	})
}

func TestCutRequests(t *testing.T) {
	Convey("Only attempts count that the host left without a reply after the given time and the caller did not give up", t, func() {
		trial := Trial{Log: io.Discard}
		h := &launch.EntryHost{CallerAddress: "h"}
		attempt := func(address string, o caller.Outcome, ended int64, failedOver bool) {
			a := caller.Attempt{Address: address, Outcome: o, EndedMs: ended, FailedOver: failedOver}
			trial.load.RequestLog.Add(caller.RequestRecord{Attempts: []caller.Attempt{a}})
		}
		attempt("h", caller.NoReply, 999, false)
		attempt("h", caller.NoReply, 1000, false)
		attempt("h", caller.NotSent, 1000, false)
		attempt("g", caller.NoReply, 1000, false)
		attempt("h", caller.NoReply, 1000, true)
		So(trial.cutRequests(h, time.UnixMilli(1000)), ShouldEqual, 1)
	})
}
