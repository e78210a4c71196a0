package upstream

import (
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/route"
)

// TestHeadCutAtEachByte guards against a reply that ends early and is taken for a whole one.
func TestHeadCutAtEachByte(t *testing.T) {
	dialect := *echoDialect
	dialect.AllowUnframed = true
	for _, whole := range []string{
		"HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 3\r\n\r\nyes",
		"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: r1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 204 No Content\r\nId: r1\r\n\r\n",
	} {
		Convey(fmt.Sprintf("an upstream closes after each byte of %q", whole), t, func() {
			var length atomic.Int64
			f := startUpstream(func(c net.Conn, _ *fasthttp.Request) bool {
				_, _ = c.Write([]byte(whole[:length.Load()]))
				return false
			})
			p := f.pool()
			p.Dialect = &dialect
			for n := range len(whole) {
				length.Store(int64(n))
				_, status := do(p, attemptWithID(p, "r1"))
				if status != route.ConnectionLost {
					So(fmt.Sprintf("%q ends with status %d", whole[:n], status), ShouldBeEmpty)
				}
			}
			length.Store(int64(len(whole)))
			shouldEndWith(p, attemptWithID(p, "r1"), route.Succeeded)
		})
	}
}
