package discovery

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/clock"
)

func entryOf(id string, version int64) Entry {
	return Entry{ID: id, Version: version, Upstream: &Upstream{ID: id, Service: "booking", Address: id + ":1"}}
}

func ids(r *Registry) (out []string) {
	for _, k := range r.Service("booking") {
		out = append(out, k.ID)
	}
	return out
}

func TestRegistry(t *testing.T) {
	Convey("a registry with two upstreams", t, func() {
		r := &Registry{}
		So(r.Apply(1000, []Entry{entryOf("a", 1), entryOf("b", 2)}), ShouldBeTrue)
		So(ids(r), ShouldResemble, []string{"a", "b"})

		Convey("drops a removed entry at once when there was no outage", func() {
			So(r.Apply(1100, []Entry{{ID: "a", Version: 3}}), ShouldBeTrue)
			So(ids(r), ShouldResemble, []string{"b"})
		})
		Convey("drops an entry that can no longer be read", func() {
			r.Apply(1100, []Entry{{ID: "b", Version: 5}})
			So(ids(r), ShouldResemble, []string{"a"})
		})
		Convey("ignores an entry older than the one it holds", func() {
			old := entryOf("b", 1)
			old.Upstream.Address = "old:1"
			So(r.Apply(1100, []Entry{old}), ShouldBeFalse)
			So(r.Service("booking")[1].Address, ShouldEqual, "b:1")
		})
		Convey("keeps entries that expired in an outage until the grace period ends", func() {
			r.RecordOutage(5000)
			r.Apply(5500, []Entry{{ID: "a", Version: 8, Missing: true}, {ID: "b", Version: 8, Missing: true}})
			So(ids(r), ShouldResemble, []string{"a", "b"})
			r.Apply(6000, []Entry{entryOf("a", 9)})
			So(r.Next(), ShouldEqual, 5500+missingGrace)
			So(r.Tick(5500+missingGrace), ShouldBeTrue)
			So(ids(r), ShouldResemble, []string{"a"})
		})
		Convey("drops an entry whose upstream was leaving", func() {
			leaving := entryOf("a", 4)
			leaving.Upstream.Leaving = true
			r.Apply(1200, []Entry{leaving})
			r.RecordOutage(5000)
			r.Apply(5500, []Entry{{ID: "a", Version: 8, Missing: true}})
			So(ids(r), ShouldResemble, []string{"b"})
		})
		Convey("drops an explicitly removed entry also soon after an outage", func() {
			r.RecordOutage(5000)
			So(r.Apply(5500, []Entry{{ID: "a", Version: 9}}), ShouldBeTrue)
			So(ids(r), ShouldResemble, []string{"b"})
		})
		Convey("drops a missing entry when there was no outage", func() {
			So(r.Apply(5500, []Entry{{ID: "a", Version: 9, Missing: true}}), ShouldBeTrue)
			So(ids(r), ShouldResemble, []string{"b"})
		})
		Convey("drops a removed entry long after an outage", func() {
			r.RecordOutage(5000)
			So(r.Apply(5000+outageEffect+1, []Entry{{ID: "a", Version: 7}}), ShouldBeTrue)
		})
		Convey("counts the warm-up time from when it learns of the upstream", func() {
			cold := entryOf("c", 8)
			cold.Upstream.ColdFor = 3 * clock.Second
			r.Apply(2000, []Entry{cold})
			So(r.Service("booking")[2].ColdUntil, ShouldEqual, 5000)
		})
	})
}
