package caller

import (
	"bufio"
	"context"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/core/idempotency"
	"siskinpath/core/route"
	"siskinpath/siskinpathd/call"
)

// start runs s on a free local port until the end of the test and returns its
// address.
func start(s *Server) string {
	s.Listen = "127.0.0.1:0"
	s.HostID = "gh-1"
	s.Clock = clock.NewSystem()
	s.MaxBodyBytes = 1024
	s.MaxHeaderBytes = 2048
	ln, err := s.Bind()
	So(err, ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- s.Run(ctx, ln) }()
	Reset(func() {
		cancel()
		<-ended
	})
	return ln.Addr().String()
}

// exchange sends raw bytes on a new connection and returns the response.
func exchange(address, raw string) *fasthttp.Response {
	c, err := net.Dial("tcp", address)
	So(err, ShouldBeNil)
	defer c.Close()
	_, err = c.Write([]byte(raw))
	So(err, ShouldBeNil)
	var resp fasthttp.Response
	So(resp.Read(bufio.NewReader(c)), ShouldBeNil)
	return &resp
}

func request(line string, headers ...string) string {
	return line + " HTTP/1.1\r\nHost: x\r\n" + strings.Join(headers, "\r\n") + "\r\n\r\n"
}

func shouldRefuse(address, raw string, status int, reason string) {
	resp := exchange(address, raw)
	So(resp.StatusCode(), ShouldEqual, status)
	So(string(resp.Header.Peek(headerOutcome)), ShouldEqual, "not_run")
	So(string(resp.Header.Peek(headerReason)), ShouldEqual, reason)
}

func TestMalformed(t *testing.T) {
	reached := 0
	Convey("a malformed request is refused with a reason and does not reach the filters", t, func() {
		address := start(&Server{Chain: func(*call.Call) call.Answer { reached++; return call.Unknown("reached") }})
		deadline, org := "Siskin-Deadline-Ms: 500", "Siskin-Organisation: ring-7"
		get := "GET /v1/call/booking/slots"
		for _, c := range []struct {
			raw    string
			status int
			reason string
		}{
			{request(get, org), 400, "missing_deadline"},
			{request(get, org, "Siskin-Deadline-Ms: soon"), 400, "invalid_deadline"},
			{request(get, org, "Siskin-Deadline-Ms: 0"), 400, "invalid_deadline"},
			{request(get, org, "Siskin-Deadline-Ms: 99999999999999999999"), 400, "invalid_deadline"},
			{request(get, deadline), 400, "invalid_organisation"},
			{request(get, deadline, "Siskin-Organisation: a b"), 400, "invalid_organisation"},
			{request(get, deadline, "Siskin-Organisation: "+strings.Repeat("o", 65)), 400, "invalid_organisation"},
			{request("POST /v1/call/booking/slots", deadline, org, "Content-Length: 0"), 400, "missing_idempotency_key"},
			{request(get, deadline, org, "Idempotency-Key: "+strings.Repeat("k", 201)), 400, "invalid_idempotency_key"},
			{request(get, deadline, org, "Idempotency-Key: a", "Idempotency-Key: b"), 400, "invalid_idempotency_key"},
			{request(get, deadline, org, "Siskin-Depth: 29"), 400, "invalid_depth"},
			{request(get, deadline, org, "Siskin-Idempotent: perhaps"), 400, "invalid_idempotent"},
			{request(get, deadline, org, "X-Large: "+strings.Repeat("x", 4000)), 400, "header_too_large"},
			{request("POST /v1/call/booking/slots", deadline, org, "Content-Length: 5000") + strings.Repeat("b", 5000), 413, "body_too_large"},
			{"\x00\x01garbage\r\n\r\n", 400, "malformed_request"},
		} {
			Convey(c.reason+" "+c.raw[:12]+c.raw[len(c.raw)/2:len(c.raw)/2+6], func() {
				shouldRefuse(address, c.raw, c.status, c.reason)
			})
		}
		So(reached, ShouldEqual, 0)
	})
}

func TestAnswers(t *testing.T) {
	Convey("a request reaches the chain decoded, and its answer is sent complete", t, func() {
		var got *call.Call
		address := start(&Server{Chain: func(c *call.Call) call.Answer {
			got = c
			return call.Answer{Reply: idempotency.Reply{Outcome: idempotency.Answered, Status: 201, Header: [][2]string{{"X-Slot", "4"}}, Body: []byte("reserved")}}
		}})
		resp := exchange(address, request("POST /v1/call/booking/slots/4?day=2", "Siskin-Deadline-Ms: 500", "Siskin-Organisation: ring-7",
			"Idempotency-Key: k1", "X-Own: y", "Content-Length: 3")+"abc")
		So(resp.StatusCode(), ShouldEqual, 201)
		So(string(resp.Body()), ShouldEqual, "reserved")
		So(string(resp.Header.Peek("X-Slot")), ShouldEqual, "4")
		So(string(resp.Header.Peek(headerOutcome)), ShouldEqual, "answered")
		So(got.Service, ShouldEqual, "booking")
		So(got.URI, ShouldEqual, "/slots/4?day=2")
		So(got.Key, ShouldEqual, "k1")
		So(got.Idempotent, ShouldBeFalse)
		So(string(got.Body), ShouldEqual, "abc")
		So(got.Header, ShouldContain, [2]string{"X-Own", "y"})
	})
	Convey("a refusal carries its retry delay in milliseconds, and in seconds rounded up", t, func() {
		address := start(&Server{Chain: func(*call.Call) call.Answer {
			return call.NotRun(string(route.ReasonOverloaded), 1200)
		}})
		resp := exchange(address, request("GET /v1/call/booking", "Siskin-Deadline-Ms: 500", "Siskin-Organisation: ring-7"))
		So(resp.StatusCode(), ShouldEqual, 503)
		So(string(resp.Header.Peek(headerRetryAfterMs)), ShouldEqual, "1200")
		So(string(resp.Header.Peek(headerRetryAfter)), ShouldEqual, "2")
	})
	Convey("a caller that disconnects while its request runs is detected", t, func() {
		noticed := make(chan struct{})
		address := start(&Server{Chain: func(c *call.Call) call.Answer {
			<-c.CallerGone
			close(noticed)
			return call.Unknown(call.ReasonCallerGone)
		}})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		_, err = c.Write([]byte(request("GET /v1/call/booking", "Siskin-Deadline-Ms: 500", "Siskin-Organisation: ring-7")))
		So(err, ShouldBeNil)
		c.Close()
		<-noticed
	})
	Convey("the next request on a connection that was watched is read completely", t, func() {
		release := make(chan struct{}, 2)
		address := start(&Server{Chain: func(c *call.Call) call.Answer {
			<-release
			return call.Answer{Reply: idempotency.Reply{Outcome: idempotency.Answered, Status: 200, Body: []byte(c.URI)}}
		}})
		c, err := net.Dial("tcp", address)
		So(err, ShouldBeNil)
		defer c.Close()
		r := bufio.NewReader(c)
		for _, uri := range []string{"/one", "/two"} {
			_, err = c.Write([]byte(request("GET /v1/call/booking"+uri, "Siskin-Deadline-Ms: 500", "Siskin-Organisation: ring-7")))
			So(err, ShouldBeNil)
			time.Sleep((3 * watchDelay).Duration())
			release <- struct{}{}
			var resp fasthttp.Response
			So(resp.Read(r), ShouldBeNil)
			So(string(resp.Body()), ShouldEqual, uri)
		}
	})
}
