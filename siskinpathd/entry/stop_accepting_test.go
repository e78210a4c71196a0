package entry

import (
	"bufio"
	"context"
	"fmt"
	"log/slog"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/config"
)

// TestConnectionsResetWhenListenerCloses guards against connections that the kernel has made, and
// that the process has not accepted when it closes its listener.
func TestConnectionsResetWhenListenerCloses(t *testing.T) {
	Convey("a server that has not accepted connections yet, and stops accepting", t, func() {
		s := &Server{
			ListenAddress: "127.0.0.1:0", Log: slog.New(slog.DiscardHandler), Clock: clock.NewSystem(), MaxConnections: 100,
			Limits: func() config.Limits { return defaultLimits }, Bodies: newBodyBudget(64),
			Handle: func(context.Context, *fasthttp.Request, string) *Response {
				return &Response{Status: fasthttp.StatusOK}
			},
		}
		So(s.Bind(), ShouldBeNil)
		var list []net.Conn
		for range 5 {
			nc, err := net.DialTimeout("tcp", s.ln.Addr().String(), time.Second)
			So(err, ShouldBeNil)
			Reset(func() { _ = nc.Close() })
			_, err = fmt.Fprint(nc, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			So(err, ShouldBeNil)
			list = append(list, nc)
		}
		go s.StopAccepting()
		for !s.isClosed() {
			time.Sleep(time.Millisecond)
		}
		s.Run()
		Convey("answers the requests of those that have been made, and takes no other", func() {
			for _, nc := range list {
				_ = nc.SetReadDeadline(time.Now().Add(2 * time.Second))
				resp := &fasthttp.Response{}
				So(resp.Read(bufio.NewReader(nc)), ShouldBeNil)
				So(resp.StatusCode(), ShouldEqual, fasthttp.StatusOK)
			}
			_, err := net.DialTimeout("tcp", s.ln.Addr().String(), time.Second)
			So(err, ShouldNotBeNil)
		})
	})
}
