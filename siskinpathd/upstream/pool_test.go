package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
)

// fakeUpstream calls serve for each request on a connection. If serve returns false,
// the connection is closed.
type fakeUpstream struct {
	ln       net.Listener
	requests atomic.Int64
	serve    func(c net.Conn, req *fasthttp.Request) bool
}

func startUpstream(serve func(c net.Conn, req *fasthttp.Request) bool) *fakeUpstream {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	f := &fakeUpstream{ln: ln, serve: serve}
	go f.accept()
	Reset(func() { ln.Close() })
	return f
}

func (f *fakeUpstream) accept() {
	for {
		c, err := f.ln.Accept()
		if err != nil {
			return
		}
		go f.serveConn(c)
	}
}

func (f *fakeUpstream) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		var req fasthttp.Request
		if err := req.Read(r); err != nil {
			return
		}
		f.requests.Add(1)
		if !f.serve(c, &req) {
			return
		}
	}
}

func (f *fakeUpstream) pool() *Pool {
	return &Pool{Address: f.ln.Addr().String(), DialTimeout: clock.Second, Clock: clock.NewSystem()}
}

// respond writes a reply with the given request ID, extra header lines and body.
func respond(c net.Conn, id, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSiskin-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, header, len(body), body)
	return err == nil
}

func requestID(req *fasthttp.Request) string { return string(req.Header.Peek(Siskin.RequestID)) }

func attemptFor(p *Pool, id string) *Attempt {
	return &Attempt{
		Call:         &call.Call{Method: "GET", URI: "/slots", Organisation: "ring-7", Deadline: p.Clock.Now() + clock.Minute},
		RequestID:    id,
		Clock:        p.Clock,
		MaxBodyBytes: 1 << 20,
		MaySend:      func() bool { return true },
	}
}

func do(p *Pool, a *Attempt) (*Reply, route.Status) {
	reply, result, _ := p.Do(context.Background(), a)
	return reply, result.Status
}

func shouldEndWith(p *Pool, a *Attempt, want route.Status) {
	reply, got := do(p, a)
	So(got, ShouldEqual, want)
	if want != route.Succeeded && want != route.Errored && want != route.Refused {
		So(reply, ShouldBeNil)
	}
}

func TestAttemptEnds(t *testing.T) {
	Convey("a complete reply is returned and the connection is reused", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			return respond(c, requestID(req), "Siskin-Load: in_flight=2, queued=1, draining=true\r\n", "free")
		})
		p := f.pool()
		reply, result, err := p.Do(context.Background(), attemptFor(p, "a1"))
		So(err, ShouldBeNil)
		So(string(reply.Body), ShouldEqual, "free")
		So(result.Status, ShouldEqual, route.Succeeded)
		So(*result.Load, ShouldResemble, route.LoadReport{InFlight: 2, Queued: 1, Draining: true})
		shouldEndWith(p, attemptFor(p, "a2"), route.Succeeded)
		So(p.OpenConnections(), ShouldEqual, 1)
	})
	Convey("a reply with another request's ID is never returned", t, func() {
		f := startUpstream(func(c net.Conn, _ *fasthttp.Request) bool { return respond(c, "late-1", "", "other's statement") })
		p := f.pool()
		shouldEndWith(p, attemptFor(p, "a1"), route.ConnectionLost)
		So(p.OpenConnections(), ShouldEqual, 0)
	})
	Convey("a reply with a truncated body is never returned", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSiskin-Request-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", requestID(req))
			return false
		})
		p := f.pool()
		shouldEndWith(p, attemptFor(p, "a1"), route.ConnectionLost)
	})
	Convey("a body that ends when the connection closes is not accepted as complete", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSiskin-Request-Id: %s\r\n\r\nperhaps", requestID(req))
			return false
		})
		p := f.pool()
		shouldEndWith(p, attemptFor(p, "a1"), route.ConnectionLost)
	})
	Convey("status 503 is a refusal only if the upstream states that the request did not run", t, func() {
		header := "Siskin-Refused: draining\r\n"
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nSiskin-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", requestID(req), header)
			return true
		})
		p := f.pool()
		shouldEndWith(p, attemptFor(p, "a1"), route.Refused)
		header = ""
		shouldEndWith(p, attemptFor(p, "a2"), route.Errored)
	})
	Convey("nothing is sent to an upstream that refuses connections", t, func() {
		f := startUpstream(nil)
		p := f.pool()
		f.ln.Close()
		shouldEndWith(p, attemptFor(p, "a1"), route.NotSent)
		So(p.OpenConnections(), ShouldEqual, 0)
	})
	Convey("an attempt that MaySend forbids writes nothing and keeps its connection", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool { return respond(c, requestID(req), "", "") })
		p := f.pool()
		a := attemptFor(p, "a1")
		a.MaySend = func() bool { return false }
		shouldEndWith(p, a, route.NotSent)
		shouldEndWith(p, attemptFor(p, "a2"), route.Succeeded)
		So(f.requests.Load(), ShouldEqual, 1)
		So(p.OpenConnections(), ShouldEqual, 1)
	})
}

