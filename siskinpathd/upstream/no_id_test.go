package upstream

import (
	"fmt"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/route"
)

// TestReplyWithoutID guards against a reply that names no request and is taken for more than
// it proves.
func TestReplyWithoutID(t *testing.T) {
	Convey("a reply of status 300 or above without the request's id", t, func() {
		text := ""
		f := startUpstream(func(c net.Conn, _ *fasthttp.Request) bool {
			_, err := c.Write([]byte(text))
			return err == nil
		})
		p := f.pool()
		p.Dialect = echoDialect
		Convey("is a refusal if it says so", func() {
			text = "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
			shouldEndWith(p, attemptWithID(p, "r1"), route.Refused)
		})
		for _, status := range []int{302, 400, 404, 408, 429, 500, 503} {
			Convey(fmt.Sprintf("proves nothing with status %d alone", status), func() {
				text = fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
				shouldEndWith(p, attemptWithID(p, "r1"), route.ConnectionLost)
			})
		}
	})
	Convey("a copy without its id of a refusal that had it is not taken for the reply to a later request", t, func() {
		refused := map[net.Conn]bool{}
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			id := string(req.Header.Peek("Id"))
			if id == "r1" {
				refused[c] = true
				return reply(c, 503, "Not-Executed: 1\r\nId: r1\r\n")
			}
			return (!refused[c] || reply(c, 503, "Not-Executed: 1\r\n")) && reply(c, 200, "Id: "+id+"\r\n")
		})
		p := f.pool()
		p.Dialect = echoDialect
		shouldEndWith(p, attemptWithID(p, "r1"), route.Refused)
		shouldEndWith(p, attemptWithID(p, "r2"), route.Succeeded)
		So(p.OpenConnections(), ShouldEqual, 0)
	})
}
