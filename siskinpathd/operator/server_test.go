package operator

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/smartystreets/goconvey/convey"
)

// runningServer is a Server that serves on a loopback port.
type runningServer struct {
	*Server
	baseURL string
	stop    context.CancelFunc
	done    chan error // receives the result of Serve
}

func startServer(s *Server) *runningServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	r := &runningServer{Server: s, baseURL: "http://" + l.Addr().String(), stop: cancel, done: make(chan error, 1)}
	go func() { r.done <- s.Serve(ctx, l) }()
	return r
}

func (r *runningServer) shouldRespond(path string, status int, substring string) {
	res, err := http.Get(r.baseURL + path)
	convey.So(err, convey.ShouldBeNil)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	convey.So(err, convey.ShouldBeNil)
	convey.So(res.StatusCode, convey.ShouldEqual, status)
	convey.So(string(body), convey.ShouldContainSubstring, substring)
	if strings.Contains(res.Header.Get("Content-Type"), "json") {
		convey.So(json.Valid(body), convey.ShouldBeTrue)
	}
}

func newServer() *Server {
	s := &Server{
		State:    func() any { return map[string]int{"epoch": 7} },
		Hosts:    func() any { return []string{"gh-1"} },
		Health:   func() error { return nil },
		Counters: metrics.NewSet(),
	}
	s.Counters.NewCounter("some_total").Add(3)
	return s
}

func TestServer(t *testing.T) {
	convey.Convey("a running server", t, func() {
		s := newServer()
		r := startServer(s)
		defer func() {
			r.stop()
			convey.So(<-r.done, convey.ShouldBeNil)
		}()
		convey.Convey("serves metrics, state, hosts, health and profiles", func() {
			r.shouldRespond("/metrics", 200, "some_total 3")
			r.shouldRespond("/v1/state", 200, `"epoch": 7`)
			r.shouldRespond("/v1/hosts", 200, `"gh-1"`)
			r.shouldRespond("/v1/health", 200, `"healthy": true`)
			r.shouldRespond("/debug/pprof/goroutine?debug=1", 200, "goroutine profile")
		})
		convey.Convey("reports why it is not healthy", func() {
			s.Health = func() error { return errors.New("no table") }
			r.shouldRespond("/v1/health", 503, `"reason": "no table"`)
		})
		convey.Convey("lists the available paths for an unknown path", func() {
			r.shouldRespond("/nowhere", 404, "/v1/state")
		})
		convey.Convey("survives a function that panics and a value that JSON cannot encode", func() {
			s.State = func() any { panic("test panic") }
			s.Hosts = func() any { return make(chan int) }
			r.shouldRespond("/v1/state", 500, "the request handler panicked")
			r.shouldRespond("/v1/hosts", 500, "cannot encode the reply")
			r.shouldRespond("/v1/health", 200, `"healthy": true`)
			convey.So(s.Counters.GetOrCreateCounter(`operator_requests_total{kind="panic"}`).Get(), convey.ShouldEqual, 1)
		})
		convey.Convey("rejects a header or body over the size limit and continues to serve", func() {
			req, _ := http.NewRequest(http.MethodGet, r.baseURL+"/v1/health", nil)
			req.Header.Set("X-Long", strings.Repeat("x", 2*maxRequestBytes))
			res, err := http.DefaultClient.Do(req)
			convey.So(err, convey.ShouldBeNil)
			_ = res.Body.Close()
			convey.So(res.StatusCode, convey.ShouldEqual, 431)
			res, err = http.Post(r.baseURL+"/v1/state", "text/plain", strings.NewReader(strings.Repeat("x", 2*maxRequestBytes)))
			if err == nil { // the server may also close the connection before the body is sent
				_ = res.Body.Close()
				convey.So(res.StatusCode, convey.ShouldBeGreaterThanOrEqualTo, 400)
			}
			r.shouldRespond("/v1/health", 200, `"healthy": true`)
		})
	})
	convey.Convey("the error for a port in use names the operator listener", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = l.Close() }()
		s := newServer()
		s.Listen = l.Addr().String()
		err = s.Run(context.Background())
		convey.So(err.Error(), convey.ShouldContainSubstring, "operator listener")
	})
}
