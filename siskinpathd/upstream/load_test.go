package upstream

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"siskinpath/core/route"
)

func TestParseLoad(t *testing.T) {
	Convey("a report with any invalid field is ignored", t, func() {
		So(*parseLoad([]byte("in_flight=3, queued=1, draining=true")), ShouldResemble, route.LoadReport{InFlight: 3, Queued: 1, Draining: true})
		So(*parseLoad([]byte("in_flight=3, later_field=7")), ShouldResemble, route.LoadReport{InFlight: 3})
		for _, bad := range []string{"", "in_flight=-1", "in_flight=many", "queued=", "draining=perhaps", "in_flight=99999999999999999999"} {
			So(parseLoad([]byte(bad)), ShouldBeNil)
		}
	})
}

func FuzzParseLoad(f *testing.F) {
	for _, seed := range []string{"in_flight=3, queued=1, draining=false", "in_flight=", "=,=,", "\x00=1", "draining=TRUE"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		report := parseLoad(b)
		if report != nil && (report.InFlight < 0 || report.Queued < 0) {
			t.Fatalf("negative report %+v from %q", report, b)
		}
	})
}
