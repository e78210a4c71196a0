package table

import (
	"testing"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"
)

// expectStep asserts the kind of a step and returns the step.
func expectStep(s Step, want StepKind) Step {
	convey.So(s.Kind, convey.ShouldEqual, want)
	return s
}

func currentRow(version uint64, id, csv string) PlatformRow {
	return PlatformRow{Key: RowKey, Version: version, Value: EncodeRow(RowValue{EditID: id, CSV: csv})}
}

func TestEditor(t *testing.T) {
	convey.Convey("an edit", t, func() {
		base := mustParse(sample)
		base.Version = 4
		mineText := replaceOnce(sample, "gh-mid-a,100", "gh-mid-a,10")
		e := &Editor{EditID: "mine", Author: "ama", Base: base, Mine: mustParse(mineText)}
		expectStep(e.Start(), StepRead)
		commit := expectStep(e.RowsRead([]PlatformRow{currentRow(4, "other", sample)}), StepCommit)
		convey.So(commit.Checks, convey.ShouldResemble, []VersionCheck{{RowKey, 4}, {"table_history/5", 0}})
		convey.So(commit.Puts[0].Key, convey.ShouldEqual, RowKey)
		convey.So(commit.Puts[1].Value, convey.ShouldEqual, commit.Puts[0].Value)
		written := commit.Puts[0].Value

		convey.Convey("is accepted once the commit is confirmed", func() {
			convey.So(expectStep(e.Committed(5), StepAccepted).Version, convey.ShouldEqual, uint64(5))
		})
		convey.Convey("reads the rows back when the reply is lost", func() {
			read := expectStep(e.ReplyLost(), StepRead)
			convey.So(read.Keys, convey.ShouldResemble, []string{RowKey, "table_history/5"})

			convey.Convey("and is accepted when it was applied", func() {
				rows := []PlatformRow{{RowKey, written, 5}, {"table_history/5", written, 1}}
				convey.So(expectStep(e.RowsRead(rows), StepAccepted).Version, convey.ShouldEqual, uint64(5))
			})
			convey.Convey("and is accepted when it was applied and the table edited since", func() {
				rows := []PlatformRow{currentRow(6, "other", sample), {"table_history/5", written, 1}}
				convey.So(expectStep(e.RowsRead(rows), StepAccepted).Version, convey.ShouldEqual, uint64(5))
			})
			convey.Convey("and is committed again when it was not applied", func() {
				again := expectStep(e.RowsRead([]PlatformRow{currentRow(4, "other", sample), {"table_history/5", "", 0}}), StepCommit)
				convey.So(again, convey.ShouldResemble, commit)
			})
			convey.Convey("and is uncertain when the platform has become unavailable", func() {
				convey.So(expectStep(e.Unavailable(errors.New("refused")), StepUnavailable).Uncertain, convey.ShouldBeTrue)
			})
		})
		convey.Convey("merges with an edit of another row", func() {
			expectStep(e.CheckFailed(), StepRead)
			theirs := replaceOnce(sample, "gh-mid-b,50", "gh-mid-b,60")
			rows := []PlatformRow{currentRow(5, "other", theirs), {"table_history/5", currentRow(5, "other", theirs).Value, 1}}
			next := expectStep(e.RowsRead(rows), StepCommit)
			convey.So(next.Checks[0].Version, convey.ShouldEqual, uint64(5))
			row, err := DecodeRow(next.Puts[0].Value)
			convey.So(err, convey.ShouldBeNil)
			convey.So(row.CSV, convey.ShouldEqual, replaceOnce(mineText, "gh-mid-b,50", "gh-mid-b,60"))
			convey.So(expectStep(e.Committed(6), StepAccepted).Merged, convey.ShouldBeTrue)
		})
		convey.Convey("conflicts with an edit of the same row", func() {
			expectStep(e.CheckFailed(), StepRead)
			theirs := replaceOnce(sample, "gh-mid-a,100", "gh-mid-a,60")
			s := expectStep(e.RowsRead([]PlatformRow{currentRow(5, "other", theirs), {"table_history/5", "", 0}}), StepConflict)
			convey.So(len(s.Conflicts), convey.ShouldEqual, 1)
		})
		convey.Convey("is accepted unchanged when another edit made the same change", func() {
			expectStep(e.CheckFailed(), StepRead)
			convey.So(expectStep(e.RowsRead([]PlatformRow{currentRow(5, "other", mineText)}), StepAccepted).Unchanged, convey.ShouldBeTrue)
		})
		convey.Convey("is rejected when the row can't be decoded, the platform's version is below the base, or merged rows have the same address", func() {
			expectStep(e.CheckFailed(), StepRead)
			expectStep(e.RowsRead([]PlatformRow{{RowKey, "{", 5}}), StepInvalid)
			expectStep(e.RowsRead([]PlatformRow{currentRow(3, "other", sample)}), StepInvalid)
			e.Mine = mustParse(replaceOnce(sample, "10.0.0.1:8080", "10.0.0.9:8080"))
			clash := replaceOnce(sample, "10.0.0.2:8080", "10.0.0.9:8080")
			convey.So(expectStep(e.RowsRead([]PlatformRow{currentRow(5, "other", clash)}), StepInvalid).Err.Error(), convey.ShouldContainSubstring, "is the address of")
		})
		convey.Convey("gives up after the maximum number of attempts", func() {
			for range MaxCommitAttempts - 1 {
				expectStep(e.CheckFailed(), StepRead)
				expectStep(e.RowsRead([]PlatformRow{currentRow(4, "other", sample)}), StepCommit)
			}
			expectStep(e.CheckFailed(), StepRead)
			expectStep(e.RowsRead([]PlatformRow{currentRow(4, "other", sample)}), StepUnavailable)
		})
	})
}

func TestSetCells(t *testing.T) {
	convey.Convey("the cells of a row can be changed", t, func() {
		base := mustParse(sample)
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
