package table

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"
)

// kind asserts what a step asks for.
func kind(s Step, want StepKind) Step {
	convey.So(s.Kind, convey.ShouldEqual, want)
	return s
}

func currentRow(version uint64, id, csv string) PlatformRow {
	return PlatformRow{Key: RowKey, Version: version, Value: EncodeRow(RowValue{EditID: id, CSV: csv})}
}

func TestEditor(t *testing.T) {
	convey.Convey("an edit", t, func() {
		base := parse(sample)
		base.Version = 4
		mineText := edit(sample, "gh-mid-a,100", "gh-mid-a,10")
		e := &Editor{EditID: "mine", Author: "ama", Base: base, Mine: parse(mineText)}
		kind(e.Start(), StepRead)
		commit := kind(e.RowsRead([]PlatformRow{currentRow(4, "other", sample)}), StepCommit)
		convey.So(commit.Checks, convey.ShouldResemble, []VersionCheck{{RowKey, 4}, {"table_history/5", 0}})
		convey.So(commit.Puts[0].Key, convey.ShouldEqual, RowKey)
		convey.So(commit.Puts[1].Value, convey.ShouldEqual, commit.Puts[0].Value)
		written := commit.Puts[0].Value

		convey.Convey("is accepted once committed", func() {
			convey.So(kind(e.Committed(5), StepAccepted).Version, convey.ShouldEqual, uint64(5))
		})
		convey.Convey("is read back when the reply is lost", func() {
			read := kind(e.ReplyLost(), StepRead)
			convey.So(read.Keys, convey.ShouldResemble, []string{RowKey, "table_history/5"})

			convey.Convey("and accepted when it was applied", func() {
				rows := []PlatformRow{{RowKey, written, 5}, {"table_history/5", written, 1}}
				convey.So(kind(e.RowsRead(rows), StepAccepted).Version, convey.ShouldEqual, uint64(5))
			})
			convey.Convey("and accepted when it was applied and edited since", func() {
				rows := []PlatformRow{currentRow(6, "other", sample), {"table_history/5", written, 1}}
				convey.So(kind(e.RowsRead(rows), StepAccepted).Version, convey.ShouldEqual, uint64(5))
			})
			convey.Convey("and written again when it was not applied", func() {
				again := kind(e.RowsRead([]PlatformRow{currentRow(4, "other", sample), {"table_history/5", "", 0}}), StepCommit)
				convey.So(again, convey.ShouldResemble, commit)
			})
			convey.Convey("and uncertain when the platform is gone by then", func() {
				convey.So(kind(e.Unavailable(errors.New("refused")), StepUnavailable).Uncertain, convey.ShouldBeTrue)
			})
		})
		convey.Convey("merges with another row's edit", func() {
			kind(e.CheckFailed(), StepRead)
			theirs := edit(sample, "gh-mid-b,50", "gh-mid-b,60")
			rows := []PlatformRow{currentRow(5, "other", theirs), {"table_history/5", currentRow(5, "other", theirs).Value, 1}}
			next := kind(e.RowsRead(rows), StepCommit)
			convey.So(next.Checks[0].Version, convey.ShouldEqual, uint64(5))
			row, err := DecodeRow(next.Puts[0].Value)
			convey.So(err, convey.ShouldBeNil)
			convey.So(row.CSV, convey.ShouldEqual, edit(mineText, "gh-mid-b,50", "gh-mid-b,60"))
			convey.So(kind(e.Committed(6), StepAccepted).Merged, convey.ShouldBeTrue)
		})
		convey.Convey("conflicts with the same row's edit", func() {
			kind(e.CheckFailed(), StepRead)
			theirs := edit(sample, "gh-mid-a,100", "gh-mid-a,60")
			s := kind(e.RowsRead([]PlatformRow{currentRow(5, "other", theirs), {"table_history/5", "", 0}}), StepConflict)
			convey.So(len(s.Conflicts), convey.ShouldEqual, 1)
		})
		convey.Convey("has nothing to do when another one did the same", func() {
			kind(e.CheckFailed(), StepRead)
			convey.So(kind(e.RowsRead([]PlatformRow{currentRow(5, "other", mineText)}), StepAccepted).Unchanged, convey.ShouldBeTrue)
		})
		convey.Convey("is refused on what can't be read, on a platform that went back, and when merged rows clash", func() {
			kind(e.CheckFailed(), StepRead)
			kind(e.RowsRead([]PlatformRow{{RowKey, "{", 5}}), StepInvalid)
			kind(e.RowsRead([]PlatformRow{currentRow(3, "other", sample)}), StepInvalid)
			e.Mine = parse(edit(sample, "10.0.0.1:8080", "10.0.0.9:8080"))
			clash := edit(sample, "10.0.0.2:8080", "10.0.0.9:8080")
			convey.So(kind(e.RowsRead([]PlatformRow{currentRow(5, "other", clash)}), StepInvalid).Err.Error(), convey.ShouldContainSubstring, "is the address of")
		})
		convey.Convey("gives up after many tries", func() {
			for range MaxCommitAttempts - 1 {
				kind(e.CheckFailed(), StepRead)
				kind(e.RowsRead([]PlatformRow{currentRow(4, "other", sample)}), StepCommit)
			}
			kind(e.CheckFailed(), StepRead)
			kind(e.RowsRead([]PlatformRow{currentRow(4, "other", sample)}), StepUnavailable)
		})
	})
}

func TestSet(t *testing.T) {
	convey.Convey("cells of a row are set", t, func() {
		base := parse(sample)
		base.Version = 4
		got, err := SetCells(base, "booking", "b2", []CellValue{{ColumnWeight, "7"}}, false)
		convey.So(err, convey.ShouldBeNil)
		convey.So(got.Version, convey.ShouldEqual, uint64(4))
		convey.So(len(Diff(base, got)), convey.ShouldEqual, 1)
		for _, c := range []CellValue{{"wait", "7"}, {ColumnUpstream, "b3"}, {ColumnWeight, "1,2"}, {ColumnWeight, "-1"}} {
			_, err := SetCells(base, "booking", "b2", []CellValue{c}, false)
			convey.So(err, convey.ShouldNotBeNil)
		}
		_, err = SetCells(base, "booking", "b9", []CellValue{{ColumnWeight, "7"}}, false)
		convey.So(err, convey.ShouldNotBeNil)
	})
}
