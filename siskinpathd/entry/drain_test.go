package entry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

// TestLongRequestsSentLateInLongGrace guards against requests that are sent so late after the stop
// signal that nobody excuses their end, because the grace period is long.
func TestLongRequestsSentLateInLongGrace(t *testing.T) {
	Convey("requests that may outlast the host are sent", t, func() {
		longUntil := func(s Shutdown) clock.Millis { return stopAfter(clock.Hour, s).LongUntil - clock.Hour }
		Convey("for less than three seconds, however long the grace is", func() {
			for _, grace := range []clock.Millis{6000, 10000, 60000} {
				So(longUntil(Shutdown{GraceMs: grace}), ShouldBeBetween, 2500, 3000)
			}
		})
		Convey("for less than the setting says", func() {
			So(longUntil(Shutdown{GraceMs: 10000, LongRequestsMs: 1000}), ShouldBeBetween, 500, 1000)
		})
		Convey("for half of a short grace at most", func() {
			So(longUntil(Shutdown{GraceMs: 2000}), ShouldEqual, 1000)
		})
	})
}
