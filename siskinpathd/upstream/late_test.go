package upstream

import (
	"context"
	"fmt"
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/route"
)

// echoDialect is a dialect whose upstreams echo the callers' request IDs, but not on
// refusals and replies to probes.
var echoDialect = &Dialect{
	RequestID: "Id", Deadline: "Deadline", NotExecuted: "Not-Executed", Load: "Load", ParseLoad: parseLoad,
	PreserveRequestID: true, SkipLateReplies: true,
}

func reply(c net.Conn, status int, header string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d X\r\n%sContent-Length: 0\r\n\r\n", status, header)
	return err == nil
}

// attemptWithID returns an attempt whose request carries its ID, as callers send it.
func attemptWithID(p *Pool, id string) *Attempt {
	a := attemptFor(p, id)
	a.Call.Header = [][2]string{{"Id", id}}
	return a
}

// TestLateCopies plays upstreams that send a second copy of a reply when the next
// request arrives on the connection.
func TestLateCopies(t *testing.T) {
	probe := func(p *Pool) route.ProbeResult {
		result, _ := p.Probe(context.Background(), "/health", "")
		return result
	}
	isProbe := func(req *fasthttp.Request) bool { return string(req.RequestURI()) == "/health" }
	Convey("a late copy that meets a probe is not taken for its reply, nor the reply to the probe for that of the next request", t, func() {
		last := ""
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			if isProbe(req) {
				return (last == "" || reply(c, 200, "Id: "+last+"\r\nLoad: in_flight=9\r\n")) && reply(c, 503, "Load: in_flight=1\r\n")
			}
			last = string(req.Header.Peek("Id"))
			return reply(c, 200, "Id: "+last+"\r\n")
		})
		p := f.pool()
		p.Dialect = echoDialect
		shouldEndWith(p, attemptWithID(p, "r1"), route.Succeeded)
		result := probe(p)
		So(result.Load == nil || result.Load.InFlight == 1, ShouldBeTrue)
		shouldEndWith(p, attemptWithID(p, "r2"), route.Succeeded)
	})
	Convey("a late copy of a refusal without an ID is not taken for the reply to the next request", t, func() {
		refused := map[net.Conn]bool{}
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			if refused[c] {
				return reply(c, 503, "Not-Executed: 1\r\n") && reply(c, 200, "Id: "+string(req.Header.Peek("Id"))+"\r\n")
			}
			if string(req.Header.Peek("Id")) == "r1" {
				refused[c] = true
				return reply(c, 503, "Not-Executed: 1\r\n")
			}
			return reply(c, 200, "Id: "+string(req.Header.Peek("Id"))+"\r\n")
		})
		p := f.pool()
		p.Dialect = echoDialect
		shouldEndWith(p, attemptWithID(p, "r1"), route.Refused)
		shouldEndWith(p, attemptWithID(p, "r2"), route.Succeeded)
	})
	Convey("a late copy of a failed reply to a probe is not taken for the reply to a request", t, func() {
		probed := map[net.Conn]bool{}
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			if isProbe(req) {
				probed[c] = true
				return reply(c, 503, "")
			}
			return (!probed[c] || reply(c, 503, "")) && reply(c, 200, "Id: "+string(req.Header.Peek("Id"))+"\r\n")
		})
		p := f.pool()
		p.Dialect = echoDialect
		So(probe(p).OK, ShouldBeFalse)
		shouldEndWith(p, attemptWithID(p, "r1"), route.Succeeded)
	})
}

func TestPausedBeforeSend(t *testing.T) {
	Convey("an attempt that may not be sent any more says nothing about its upstream", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool { return respond(c, requestID(req), "", "ok") })
		p := f.pool()
		a := attemptFor(p, "r1")
		a.MaySend = func() bool { return false }
		_, result, _ := p.Do(context.Background(), a)
		So(result, ShouldResemble, route.Result{Status: route.NotSent, BlockedLocally: true})
		So(f.requests.Load(), ShouldEqual, 0)
	})
}
