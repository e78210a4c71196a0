package table

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"siskinpath/core/clock"
)

const sample = `service,upstream,address,availability_zone,weight,slots,connections,rate_per_second,state,probes_per_second,hedge_percent,max_deadline_ms
booking,*,,,,,,500,,20,2.5,10000
booking,b1,10.0.0.1:8080,gh-mid-a,100,4,300,0,active,,,
booking,b2,10.0.0.2:8080,gh-mid-b,50,4,300,10,leaving,,,
payments,*,,,,,,0,,0,0,30000
payments,p1,[fd00::1]:8080,gh-mid-c,100,4,300,0,active,,,
`

// mustParse parses a text and asserts that it has no errors.
func mustParse(text string) *Table {
	t, err := Parse([]byte(text))
	convey.So(err, convey.ShouldBeNil)
	return t
}

// validationErrorsOf asserts that a text has errors and returns them with the table.
func validationErrorsOf(text string) (*Table, ValidationErrors) {
	t, err := Parse([]byte(text))
	var errs ValidationErrors
	convey.So(errors.As(err, &errs), convey.ShouldBeTrue)
	return t, errs
}

// replaceOnce replaces the first occurrence of from and asserts that there is one.
func replaceOnce(text, from, to string) string {
	convey.So(text, convey.ShouldContainSubstring, from)
	return strings.Replace(text, from, to, 1)
}

func TestParse(t *testing.T) {
	convey.Convey("a valid table", t, func() {
		convey.Convey("is parsed completely", func() {
			got := mustParse(sample)
			b := got.Service("booking")
			convey.So(b.RatePerSecond, convey.ShouldEqual, 500)
			convey.So(b.ProbesPerSecond, convey.ShouldEqual, 20)
			convey.So(b.HedgePercent, convey.ShouldEqual, 2.5)
			convey.So(b.MaxDeadline, convey.ShouldEqual, 10*clock.Second)
			convey.So(b.Upstreams[1], convey.ShouldResemble, Upstream{
				Service: "booking", Name: "b2", Address: "10.0.0.2:8080", AvailabilityZone: "gh-mid-b",
				Weight: 50, Slots: 4, Connections: 300, RatePerSecond: 10, State: Leaving,
			})
			convey.So(string(Format(got)), convey.ShouldEqual, sample)
		})
		convey.Convey("may be saved by a spreadsheet", func() {
			text := strings.ReplaceAll(strings.ReplaceAll(sample, ",", ";"), "2.5", "2,5")
			text = "\xef\xbb\xbf" + strings.ReplaceAll(text, "\n", "\r\n") + ";;;;;;;;;;;;\r\n"
			convey.So(string(Format(mustParse(text))), convey.ShouldEqual, sample)
		})
		convey.Convey("may have its columns in any order and empty cells with defaults", func() {
			text := "upstream,service,address,availability_zone,weight,slots,connections,rate_per_second," +
				"state,probes_per_second,hedge_percent,max_deadline_ms\nu,s,10.0.0.1:80,z,,4,300\n"
			s := mustParse(text).Service("s")
			convey.So(s.MaxDeadline, convey.ShouldEqual, clock.Millis(DefaultMaxDeadlineMs))
			convey.So(s.Upstreams[0].Weight, convey.ShouldEqual, DefaultWeight)
			convey.So(s.Upstreams[0].State, convey.ShouldEqual, Active)
		})
	})
}

