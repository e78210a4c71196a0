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
			So(first.TakeWithin(1, 0.875), ShouldBeFalse)
			So(first.TakeWithin(2, 0.9), ShouldBeTrue)
			So(first.TakeWithin(9, 1), ShouldBeFalse)
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
	Convey("a nil part and a nil budget have no limit", t, func() {
		var p *Part
		var b *Budget
		So(p.Take(1<<40), ShouldBeTrue)
		So(b.Take(1<<40), ShouldBeTrue)
		p.Release(1)
		b.Release(1)
		So(p.InUse()+b.InUse(), ShouldEqual, 0)
	})
	Convey("without a budget only the part's limit counts", t, func() {
		p := &Part{Limit: 10}
		So(p.Take(11), ShouldBeFalse)
		So(p.Take(10), ShouldBeTrue)
		p.Release(10)
		So(p.InUse(), ShouldEqual, 0)
	})
}
