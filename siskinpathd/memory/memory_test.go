package memory

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestPart(t *testing.T) {
	Convey("two parts of a budget of 100 bytes", t, func() {
		b := &Budget{Total: 100}
		first, second := &Part{Limit: 80, Budget: b}, &Part{Limit: 80, Budget: b}
		So(first.Take(70), ShouldBeTrue)
		Convey("have limits of their own", func() {
			So(first.Take(11), ShouldBeFalse)
			So(first.Take(10), ShouldBeTrue)
		})
		Convey("share the budget", func() {
			So(second.Take(31), ShouldBeFalse)
			So(second.Take(30), ShouldBeTrue)
		})
		Convey("can be kept below less than the limit", func() {
			So(first.TakeBelow(1, 70), ShouldBeFalse)
			So(first.TakeBelow(1, 71), ShouldBeTrue)
			So(first.TakeBelow(10, 200), ShouldBeFalse)
		})
		Convey("take nothing where they refuse", func() {
			So(second.Take(31), ShouldBeFalse)
			So(first.Take(11), ShouldBeFalse)
			So(second.InUse(), ShouldEqual, 0)
			So(b.InUse(), ShouldEqual, 70)
		})
		Convey("can take again what was released", func() {
			first.Release(70)
			So(b.InUse(), ShouldEqual, 0)
			So(second.Take(80), ShouldBeTrue)
		})
	})
	Convey("without a budget only the part's limit counts", t, func() {
		p := &Part{Limit: 10}
		So(p.Take(11), ShouldBeFalse)
		So(p.Take(10), ShouldBeTrue)
		p.Release(10)
		So(p.InUse(), ShouldEqual, 0)
	})
}