func TestConnections(t *testing.T) {
	Convey("an idle connection that the upstream closed is detected before the first byte is written", t, func() {
		var first atomic.Bool
		first.Store(true)
		closed := make(chan struct{})
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			ok := respond(c, requestID(req), "", "x")
			if first.Swap(false) {
				c.Close()
				close(closed)
				return false
			}
			return ok
		})
		p := f.pool()
		shouldEndWith(p, attemptFor(p, "a1"), route.Succeeded)
		<-closed
		waitUntilUnusable(p)
		shouldEndWith(p, attemptFor(p, "a2"), route.Succeeded)
		So(f.requests.Load(), ShouldEqual, 2)
	})
	Convey("excess bytes after a reply are not read as the reply to the next request", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			return respond(c, requestID(req), "", "x") && respond(c, requestID(req), "", "doubled")
		})
		p := f.pool()
		shouldEndWith(p, attemptFor(p, "a1"), route.Succeeded)
		waitUntilUnusable(p)
		reply, status := do(p, attemptFor(p, "a2"))
		So(status, ShouldEqual, route.Succeeded)
		So(string(reply.Body), ShouldEqual, "x")
	})
	Convey("a connection stays usable after the deadline of the previous request", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool { return respond(c, requestID(req), "", "x") })
		p := f.pool()
		shouldEndWith(p, attemptFor(p, "a1"), route.Succeeded)
		c := p.idle[0]
		So(c.SetDeadline(time.Unix(1, 0)), ShouldBeNil)
		So(c.isUsable(), ShouldBeTrue)
	})
	Convey("cancelling a request closes its connection, which the upstream detects", t, func() {
		detected := make(chan struct{})
		started := make(chan struct{})
		f := startUpstream(func(c net.Conn, _ *fasthttp.Request) bool {
			close(started)
			var b [1]byte
			c.Read(b[:])
			close(detected)
			return false
		})
		p := f.pool()
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-started; cancel() }()
		_, result, _ := p.Do(ctx, attemptFor(p, "a1"))
		So(result.Status, ShouldEqual, route.Cancelled)
		<-detected
		So(p.OpenConnections(), ShouldEqual, 0)
	})
	Convey("an attempt above the connection limit is not sent", t, func() {
		release := make(chan struct{})
		started := make(chan struct{})
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			close(started)
			<-release
			return respond(c, requestID(req), "", "")
		})
		p := f.pool()
		p.MaxConnections = 1
		ended := make(chan route.Status)
		go func() { _, status := do(p, attemptFor(p, "a1")); ended <- status }()
		<-started
		shouldEndWith(p, attemptFor(p, "a2"), route.NotSent)
		close(release)
		So(<-ended, ShouldEqual, route.Succeeded)
	})
	Convey("an attempt that times out after it was sent may have run", t, func() {
		f := startUpstream(func(c net.Conn, _ *fasthttp.Request) bool {
			var b [1]byte
			c.Read(b[:])
			return false
		})
		p := f.pool()
		a := attemptFor(p, "a1")
		a.Call.Deadline = p.Clock.Now() + 30*clock.Millisecond
		shouldEndWith(p, a, route.ConnectionLost)
	})
}

// waitUntilUnusable waits until a close by the upstream, or data from it, has arrived
// on every idle connection of the pool.
func waitUntilUnusable(p *Pool) {
	p.mu.Lock()
	idle := append([]*conn(nil), p.idle...)
	p.mu.Unlock()
	for _, c := range idle {
		for c.isUsable() {
			time.Sleep(time.Millisecond)
		}
	}
}

func TestIdleTimeout(t *testing.T) {
	for _, c := range []struct {
		name, header string
		idle         clock.Millis
		reused       bool
	}{
		{"one that announces no time-out is kept for that of the pool", "", 4 * clock.Second, true},
		{"and not longer", "", 6 * clock.Second, false},
		{"one that announces a longer time-out is kept for longer", "Keep-Alive: timeout=10\r\n", 8 * clock.Second, true},
		{"but is given up before the upstream closes it", "Keep-Alive: timeout=10\r\n", 9500 * clock.Millisecond, false},
		{"one that announces a shorter time-out is given up sooner", "Keep-Alive: timeout=3\r\n", 2500 * clock.Millisecond, false},
	} {
		Convey("an idle connection: "+c.name, t, func() {
			f := startUpstream(func(nc net.Conn, req *fasthttp.Request) bool { return respond(nc, requestID(req), c.header, "ok") })
			p := f.pool()
			now := &clock.Manual{}
			now.Advance(clock.Second)
			p.Clock, p.IdleTimeout = now, 5*clock.Second
			opened := connectionsOpened.Get()
			shouldEndWith(p, attemptFor(p, "r1"), route.Succeeded)
			now.Advance(c.idle)
			shouldEndWith(p, attemptFor(p, "r2"), route.Succeeded)
			So(connectionsOpened.Get()-opened == 1, ShouldEqual, c.reused)
		})
	}
}
