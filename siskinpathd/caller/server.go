// Package caller implements the HTTP API for callers, which returns the addresses
// of the hosts to use and accepts requests to services.
package caller

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"siskinpath/core/clock"
	"siskinpath/siskinpathd/call"
	"siskinpath/siskinpathd/filter"
)

// callPrefix is the path prefix of all requests to services.
const callPrefix = "/v1/call/"

// Timeouts of connections from callers.
const (
	readTimeout  = 30 * clock.Second
	writeTimeout = 30 * clock.Second
	idleTimeout  = 2 * clock.Minute
)

var malformedRequests = metrics.NewCounter("requests_malformed_total")

// Server is the HTTP server for callers. Its fields are set before Run is called.
type Server struct {
	Listen         string
	HostID         string
	Clock          clock.Clock
	Chain          filter.Next
	Addresses      func(service, availabilityZone string) (Addresses, error)
	MaxBodyBytes   int
	MaxHeaderBytes int
	MaxConnections int

	http              *fasthttp.Server
	keepAliveDisabled atomic.Bool
}

// Run serves requests on ln, the listener returned by Bind, until ctx is done. It
// then waits until the requests in flight are answered.
func (s *Server) Run(ctx context.Context, ln net.Listener) (err error) {
	defer func() { err = errors.WithMessagef(err, "callers' listener %s", s.Listen) }()
	s.http = &fasthttp.Server{
		Handler:                      s.handler(),
		ErrorHandler:                 s.refuseMalformed,
		Name:                         "siskinpath",
		ReadTimeout:                  readTimeout.Duration(),
		WriteTimeout:                 writeTimeout.Duration(),
		IdleTimeout:                  idleTimeout.Duration(),
		MaxRequestBodySize:           s.MaxBodyBytes,
		ReadBufferSize:               s.MaxHeaderBytes,
		Concurrency:                  s.MaxConnections,
		DisablePreParseMultipartForm: true,
		NoDefaultContentType:         true,
		CloseOnShutdown:              true,
	}
	served := make(chan error, 1)
	go func() { served <- s.http.Serve(ln) }()
	select {
	case err = <-served:
		return err
	case <-ctx.Done():
		return s.http.Shutdown()
	}
}

// Bind opens the listener. It is separate from Run so that a port in use is detected
// before any other part starts.
func (s *Server) Bind() (ln net.Listener, err error) {
	ln, err = net.Listen("tcp", s.Listen)
	return ln, errors.WithMessagef(err, "listen.caller %s: choose a free address", s.Listen)
}

// DisableKeepAlive makes every connection close after its next answer, so that no
// request in flight is cut off.
func (s *Server) DisableKeepAlive() { s.keepAliveDisabled.Store(true) }

func (s *Server) handler() fasthttp.RequestHandler {
	r := router.New()
	r.HandleMethodNotAllowed = false
	r.RedirectTrailingSlash = false
	r.RedirectFixedPath = false
	r.GET("/v1/addresses/{service}", s.handleAddresses)
	r.ANY(callPrefix+"{service}", s.handleCall)
	r.ANY(callPrefix+"{service}/{path:*}", s.handleCall)
	return func(ctx *fasthttp.RequestCtx) {
		r.Handler(ctx)
		if s.keepAliveDisabled.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// handleCall handles a request to a service.
func (s *Server) handleCall(ctx *fasthttp.RequestCtx) {
	c, err := decode(ctx, s.Clock.Now())
	if err != nil {
		malformedRequests.Inc()
		a := call.BadRequest(err.Error())
		writeAnswer(ctx, s.HostID, &a)
		return
	}
	gone, stop := watchDisconnect(ctx.Conn())
	c.CallerGone = gone
	a := s.Chain(c).ForCaller(c)
	stop()
	writeAnswer(ctx, s.HostID, &a)
}

// refuseMalformed answers a request that the HTTP library could not parse.
func (s *Server) refuseMalformed(ctx *fasthttp.RequestCtx, err error) {
	malformedRequests.Inc()
	a := call.BadRequest(malformedReason(err))
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		a.Status = fasthttp.StatusRequestEntityTooLarge
	}
	writeAnswer(ctx, s.HostID, &a)
	ctx.SetConnectionClose()
}

func malformedReason(err error) string {
	var small *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return "body_too_large"
	case errors.As(err, &small):
		return "header_too_large"
	case errors.As(err, &netErr) && netErr.Timeout():
		return "read_timeout"
	default:
		return "malformed_request"
	}
}

// Drain waits until no request is in flight or limit has passed.
func (s *Server) Drain(limit clock.Millis, inFlight func() int64) {
	end := time.Now().Add(limit.Duration())
	for inFlight() > 0 && time.Now().Before(end) {
		time.Sleep(drainPollInterval.Duration())
	}
}

const drainPollInterval = 10 * clock.Millisecond
