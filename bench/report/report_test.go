package report

import (
	"encoding/csv"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"siskinpath/bench/sim"
)

func testRows() []Row {
	row := func(policy string, latency sim.Micros) Row {
		r := sim.NewResult()
		r.Arrived, r.Answered, r.Seconds = 10, 10, 1
		for range 10 {
			_ = r.Latency.RecordValue(int64(latency))
		}
		d := sim.Deployments()[0]
		return Row{Scenario: sim.Scenario{Deployment: d, Load: 0.5, Policy: sim.Policy{Name: policy}}, Seeds: 1, Result: r}
	}
	return []Row{row("random", 100*sim.Millisecond), row("siskinpath", 25*sim.Millisecond)}
}

func TestWrite(t *testing.T) {
	convey.Convey("the CSV file and the table have each row with its ratio to random", t, func() {
		dir := t.TempDir()
		rows := testRows()
		convey.So(WriteCSV(dir, "policies", rows), convey.ShouldBeNil)
		convey.So(WriteTables(dir, "policies", rows), convey.ShouldBeNil)
		convey.So(WritePlots(dir, rows), convey.ShouldBeNil)
		convey.So(WriteFailures(dir, rows), convey.ShouldBeNil)

		f, err := os.Open(filepath.Join(dir, "policies.csv"))
		convey.So(err, convey.ShouldBeNil)
		defer f.Close()
		lines, err := csv.NewReader(f).ReadAll()
		convey.So(err, convey.ShouldBeNil)
		convey.So(lines, convey.ShouldHaveLength, 3)
		toRandom, err := strconv.ParseFloat(lines[2][column("p99_to_random")], 64)
		convey.So(err, convey.ShouldBeNil)
		convey.So(toRandom, convey.ShouldAlmostEqual, 0.25, 0.001)
		convey.So(lines[2][column("p99_to_power_of_two")], convey.ShouldEqual, "")

		table, err := os.ReadFile(filepath.Join(dir, "policies.md"))
		convey.So(err, convey.ShouldBeNil)
		convey.So(strings.Contains(string(table), "(0.25)"), convey.ShouldBeTrue)
	})
}

func column(name string) int {
	for i, h := range header {
		if h == name {
			return i
		}
	}
	return -1
}
