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

// fakeUpstream answers each request on a connection by serve, which returns
// false to close the connection.
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
		go f.connection(c)
	}
}

func (f *fakeUpstream) connection(c net.Conn) {
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

// respond writes a reply with the given id, extra header lines and body.
func respond(c net.Conn, id, header, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSiskin-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", id, header, len(body), body)
	return err == nil
}

func idOf(req *fasthttp.Request) string { return string(req.Header.Peek(Siskin.RequestID)) }

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
	rep, result, _ := p.Do(context.Background(), a)
	return rep, result.Status
}

func shouldEnd(p *Pool, a *Attempt, want route.Status) {
	rep, got := do(p, a)
	So(got, ShouldEqual, want)
	if want != route.Succeeded && want != route.Errored && want != route.Refused {
		So(rep, ShouldBeNil)
	}
}

func TestAttemptEnds(t *testing.T) {
	Convey("a whole reply is handed over and the connection used again", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			return respond(c, idOf(req), "Siskin-Load: in_flight=2, queued=1, draining=true\r\n", "free")
		})
		p := f.pool()
		rep, result, err := p.Do(context.Background(), attemptFor(p, "a1"))
		So(err, ShouldBeNil)
		So(string(rep.Body), ShouldEqual, "free")
		So(result.Status, ShouldEqual, route.Succeeded)
		So(*result.Load, ShouldResemble, route.LoadReport{InFlight: 2, Queued: 1, Draining: true})
		shouldEnd(p, attemptFor(p, "a2"), route.Succeeded)
		So(p.OpenConnections(), ShouldEqual, 1)
	})
	Convey("a reply with another request's id is never handed over", t, func() {
		f := startUpstream(func(c net.Conn, _ *fasthttp.Request) bool { return respond(c, "late-1", "", "other's statement") })
		p := f.pool()
		shouldEnd(p, attemptFor(p, "a1"), route.ConnectionLost)
		So(p.OpenConnections(), ShouldEqual, 0)
	})
	Convey("a body cut short is never handed over as a whole", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSiskin-Request-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", idOf(req))
			return false
		})
		p := f.pool()
		shouldEnd(p, attemptFor(p, "a1"), route.ConnectionLost)
	})
	Convey("a body that only the end of the connection bounds is not taken as whole", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nSiskin-Request-Id: %s\r\n\r\nperhaps", idOf(req))
			return false
		})
		p := f.pool()
		shouldEnd(p, attemptFor(p, "a1"), route.ConnectionLost)
	})
	Convey("a refusal counts only when the upstream says that it did not run", t, func() {
		header := "Siskin-Refused: draining\r\n"
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			fmt.Fprintf(c, "HTTP/1.1 503 Busy\r\nSiskin-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", idOf(req), header)
			return true
		})
		p := f.pool()
		shouldEnd(p, attemptFor(p, "a1"), route.Refused)
		header = ""
		shouldEnd(p, attemptFor(p, "a2"), route.Errored)
	})
	Convey("an upstream that nobody listens on was sent nothing", t, func() {
		f := startUpstream(nil)
		p := f.pool()
		f.ln.Close()
		shouldEnd(p, attemptFor(p, "a1"), route.NotSent)
		So(p.OpenConnections(), ShouldEqual, 0)
	})
	Convey("a barred attempt writes nothing and keeps its connection", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool { return respond(c, idOf(req), "", "") })
		p := f.pool()
		a := attemptFor(p, "a1")
		a.MaySend = func() bool { return false }
		shouldEnd(p, a, route.NotSent)
		shouldEnd(p, attemptFor(p, "a2"), route.Succeeded)
		So(f.requests.Load(), ShouldEqual, 1)
		So(p.OpenConnections(), ShouldEqual, 1)
	})
}

func TestConnections(t *testing.T) {
	Convey("an idle connection that the upstream closed is found before the first byte", t, func() {
		var first atomic.Bool
		first.Store(true)
		closed := make(chan struct{})
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			ok := respond(c, idOf(req), "", "x")
			if first.Swap(false) {
				c.Close()
				close(closed)
				return false
			}
			return ok
		})
		p := f.pool()
		shouldEnd(p, attemptFor(p, "a1"), route.Succeeded)
		<-closed
		waitStale(p)
		shouldEnd(p, attemptFor(p, "a2"), route.Succeeded)
		So(f.requests.Load(), ShouldEqual, 2)
	})
	Convey("a reply that comes with bytes too many does not leave them to the next request", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			return respond(c, idOf(req), "", "x") && respond(c, idOf(req), "", "doubled")
		})
		p := f.pool()
		shouldEnd(p, attemptFor(p, "a1"), route.Succeeded)
		waitStale(p)
		rep, status := do(p, attemptFor(p, "a2"))
		So(status, ShouldEqual, route.Succeeded)
		So(string(rep.Body), ShouldEqual, "x")
	})
	Convey("a connection outlives the deadline of the request it carried", t, func() {
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool { return respond(c, idOf(req), "", "x") })
		p := f.pool()
		shouldEnd(p, attemptFor(p, "a1"), route.Succeeded)
		c := p.idle[0]
		So(c.SetDeadline(time.Unix(1, 0)), ShouldBeNil)
		So(c.alive(), ShouldBeTrue)
	})
	Convey("cancelling closes the connection, which the upstream sees", t, func() {
		seen := make(chan struct{})
		started := make(chan struct{})
		f := startUpstream(func(c net.Conn, _ *fasthttp.Request) bool {
			close(started)
			var b [1]byte
			c.Read(b[:])
			close(seen)
			return false
		})
		p := f.pool()
		ctx, cancel := context.WithCancel(context.Background())
		go func() { <-started; cancel() }()
		_, result, _ := p.Do(ctx, attemptFor(p, "a1"))
		So(result.Status, ShouldEqual, route.Cancelled)
		<-seen
		So(p.OpenConnections(), ShouldEqual, 0)
	})
	Convey("the connection limit is kept", t, func() {
		release := make(chan struct{})
		started := make(chan struct{})
		f := startUpstream(func(c net.Conn, req *fasthttp.Request) bool {
			close(started)
			<-release
			return respond(c, idOf(req), "", "")
		})
		p := f.pool()
		p.MaxConnections = 1
		ended := make(chan route.Status)
		go func() { _, status := do(p, attemptFor(p, "a1")); ended <- status }()
		<-started
		shouldEnd(p, attemptFor(p, "a2"), route.NotSent)
		close(release)
		So(<-ended, ShouldEqual, route.Succeeded)
	})
	Convey("an attempt ends at its deadline and may have run", t, func() {
		f := startUpstream(func(c net.Conn, _ *fasthttp.Request) bool {
			var b [1]byte
			c.Read(b[:])
			return false
		})
		p := f.pool()
		a := attemptFor(p, "a1")
		a.Call.Deadline = p.Clock.Now() + 30*clock.Millisecond
		shouldEnd(p, a, route.ConnectionLost)
	})
}

// waitStale waits until the kernel has told of the close or of the bytes on the
// pool's idle connection.
func waitStale(p *Pool) {
	p.mu.Lock()
	idle := append([]*conn(nil), p.idle...)
	p.mu.Unlock()
	for _, c := range idle {
		for c.alive() {
			time.Sleep(time.Millisecond)
		}
	}
}
