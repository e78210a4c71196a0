package metric

import (
	"bytes"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestSlope(t *testing.T) {
	Convey("A line is found again", t, func() {
		slope, intercept := LinearFit([]Point{{1, 5}, {2, 7}, {4, 11}})
		So(slope, ShouldAlmostEqual, 2)
		So(intercept, ShouldAlmostEqual, 3)
	})
	Convey("One x has no slope", t, func() {
		slope, intercept := LinearFit([]Point{{1, 5}, {1, 7}})
		So(slope, ShouldEqual, 0)
		So(intercept, ShouldEqual, 6)
	})
}

func TestWrite(t *testing.T) {
	Convey("One line per figure, spans in milliseconds", t, func() {
		var h Histogram
		for n := range int64(100) {
			h.Record((n + 1) * 1000)
		}
		var b bytes.Buffer
		Write(&b, append(h.Metrics("latency_ms"), Metric{"requests", 100}))
		So(b.String(), ShouldEqual, "latency_ms_p50 50.015\nlatency_ms_p99 99.007\nlatency_ms_p99_9 100.031\nrequests 100\n")
	})
}
