package upstream

import (
	"context"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/route"
)

// TestConnectionLimit guards against connections to upstreams that take the descriptors which the
// store and other hosts need.
func TestConnectionLimit(t *testing.T) {
	Convey("two upstreams and a limit of two connections to both", t, func() {
		release, running := make(chan struct{}), make(chan struct{}, 4)
		answer := func(c net.Conn, req *fasthttp.Request) bool {
			if string(req.RequestURI()) == "/slow" {
				running <- struct{}{}
				<-release
			}
			return respond(c, requestID(req), "", "")
		}
		first, second := startUpstream(answer).pool(), startUpstream(answer).pool()
		limit := &ConnectionLimit{Max: 2, MakeRoom: second.CloseIdle}
		first.Connections, second.Connections = limit, limit
		Reset(first.Close)
		Reset(second.Close)
		hold := func(p *Pool, id string) <-chan route.Status {
			ended := make(chan route.Status, 1)
			a := attemptFor(p, id)
			a.Call.URI = "/slow"
			go func() {
				_, status := do(p, a)
				ended <- status
			}()
			<-running
			return ended
		}
		Convey("an idle connection is closed for one that is needed", func() {
			shouldEndWith(second, attemptFor(second, "a"), route.Succeeded)
			one, other := hold(first, "b"), hold(first, "c")
			So(second.OpenConnections(), ShouldEqual, 0)
			close(release)
			So(<-one, ShouldEqual, route.Succeeded)
			So(<-other, ShouldEqual, route.Succeeded)
		})
		Convey("nothing is sent when all are in use, and what is closed can be opened again", func() {
			one, other := hold(first, "b"), hold(second, "c")
			shouldEndWith(first, attemptFor(first, "d"), route.NotSent)
			_, result, _ := first.Do(context.Background(), attemptFor(first, "e"))
			So(result.BlockedLocally, ShouldBeTrue)
			close(release)
			So(<-one, ShouldEqual, route.Succeeded)
			So(<-other, ShouldEqual, route.Succeeded)
			first.Close()
			second.Close()
			So(limit.open.Load(), ShouldEqual, 0)
		})
	})
}
