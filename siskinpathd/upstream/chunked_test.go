package upstream

import (
	"fmt"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/route"
)

// TestChunkedReplyWithoutEnd guards against a chunked reply that looks complete although
// it was cut before its end.
func TestChunkedReplyWithoutEnd(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n" + "%s\r\n" + "4\r\ndata\r\n0\r\n"
	for _, c := range []struct {
		name, end string
		want      route.Status
	}{
		{"complete", "\r\n", route.Succeeded},
		{"complete, with a trailer", "More: x\r\n\r\n", route.Succeeded},
		{"cut after the last chunk", "", route.ConnectionLost},
		{"cut in a trailer", "More: x\r\n", route.ConnectionLost},
	} {
		Convey("a chunked reply that is "+c.name, t, func() {
			connections := map[net.Conn]bool{}
			f := startUpstream(func(nc net.Conn, req *fasthttp.Request) bool {
				connections[nc] = true
				_, err := fmt.Fprintf(nc, begin+"%s", Siskin.RequestID+": "+requestID(req)+"\r\n", c.end)
				return err == nil && c.want == route.Succeeded
			})
			p := f.pool()
			reply, status := do(p, attemptFor(p, "r1"))
			So(status, ShouldEqual, c.want)
			if c.want == route.Succeeded {
				So(string(reply.Body), ShouldEqual, "data")
				shouldEndWith(p, attemptFor(p, "r2"), route.Succeeded)
				So(connections, ShouldHaveLength, 1)
			}
		})
	}
}
