// Package operator is the HTTP server for operators. It serves metrics, the state of
// the process, the hosts that it knows, its health, and profiles.
package operator

import (
	"context"
	"encoding/json"
	"net"

	"github.com/VictoriaMetrics/metrics"
	"github.com/fasthttp/router"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"siskinpath/core/clock"
)

const (
	maxConnections  = 64
	maxRequestBytes = 16 << 10 // limit of the header and of the body
	readTimeout     = 10 * clock.Second
	writeTimeout    = 90 * clock.Second // must exceed the 30 s that a CPU profile takes
	idleTimeout     = 30 * clock.Second

	jsonContentType    = "application/json"
	metricsContentType = "text/plain; version=0.0.4; charset=utf-8"
)

// Server is the HTTP server for operators. Its fields must be set before Run or
// Serve. The functions must be safe for concurrent use.
type Server struct {
	Listen   string       // IP address and port
	State    func() any   // state of the process, to be encoded as JSON
	Hosts    func() any   // status of every host that this one knows, to be encoded as JSON
	Health   func() error // nil if callers may use this host, otherwise the reason why not
	Counters *metrics.Set // nil means the default set of the process
}

type healthReply struct {
	Healthy bool   `json:"healthy"`
	Reason  string `json:"reason,omitempty"`
}

type errorReply struct {
	Error string `json:"error"`
}

// Run listens on s.Listen and serves until ctx is done.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "operator listener") }()
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	return s.Serve(ctx, l)
}

// Serve serves on l until ctx is done, then closes l.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	if s.Counters == nil {
		s.Counters = metrics.GetDefaultSet()
	}
	server := &fasthttp.Server{
		Handler:            s.handler(),
		Name:               "siskinpathd",
		Concurrency:        maxConnections,
		MaxRequestBodySize: maxRequestBytes,
		ReadBufferSize:     maxRequestBytes,
		ReadTimeout:        readTimeout.Duration(),
		WriteTimeout:       writeTimeout.Duration(),
		IdleTimeout:        idleTimeout.Duration(),
		CloseOnShutdown:    true,
		Logger:             discardLogger{},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return server.Serve(l)
}

func (s *Server) handler() fasthttp.RequestHandler {
	r := router.New()
	r.PanicHandler = s.handlePanic
	r.GET("/metrics", s.handleMetrics)
	r.GET("/v1/state", func(ctx *fasthttp.RequestCtx) { s.writeJSON(ctx, s.State()) })
	r.GET("/v1/hosts", func(ctx *fasthttp.RequestCtx) { s.writeJSON(ctx, s.Hosts()) })
	r.GET("/v1/health", s.handleHealth)
	r.GET("/debug/pprof/{profile:*}", pprofhandler.PprofHandler)
	r.NotFound = s.handleNotFound
	return r.Handler
}

func (s *Server) handleMetrics(ctx *fasthttp.RequestCtx) {
	s.count("metrics")
	ctx.SetContentType(metricsContentType)
	s.Counters.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

func (s *Server) handleHealth(ctx *fasthttp.RequestCtx) {
	if err := s.Health(); err != nil {
		s.writeJSON(ctx, healthReply{Reason: err.Error()})
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.writeJSON(ctx, healthReply{Healthy: true})
}

func (s *Server) handleNotFound(ctx *fasthttp.RequestCtx) {
	s.writeJSON(ctx, errorReply{Error: "not found; available paths are /metrics, /v1/state, /v1/hosts, /v1/health and /debug/pprof/"})
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

// handlePanic keeps a panic in one of the server's functions from terminating the
// process.
func (s *Server) handlePanic(ctx *fasthttp.RequestCtx, _ any) {
	s.count("panic")
	s.writeJSON(ctx, errorReply{Error: "internal error: the request handler panicked; this is a bug in siskinpathd"})
	ctx.SetStatusCode(fasthttp.StatusInternalServerError)
}

func (s *Server) writeJSON(ctx *fasthttp.RequestCtx, v any) {
	s.count("json")
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		ctx.Error(`{"error":"cannot encode the reply as JSON"}`, fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(jsonContentType)
	ctx.SetBody(append(text, '\n'))
}

func (s *Server) count(kind string) {
	s.Counters.GetOrCreateCounter(`operator_requests_total{kind="` + kind + `"}`).Inc()
}

// discardLogger drops the log lines of fasthttp. Requests and panics are counted
// instead.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