func TestParseErrors(t *testing.T) {
	cells := []struct{ column, from, to string }{
		{ColumnService, "booking,b1", "boo king,b1"},
		{ColumnService, "booking,b1", "..,b1"},
		{ColumnUpstream, "booking,b1", "booking,b/1"},
		{ColumnUpstream, "booking,b1", "booking,b2"},
		{ColumnAddress, "10.0.0.1:8080", "10.0.0.1"},
		{ColumnAddress, "10.0.0.1:8080", "10.0.0.1:0"},
		{ColumnAddress, "10.0.0.1:8080", "localhost:80"},
		{ColumnAddress, "10.0.0.1:8080", "10.0.0.2:8080"},
		{ColumnAvailabilityZone, "gh-mid-a", ""},
		{ColumnWeight, "gh-mid-a,100", "gh-mid-a,1001"},
		{ColumnWeight, "gh-mid-a,100", "gh-mid-a,-1"},
		{ColumnWeight, "gh-mid-a,100", "gh-mid-a,1O0"},
		{ColumnSlots, "100,4,300,0,active,,,\nbooking,b2", "100,0,300,0,active,,,\nbooking,b2"},
		{ColumnConnections, "100,4,300,0,active,,,\nbooking,b2", "100,4,,0,active,,,\nbooking,b2"},
		{ColumnState, "0,active,,,\nbooking,b2", "0,gone,,,\nbooking,b2"},
		{ColumnProbesPerSecond, "active,,,\nbooking,b2", "active,3,,\nbooking,b2"},
		{ColumnProbesPerSecond, "500,,20,", "500,,NaN,"},
		{ColumnHedgePercent, "2.5", "101"},
		{ColumnMaxDeadline, "2.5,10000", "2.5,0"},
		{ColumnWeight, "booking,*,,,,", "booking,*,,,1,"},
	}
	convey.Convey("an invalid cell is reported by row and column with its fix", t, func() {
		for _, c := range cells {
			got, errs := validationErrorsOf(replaceOnce(sample, c.from, c.to))
			convey.So(len(errs), convey.ShouldEqual, 1)
			convey.So(errs[0].Column, convey.ShouldEqual, c.column)
			convey.So(errs[0].Row, convey.ShouldBeBetweenOrEqual, 2, 4)
			convey.So(errs[0].Fix, convey.ShouldNotBeEmpty)
			convey.So(got.Service("payments"), convey.ShouldNotBeNil)
		}
	})
	convey.Convey("all errors are reported at once", t, func() {
		text := replaceOnce(replaceOnce(replaceOnce(sample, "gh-mid-a,100", "gh-mid-a,x"), "leaving", "left"), "[fd00::1]:8080", "here")
		_, errs := validationErrorsOf(text)
		convey.So(errs.Error(), convey.ShouldEqual, strings.Join([]string{
			`row 3, column weight: "x" is out of range; use a whole number from 0 to 1000`,
			`row 4, column state: "left" is not a state; use active or leaving`,
			`row 6, column address: "here" is not an address; use an IP and a port, as in 10.1.2.3:8080 or [fd00::1]:8080`,
		}, "\n"))
	})
	convey.Convey("a service without an upstream is an error, and the other rows are kept", t, func() {
		text, _, _ := strings.Cut(sample, "payments,p1")
		got, errs := validationErrorsOf(text)
		convey.So(errs.Error(), convey.ShouldEqual,
			"row 5, column upstream: service payments has no upstream; add a row for an upstream, or remove this one")
		convey.So(len(got.Service("booking").Upstreams), convey.ShouldEqual, 2)
		convey.So(got.Service("payments").Upstreams, convey.ShouldBeEmpty)
	})
	convey.Convey("an invalid header rejects the whole table", t, func() {
		for _, text := range []string{
			"", "\n", "service\n", replaceOnce(sample, "weight", "wait"), replaceOnce(sample, "weight", "slots"), replaceOnce(sample, "weight,", ""),
		} {
			got, errs := validationErrorsOf(text)
			convey.So(got, convey.ShouldBeNil)
			convey.So(errs[0].Row, convey.ShouldEqual, 1)
		}
	})
	convey.Convey("a table without rows is rejected", t, func() {
		got, _ := validationErrorsOf(formatCells(Columns()) + "\n")
		convey.So(got, convey.ShouldBeNil)
	})
	convey.Convey("unclosed quotes and cells without a column are reported", t, func() {
		_, errs := validationErrorsOf(sample + "\"open")
		convey.So(errs[0].Row, convey.ShouldEqual, 7)
		_, errs = validationErrorsOf(replaceOnce(sample, "active,,,\nbooking,b2", "active,,,,x\nbooking,b2"))
		convey.So(errs[0].Problem, convey.ShouldContainSubstring, "has no column")
	})
}

// tables generates valid tables.
func tables() *rapid.Generator[*Table] {
	return rapid.Custom(func(r *rapid.T) *Table {
		t := &Table{}
		for s := range rapid.IntRange(1, 3).Draw(r, "services") {
			service := Service{
				Name:            fmt.Sprintf("s%d", s),
				ProbesPerSecond: rapid.Float64Range(0, MaxProbesPerSecond).Draw(r, "probes"),
				RatePerSecond:   rapid.IntRange(0, MaxRatePerSecond).Draw(r, "rate"),
				HedgePercent:    rapid.Float64Range(0, MaxHedgePercent).Draw(r, "hedge"),
				MaxDeadline:     clock.Millis(rapid.IntRange(1, MaxMaxDeadlineMs).Draw(r, "deadline")),
			}
			for u := range rapid.IntRange(1, 4).Draw(r, "upstreams") {
				service.Upstreams = append(service.Upstreams, Upstream{
					Service:          service.Name,
					Name:             fmt.Sprintf("u%d", u),
					Address:          fmt.Sprintf("10.0.%d.%d:80", s, u),
					AvailabilityZone: "z",
					Weight:           rapid.IntRange(0, MaxWeight).Draw(r, "weight"),
					Slots:            rapid.IntRange(1, MaxSlots).Draw(r, "slots"),
					Connections:      rapid.IntRange(1, MaxConnections).Draw(r, "connections"),
					State:            rapid.SampledFrom([]State{Active, Leaving}).Draw(r, "state"),
				})
			}
			t.Services = append(t.Services, service)
		}
		return t
	})
}

