package upstream

import (
	"bufio"
	"net"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/standin/payload"
)

func startUpstream(b Behaviour) *Upstream {
	u := &Upstream{Name: "w", Address: "127.0.0.1:0", Behaviour: b, RunLog: &RunLog{}, Clock: clock.NewSystem()}
	So(u.Start(), ShouldBeNil)
	return u
}

// client is a connection to an upstream.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dial(u *Upstream) *client {
	c, err := net.Dial("tcp", u.Address)
	So(err, ShouldBeNil)
	return &client{Conn: c, r: bufio.NewReader(c)}
}

func (c *client) send(path, key string) {
	var req fasthttp.Request
	req.SetRequestURI("http://w" + path)
	req.Header.Set("Siskin-Organisation", "org")
	req.Header.Set("Siskin-Request-Id", "r1")
	req.Header.Set("Siskin-Deadline-Ms", "60000")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	w := bufio.NewWriter(c)
	So(req.Write(w), ShouldBeNil)
	So(w.Flush(), ShouldBeNil)
}

func (c *client) receive() *fasthttp.Response {
	var resp fasthttp.Response
	So(resp.Read(c.r), ShouldBeNil)
	return &resp
}

func waitForStats(u *Upstream, done func(Stats) bool) {
	for !done(u.scheduler.Stats()) {
		time.Sleep(time.Millisecond)
	}
}

func TestUpstream(t *testing.T) {
	Convey("An answer carries the request ID, the load, and a body that the caller can verify", t, func() {
		u := startUpstream(Behaviour{Slots: 1, Connections: 1, Fixed: true})
		defer u.Stop()
		c := dial(u)
		defer c.Close()
		c.send("/slots?marker=m&size=900", "k")
		resp := c.receive()
		So(resp.StatusCode(), ShouldEqual, 200)
		So(string(resp.Header.Peek("Siskin-Request-Id")), ShouldEqual, "r1")
		So(string(resp.Header.Peek("Siskin-Load")), ShouldEqual, "in_flight=0, queued=0, draining=false")
		So(payload.Verify(resp.Body(), "org", "k", 900), ShouldEqual, payload.Intact)
		runs := u.RunLog.Runs(0)
		So(runs, ShouldHaveLength, 1)
		So(runs[0].Key, ShouldEqual, "k")
		So(runs[0].Organisation, ShouldEqual, "org")
	})
	Convey("Closing the connection cancels a running and a queued request, and the queued one never runs", t, func() {
		u := startUpstream(Behaviour{Slots: 1, Queue: 1, Connections: 2, Fixed: true})
		defer u.Stop()
		first, second := dial(u), dial(u)
		first.send("/x?work_ms=60000", "a")
		waitForStats(u, func(s Stats) bool { return s.Runs == 1 })
		second.send("/x?work_ms=60000", "b")
		waitForStats(u, func(s Stats) bool { return s.MaxAdmitted == 2 })
		So(second.Close(), ShouldBeNil)
		waitForStats(u, func(s Stats) bool { return s.Cancelled == 1 })
		So(first.Close(), ShouldBeNil)
		waitForStats(u, func(s Stats) bool { return s.Cancelled == 2 })
		So(u.RunLog.Runs(0), ShouldHaveLength, 1)
	})
	Convey("Connections above the limit are closed", t, func() {
		u := startUpstream(Behaviour{Slots: 1, Connections: 1})
		defer u.Stop()
		first := dial(u)
		defer first.Close()
		waitForStats(u, func(s Stats) bool { return s.OpenConnections == 1 })
		second := dial(u)
		defer second.Close()
		_, err := second.r.ReadByte()
		So(err, ShouldNotBeNil)
		So(u.scheduler.Stats().RejectedConnections, ShouldEqual, 1)
	})
	Convey("A closed port refuses connections, closes the open ones, and can be reopened", t, func() {
		u := startUpstream(Behaviour{Slots: 1, Connections: 1})
		defer u.Stop()
		first := dial(u)
		defer first.Close()
		waitForStats(u, func(s Stats) bool { return s.OpenConnections == 1 })
		So(u.change([]byte(`{"closed":true}`)), ShouldBeNil)
		_, err := first.r.ReadByte()
		So(err, ShouldNotBeNil)
		_, err = net.Dial("tcp", u.Address)
		So(err, ShouldNotBeNil)
		So(u.change([]byte(`{"closed":false}`)), ShouldBeNil)
		waitForStats(u, func(s Stats) bool { return s.OpenConnections == 0 })
		again := dial(u)
		defer again.Close()
		again.send("/x?work_ms=1", "")
		So(again.receive().StatusCode(), ShouldEqual, 200)
	})
	Convey("A refusal carries its reason and is not recorded as a run", t, func() {
		u := startUpstream(Behaviour{Slots: 1, Connections: 1, Draining: true})
		defer u.Stop()
		c := dial(u)
		defer c.Close()
		c.send("/x", "")
		resp := c.receive()
		So(resp.StatusCode(), ShouldEqual, 503)
		So(string(resp.Header.Peek("Siskin-Refused")), ShouldEqual, "draining")
		So(u.RunLog.Runs(0), ShouldBeEmpty)
	})
	Convey("A truncated answer is shorter than its Content-Length", t, func() {
		u := startUpstream(Behaviour{Slots: 1, Connections: 1, CutAnswers: 1})
		defer u.Stop()
		c := dial(u)
		defer c.Close()
		c.send("/x?size=600", "")
		var resp fasthttp.Response
		So(resp.Read(c.r), ShouldNotBeNil)
	})
}
