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

// running is a Server on a loopback port.
type running struct {
	*Server
	base  string
	stop  context.CancelFunc
	ended chan error
}

func run(s *Server) *running {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	convey.So(err, convey.ShouldBeNil)
	ctx, cancel := context.WithCancel(context.Background())
	r := &running{Server: s, base: "http://" + l.Addr().String(), stop: cancel, ended: make(chan error, 1)}
	go func() { r.ended <- s.Serve(ctx, l) }()
	return r
}

func (r *running) shouldGive(path string, status int, part string) {
	res, err := http.Get(r.base + path)
	convey.So(err, convey.ShouldBeNil)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	convey.So(err, convey.ShouldBeNil)
	convey.So(res.StatusCode, convey.ShouldEqual, status)
	convey.So(string(body), convey.ShouldContainSubstring, part)
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
		r := run(s)
		defer func() {
			r.stop()
			convey.So(<-r.ended, convey.ShouldBeNil)
		}()
		convey.Convey("gives metrics, the dump, the hosts, its health and profiles", func() {
			r.shouldGive("/metrics", 200, "some_total 3")
			r.shouldGive("/v1/state", 200, `"epoch": 7`)
			r.shouldGive("/v1/hosts", 200, `"gh-1"`)
			r.shouldGive("/v1/health", 200, `"healthy": true`)
			r.shouldGive("/debug/pprof/goroutine?debug=1", 200, "goroutine profile")
		})
		convey.Convey("says why it is not healthy", func() {
			s.Health = func() error { return errors.New("no table") }
			r.shouldGive("/v1/health", 503, `"reason": "no table"`)
		})
		convey.Convey("answers an unknown page with those that there are", func() {
			r.shouldGive("/nowhere", 404, "/v1/state")
		})
		convey.Convey("survives a dump that fails or can't be written", func() {
			s.State = func() any { panic("fault") }
			s.Hosts = func() any { return make(chan int) }
			r.shouldGive("/v1/state", 500, "the dump failed")
			r.shouldGive("/v1/hosts", 500, "can't be written")
			r.shouldGive("/v1/health", 200, `"healthy": true`)
			convey.So(s.Counters.GetOrCreateCounter(`operator_requests_total{kind="panic"}`).Get(), convey.ShouldEqual, 1)
		})
		convey.Convey("refuses a header or body over its bounds and goes on", func() {
			req, _ := http.NewRequest(http.MethodGet, r.base+"/v1/health", nil)
			req.Header.Set("X-Long", strings.Repeat("x", 2*maxRequestBytes))
			res, err := http.DefaultClient.Do(req)
			convey.So(err, convey.ShouldBeNil)
			_ = res.Body.Close()
			convey.So(res.StatusCode, convey.ShouldEqual, 431)
			res, err = http.Post(r.base+"/v1/state", "text/plain", strings.NewReader(strings.Repeat("x", 2*maxRequestBytes)))
			if err == nil { // the server may also close before all is sent
				_ = res.Body.Close()
				convey.So(res.StatusCode, convey.ShouldBeGreaterThanOrEqualTo, 400)
			}
			r.shouldGive("/v1/health", 200, `"healthy": true`)
		})
	})
	convey.Convey("a port in use is an error that names the listener", t, func() {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		convey.So(err, convey.ShouldBeNil)
		defer func() { _ = l.Close() }()
		s := newServer()
		s.Listen = l.Addr().String()
		err = s.Run(context.Background())
		convey.So(err.Error(), convey.ShouldContainSubstring, "operator listener")
	})
}
