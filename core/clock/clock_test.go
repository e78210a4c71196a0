package clock

import (
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
)

func TestManual(t *testing.T) {
	convey.Convey("a manual clock moves only by Advance", t, func() {
		var c Manual
		convey.So(c.Now(), convey.ShouldEqual, Millis(0))
		convey.So(c.Advance(5*Second), convey.ShouldEqual, Millis(5000))
		convey.So(c.Now().Duration(), convey.ShouldEqual, 5*time.Second)
	})
}
