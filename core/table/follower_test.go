package table

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func rowValue(csv string) string {
	return EncodeRow(RowValue{EditID: "e", Author: "ama", Time: "2026-01-02T03:04:05Z", CSV: csv})
}

// inForce asserts which version a follower has in force.
func inForce(f *Follower, want uint64) {
	convey.So(f.Version(), convey.ShouldEqual, want)
	if want > 0 {
		convey.So(f.InForce().Version, convey.ShouldEqual, want)
	}
}

func TestFollower(t *testing.T) {
	good := rowValue(sample)
	convey.Convey("a follower", t, func() {
		f := &Follower{Self: "gh-1"}
		f.SetListedHosts([]string{"gh-1", "gh-2", "gh-3", "gh-4"})
		inForce(f, 0)

		convey.Convey("takes what the platform has, and only higher versions after that", func() {
			convey.So(f.PlatformRead(0, 3, good, true), convey.ShouldBeNil)
			inForce(f, 3)
			convey.So(f.PlatformRead(0, 3, good, true), convey.ShouldBeNil)
			convey.So(f.PlatformRead(0, 2, good, true), convey.ShouldNotBeNil)
			convey.So(f.PlatformRead(0, 0, "", true), convey.ShouldNotBeNil)
			convey.So(f.CopyReceived(0, "gh-2", 2, good), convey.ShouldBeNil)
			inForce(f, 3)
			convey.So(f.CopyReceived(0, "gh-2", 4, good), convey.ShouldBeNil)
			inForce(f, 4)
			counts := f.State().Counts
			convey.So(counts.VersionRegressions, convey.ShouldEqual, 1)
			convey.So(counts.PlatformTableMissing, convey.ShouldEqual, 1)
			convey.So(counts.CopiesStale, convey.ShouldEqual, 1)
			convey.So(counts.VersionsApplied, convey.ShouldEqual, 2)
		})
		convey.Convey("refuses garbage and goes on", func() {
			for _, value := range []string{"", "{", `{"edit_id":""}`, rowValue(""), rowValue("a,b\n1,2\n")} {
				convey.So(f.PlatformRead(0, 5, value, true), convey.ShouldNotBeNil)
				convey.So(f.CopyReceived(0, "gh-2", 5, value), convey.ShouldNotBeNil)
			}
			inForce(f, 0)
			convey.So(f.State().Counts.CorruptValues, convey.ShouldEqual, 10)
			convey.So(f.PlatformRead(0, 6, good, true), convey.ShouldBeNil)
			inForce(f, 6)
		})
		convey.Convey("serves the sound rows of a table with faults", func() {
			convey.So(f.PlatformRead(0, 5, rowValue(edit(sample, "gh-mid-a,100", "gh-mid-a,x")), true), convey.ShouldBeNil)
			convey.So(len(f.InForce().Service("booking").Upstreams), convey.ShouldEqual, 1)
			convey.So(f.State().ValidationErrors[0].Row, convey.ShouldEqual, 3)
		})
		convey.Convey("without a table holds a copy back until a majority has told its version", func() {
			convey.So(f.CopyReceived(0, "gh-2", 5, good), convey.ShouldBeNil)
			inForce(f, 0)
			f.VersionReported(0, "gh-1", 5) // itself
			f.VersionReported(0, "gh-9", 5) // not listed
			inForce(f, 0)
			f.VersionReported(0, "gh-3", 4)
			inForce(f, 5)
		})
		convey.Convey("without a table waits for the newest version that was heard of", func() {
			f.VersionReported(0, "gh-2", 5)
			f.VersionReported(0, "gh-3", 7)
			convey.So(f.CopyReceived(0, "gh-2", 5, good), convey.ShouldBeNil)
			inForce(f, 0)
			host, version, ok := f.CopyToFetch()
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(host, convey.ShouldEqual, "gh-3")
			convey.So(version, convey.ShouldEqual, uint64(7))
			convey.So(f.CopyReceived(0, "gh-3", 7, good), convey.ShouldBeNil)
			inForce(f, 7)
		})
		convey.Convey("does not begin below second-hand news, nor count it for the majority", func() {
			f.VersionRelayed(6)
			f.VersionReported(0, "gh-2", 5)
			f.VersionReported(0, "gh-3", 5)
			convey.So(f.CopyReceived(0, "gh-2", 5, good), convey.ShouldBeNil)
			inForce(f, 0)
			convey.So(f.CopyReceived(0, "gh-3", 6, good), convey.ShouldBeNil)
			inForce(f, 6)
		})
		convey.Convey("without a table takes a copy at once when the platform has answered", func() {
			convey.So(f.PlatformRead(0, 4, "", false), convey.ShouldBeNil)
			convey.So(f.CopyReceived(0, "gh-2", 3, good), convey.ShouldBeNil)
			inForce(f, 0)
			convey.So(f.CopyReceived(0, "gh-2", 4, good), convey.ShouldBeNil)
			inForce(f, 4)
		})
		convey.Convey("goes by the members of the assignment when the list was never read", func() {
			f := &Follower{Self: "gh-1"}
			convey.So(f.CopyReceived(0, "gh-2", 5, good), convey.ShouldBeNil)
			inForce(f, 0)
			f.SetMembers(0, []string{"gh-1", "gh-2", "gh-3", "gh-4"})
			inForce(f, 0)
			f.VersionReported(0, "gh-4", 5)
			inForce(f, 5)
		})
		convey.Convey("learns nothing from a failed read", func() {
			convey.So(f.PlatformRead(0, 0, "", false), convey.ShouldBeNil)
			convey.So(f.CopyReceived(0, "gh-2", 3, good), convey.ShouldBeNil)
			inForce(f, 0)
		})
		convey.Convey("hands its row on as the platform holds it", func() {
			convey.So(f.PlatformRead(0, 3, good, true), convey.ShouldBeNil)
			version, value := f.Row()
			convey.So(version, convey.ShouldEqual, uint64(3))
			convey.So(value, convey.ShouldEqual, good)
		})
	})
}
