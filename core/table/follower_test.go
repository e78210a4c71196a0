package table

import (
	"testing"

	"github.com/smartystreets/goconvey/convey"
)

func rowValue(csv string) string {
	return EncodeRow(RowValue{EditID: "e", Author: "ama", Time: "2026-01-02T03:04:05Z", CSV: csv})
}

// expectVersion asserts which version a follower has in force.
func expectVersion(f *Follower, want uint64) {
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
		expectVersion(f, 0)

		convey.Convey("applies the platform's version, and only higher versions after that", func() {
			convey.So(f.PlatformRead(0, 3, good, true), convey.ShouldBeNil)
			expectVersion(f, 3)
			convey.So(f.PlatformRead(0, 3, good, true), convey.ShouldBeNil)
			convey.So(f.PlatformRead(0, 2, good, true), convey.ShouldNotBeNil)
			convey.So(f.PlatformRead(0, 0, "", true), convey.ShouldNotBeNil)
			convey.So(f.CopyReceived(0, "gh-2", 2, good), convey.ShouldBeNil)
			expectVersion(f, 3)
			convey.So(f.CopyReceived(0, "gh-2", 4, good), convey.ShouldBeNil)
			expectVersion(f, 4)
			counts := f.State().Counts
			convey.So(counts.VersionRegressions, convey.ShouldEqual, 1)
			convey.So(counts.PlatformTableMissing, convey.ShouldEqual, 1)
			convey.So(counts.CopiesStale, convey.ShouldEqual, 1)
			convey.So(counts.VersionsApplied, convey.ShouldEqual, 2)
		})
		convey.Convey("rejects values that can't be decoded and still applies the next valid one", func() {
			for _, value := range []string{"", "{", `{"edit_id":""}`, rowValue(""), rowValue("a,b\n1,2\n")} {
				convey.So(f.PlatformRead(0, 5, value, true), convey.ShouldNotBeNil)
				convey.So(f.CopyReceived(0, "gh-2", 5, value), convey.ShouldNotBeNil)
			}
			expectVersion(f, 0)
			convey.So(f.State().Counts.CorruptValues, convey.ShouldEqual, 10)
			convey.So(f.PlatformRead(0, 6, good, true), convey.ShouldBeNil)
			expectVersion(f, 6)
		})
		convey.Convey("serves the valid rows of a table with errors", func() {
			convey.So(f.PlatformRead(0, 5, rowValue(replaceOnce(sample, "gh-mid-a,100", "gh-mid-a,x")), true), convey.ShouldBeNil)
			convey.So(len(f.InForce().Service("booking").Upstreams), convey.ShouldEqual, 1)
			convey.So(f.State().ValidationErrors[0].Row, convey.ShouldEqual, 3)
		})
		convey.Convey("without a table defers a copy until a majority has reported its versions", func() {
			convey.So(f.CopyReceived(0, "gh-2", 5, good), convey.ShouldBeNil)
			expectVersion(f, 0)
			f.VersionReported(0, "gh-1", 5) // the follower's own host doesn't count
			f.VersionReported(0, "gh-9", 5) // a host that is not listed doesn't count
			expectVersion(f, 0)
			f.VersionReported(0, "gh-3", 4)
			expectVersion(f, 5)
		})
		convey.Convey("without a table waits for a copy of the newest reported version", func() {
			f.VersionReported(0, "gh-2", 5)
			f.VersionReported(0, "gh-3", 7)
			convey.So(f.CopyReceived(0, "gh-2", 5, good), convey.ShouldBeNil)
			expectVersion(f, 0)
			host, version, ok := f.CopyToFetch()
			convey.So(ok, convey.ShouldBeTrue)
			convey.So(host, convey.ShouldEqual, "gh-3")
			convey.So(version, convey.ShouldEqual, uint64(7))
			convey.So(f.CopyReceived(0, "gh-3", 7, good), convey.ShouldBeNil)
			expectVersion(f, 7)
		})
		convey.Convey("does not start below a relayed version, nor count it for the majority", func() {
			f.VersionRelayed(6)
			f.VersionReported(0, "gh-2", 5)
			f.VersionReported(0, "gh-3", 5)
			convey.So(f.CopyReceived(0, "gh-2", 5, good), convey.ShouldBeNil)
			expectVersion(f, 0)
			convey.So(f.CopyReceived(0, "gh-3", 6, good), convey.ShouldBeNil)
			expectVersion(f, 6)
		})
		convey.Convey("without a table applies a copy at once when the platform has answered", func() {
			convey.So(f.PlatformRead(0, 4, "", false), convey.ShouldBeNil)
			convey.So(f.CopyReceived(0, "gh-2", 3, good), convey.ShouldBeNil)
			expectVersion(f, 0)
			convey.So(f.CopyReceived(0, "gh-2", 4, good), convey.ShouldBeNil)
			expectVersion(f, 4)
		})
		convey.Convey("takes the majority of the assignment's members when the host list was never read", func() {
			f := &Follower{Self: "gh-1"}
			convey.So(f.CopyReceived(0, "gh-2", 5, good), convey.ShouldBeNil)
			expectVersion(f, 0)
			f.SetMembers(0, []string{"gh-1", "gh-2", "gh-3", "gh-4"})
			expectVersion(f, 0)
			f.VersionReported(0, "gh-4", 5)
			expectVersion(f, 5)
		})
		convey.Convey("does not count a failed read as an answer of the platform", func() {
			convey.So(f.PlatformRead(0, 0, "", false), convey.ShouldBeNil)
			convey.So(f.CopyReceived(0, "gh-2", 3, good), convey.ShouldBeNil)
			expectVersion(f, 0)
		})
		convey.Convey("returns its row byte for byte as in the platform", func() {
			convey.So(f.PlatformRead(0, 3, good, true), convey.ShouldBeNil)
			version, value := f.Row()
			convey.So(version, convey.ShouldEqual, uint64(3))
			convey.So(value, convey.ShouldEqual, good)
		})
	})
}

func TestFollowerRestored(t *testing.T) {
	convey.Convey("after the platform came back from an older copy, the next edit comes into force although its version is lower", t, func() {
		f := &Follower{Self: "gh-1"}
		convey.So(f.PlatformRead(0, 12, rowValue(sample), true), convey.ShouldBeNil)
		convey.So(f.PlatformRead(1, 9, rowValue(sample), true), convey.ShouldNotBeNil)
		expectVersion(f, 12)
		edit := EncodeRow(RowValue{EditID: "next", Author: "ama", Time: "2026-01-02T03:05:05Z", CSV: replaceOnce(sample, "gh-mid-a,100", "gh-mid-a,70")})
		_ = f.PlatformRead(2, 10, edit, true)
		_, value := f.Row()
		convey.So(value, convey.ShouldEqual, edit)
	})
}
