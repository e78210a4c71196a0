package report

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/loadsim"
)

func TestWriteHeavyLoad(t *testing.T) {
	Convey("heavy-load results are written as a CSV file, a table and a plot for each condition", t, func() {
		got := loadsim.Outcomes{Offered: [loadsim.Priorities]int{10, 10, 20}, InTime: [loadsim.Priorities]int{10, 10, 10}, Late: [loadsim.Priorities]int{0, 0, 6}}
		rows := []HeavyLoadRow{
			{Condition: "burst", Policy: "random", Load: 1, Outcomes: got},
			{Condition: "burst", Policy: "ours", Load: 1, Outcomes: got},
			{Condition: "burst", Policy: "ours", Load: 2, Outcomes: got},
			{Condition: "burst", Policy: "random", Load: 2, Outcomes: got},
		}
		dir := t.TempDir()
		So(WriteHeavyLoad(dir, rows), ShouldBeNil)
		table, err := os.ReadFile(filepath.Join(dir, "heavy.md"))
		So(err, ShouldBeNil)
		So(string(table), ShouldEqual, "\n**burst**\n\n| policy | load 1 | load 2 |\n|---|---|---|\n"+
			"| random | 75.0 l15.0 r0.0 | 75.0 l15.0 r0.0 |\n| ours | 75.0 l15.0 r0.0 | 75.0 l15.0 r0.0 |\n")
		lines, err := os.ReadFile(filepath.Join(dir, "heavy.csv"))
		So(err, ShouldBeNil)
		So(string(lines), ShouldContainSubstring, "burst,ours,2,40,0.75,0.15,0,1,1,0.5,0,0\n")
		_, err = os.Stat(filepath.Join(dir, "heavy_burst.png"))
		So(err, ShouldBeNil)
	})
}