func TestFormatParseRoundTrip(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		want := tables().Draw(r, "table")
		text := Format(want)
		got, err := Parse(text)
		if err != nil {
			r.Fatalf("%v\n%s", err, text)
		}
		if again := Format(got); !bytes.Equal(text, again) || len(Diff(want, got)) > 0 {
			r.Fatalf("got\n%s\nwant\n%s", again, text)
		}
	})
}

func TestDiff(t *testing.T) {
	convey.Convey("a diff lists changed rows and cells", t, func() {
		from := mustParse(sample)
		to := mustParse(replaceOnce(replaceOnce(sample, "gh-mid-b,50", "gh-mid-b,60"), "payments,p1", "payments,p2"))
		convey.So(Diff(from, from), convey.ShouldBeEmpty)
		changes := Diff(from, to)
		convey.So(len(changes), convey.ShouldEqual, 3)
		convey.So(changes[0], convey.ShouldResemble, Change{
			Kind: Changed, Service: "booking", Upstream: "b2", Cells: []CellChange{{ColumnWeight, "50", "60"}},
		})
		convey.So(changes[1].Kind, convey.ShouldEqual, Removed)
		convey.So(changes[2].Kind, convey.ShouldEqual, Added)
	})
}

func TestMerge(t *testing.T) {
	convey.Convey("two edits of the same base", t, func() {
		base := mustParse(sample)
		mine := mustParse(replaceOnce(sample, "gh-mid-a,100", "gh-mid-a,10"))

		convey.Convey("of different rows merge", func() {
			theirs := mustParse(replaceOnce(sample, "gh-mid-b,50", "gh-mid-b,60"))
			theirs.Version = 9
			merged, conflicts := Merge(base, mine, theirs)
			convey.So(conflicts, convey.ShouldBeEmpty)
			convey.So(merged.Version, convey.ShouldEqual, uint64(9))
			convey.So(string(Format(merged)), convey.ShouldEqual,
				replaceOnce(replaceOnce(sample, "gh-mid-a,100", "gh-mid-a,10"), "gh-mid-b,50", "gh-mid-b,60"))
		})
		convey.Convey("of the same row conflict, and the conflict has all three values", func() {
			theirs := mustParse(replaceOnce(sample, "gh-mid-a,100", "gh-mid-a,20"))
			_, conflicts := Merge(base, mine, theirs)
			convey.So(conflicts, convey.ShouldResemble, []Conflict{{
				Service: "booking", Upstream: "b1",
				Base:   "booking,b1,10.0.0.1:8080,gh-mid-a,100,4,300,0,active,,,",
				Mine:   "booking,b1,10.0.0.1:8080,gh-mid-a,10,4,300,0,active,,,",
				Theirs: "booking,b1,10.0.0.1:8080,gh-mid-a,20,4,300,0,active,,,",
			}})
		})
		convey.Convey("that are equal merge", func() {
			merged, conflicts := Merge(base, mine, mine)
			convey.So(conflicts, convey.ShouldBeEmpty)
			convey.So(Diff(mine, merged), convey.ShouldBeEmpty)
		})
		convey.Convey("conflict when one removes a service and the other adds a row to it", func() {
			head, _, _ := strings.Cut(sample, "booking")
			_, tail, _ := strings.Cut(sample, "payments")
			removed := mustParse(head + "payments" + tail)
			added := mustParse(sample + "booking,b3,10.0.0.3:8080,gh-mid-a,100,4,300,0,active,,,\n")
			for _, pair := range [][2]*Table{{removed, added}, {added, removed}} {
				_, conflicts := Merge(base, pair[0], pair[1])
				convey.So(len(conflicts), convey.ShouldEqual, 1)
				convey.So(conflicts[0].Upstream, convey.ShouldEqual, ServiceRow)
			}
		})
	})
}

func TestMergeKeepsBothEdits(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		base := tables().Draw(r, "base")
		mine, theirs := tables().Draw(r, "mine"), tables().Draw(r, "theirs")
		merged, conflicts := Merge(base, mine, theirs)
		if len(conflicts) > 0 {
			return
		}
		m := cellsByKey(merged)
		for _, side := range []*Table{mine, theirs} {
			is := cellsByKey(side)
			for _, c := range Diff(base, side) {
				key := rowKey{c.Service, c.Upstream}
				if formatCells(m[key]) != formatCells(is[key]) {
					r.Fatalf("change of %v is lost:\n%s", key, Format(merged))
				}
			}
		}
	})
}
