package upstream

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/route"
)

func TestNotice(t *testing.T) {
	d := &Dialect{Leaving: "Leaving", RetryAfter: true}
	reply := func(status int, header, value string) *fasthttp.Response {
		resp := &fasthttp.Response{}
		resp.SetStatusCode(status)
		resp.Header.Set(header, value)
		return resp
	}
	Convey("a reply says that the upstream is leaving, with any status", t, func() {
		So(d.notice(reply(200, "Leaving", "1")), ShouldResemble, route.Notice{Leaving: true})
		So(d.notice(reply(500, "Leaving", "1")), ShouldResemble, route.Notice{Leaving: true})
		So(d.notice(reply(200, "Leaving", "0")), ShouldResemble, route.Notice{})
		So(d.notice(reply(200, "Other", "1")), ShouldResemble, route.Notice{})
	})
	Convey("only a reply with status 503 asks for a pause", t, func() {
		So(d.notice(reply(503, "Retry-After", "1.5")), ShouldResemble, route.Notice{RetryAfter: 1500})
		So(d.notice(reply(429, "Retry-After", "1.5")), ShouldResemble, route.Notice{})
		So(Siskin.notice(reply(503, "Retry-After", "1.5")), ShouldResemble, route.Notice{})
	})
	Convey("Retry-After holds seconds or a date", t, func() {
		now := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
		for value, want := range map[string]clock.Millis{
			"2": 2000, "0.0004": 1, "0": 0, "-3": 0, "": 0, "soon": 0, "NaN": 0, "+Inf": maxRetryAfter, "1e300": maxRetryAfter,
			"Fri, 02 Jan 2026 03:04:15 GMT": 10000, "Fri, 02 Jan 2026 03:04:00 GMT": 0,
		} {
			So(parseRetryAfter(value, now), ShouldEqual, want)
		}
	})
}
