package revision

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestRevision(t *testing.T) {
	Convey("a revision", t, func() {
		old := Revision{Era: 1, Version: 900}
		Convey("is older than one of a later era, whatever its version", func() {
			So(old.Before(Revision{Era: 2, Version: 5}), ShouldBeTrue)
			So(Revision{Era: 2, Version: 5}.Before(old), ShouldBeFalse)
		})
		Convey("is ordered by version within its era", func() {
			So(old.Before(Revision{Era: 1, Version: 901}), ShouldBeTrue)
			So(old.Compare(old), ShouldEqual, 0)
			So(old.Before(old), ShouldBeFalse)
		})
		Convey("is written with its era", func() { So(old.String(), ShouldEqual, "1/900") })
	})
}
