package metric

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLinearFit(t *testing.T) {
	Convey("Points on a line give its slope and intercept", t, func() {
		slope, intercept := LinearFit([]Point{{1, 5}, {2, 7}, {4, 11}})
		So(slope, ShouldAlmostEqual, 2)
		So(intercept, ShouldAlmostEqual, 3)
	})
	Convey("Points with the same X give a slope of 0 and the mean of Y", t, func() {
		slope, intercept := LinearFit([]Point{{1, 5}, {1, 7}})
		So(slope, ShouldEqual, 0)
		So(intercept, ShouldEqual, 6)
	})
}

func TestWrite(t *testing.T) {
	Convey("Write prints one line per metric, with durations in milliseconds", t, func() {
		var h Histogram
		for n := range int64(100) {
			h.Record((n + 1) * 1000)
		}
		var b bytes.Buffer
		Write(&b, append(h.Metrics("latency_ms"), Metric{"requests", 100}))
		So(b.String(), ShouldEqual, "latency_ms_p50 50.015\nlatency_ms_p99 99.007\nlatency_ms_p99_9 100.031\nrequests 100\n")
	})
}
