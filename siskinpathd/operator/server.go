// Package operator serves operators: metrics, the dump of the process's state,
// what it knows of the hosts, its health, and profiles.
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

// Bounds of the listener.
const (
	maxConnections  = 64
	maxRequestBytes = 16 << 10
	readTimeout     = 10 * clock.Second
	writeTimeout    = 90 * clock.Second // a processor profile takes 30 s
	idleTimeout     = 30 * clock.Second
	jsonType        = "application/json"
	textType        = "text/plain; version=0.0.4; charset=utf-8"
)

// Server answers operators. Set the fields before Run. The functions are called
// from many goroutines.
type Server struct {
	Listen   string       // IP number and port
	State    func() any   // the dump; becomes JSON
	Hosts    func() any   // every host as this one knows it; becomes JSON
	Health   func() error // nil when offered to callers, otherwise why not
	Counters *metrics.Set // nil means the process's default set
}

type healthReply struct {
	Healthy bool   `json:"healthy"`
	Reason  string `json:"reason,omitempty"`
}

type faultReply struct {
	Error string `json:"error"`
}

// Run listens and serves until ctx is done, then closes.
func (s *Server) Run(ctx context.Context) (err error) {
	defer func() { err = errors.WithMessage(err, "operator listener") }()
	l, err := net.Listen("tcp", s.Listen)
	if err != nil {
		return err
	}
	return s.Serve(ctx, l)
}

// Serve serves on l until ctx is done, then closes it.
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
		Logger:             quiet{},
	}
	stop := context.AfterFunc(ctx, func() { _ = server.Shutdown() })
	defer stop()
	return server.Serve(l)
}

func (s *Server) handler() fasthttp.RequestHandler {
	r := router.New()
	r.PanicHandler = s.panicked
	r.GET("/metrics", s.metrics)
	r.GET("/v1/state", func(ctx *fasthttp.RequestCtx) { s.json(ctx, s.State()) })
	r.GET("/v1/hosts", func(ctx *fasthttp.RequestCtx) { s.json(ctx, s.Hosts()) })
	r.GET("/v1/health", s.health)
	r.GET("/debug/pprof/{profile:*}", pprofhandler.PprofHandler)
	r.NotFound = s.notFound
	return r.Handler
}

func (s *Server) metrics(ctx *fasthttp.RequestCtx) {
	s.count("metrics")
	ctx.SetContentType(textType)
	s.Counters.WritePrometheus(ctx)
	metrics.WriteProcessMetrics(ctx)
}

func (s *Server) health(ctx *fasthttp.RequestCtx) {
	if err := s.Health(); err != nil {
		s.json(ctx, healthReply{Reason: err.Error()})
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	s.json(ctx, healthReply{Healthy: true})
}

func (s *Server) notFound(ctx *fasthttp.RequestCtx) {
	s.json(ctx, faultReply{Error: "no such page; there are /metrics, /v1/state, /v1/hosts, /v1/health and /debug/pprof/"})
	ctx.SetStatusCode(fasthttp.StatusNotFound)
}

// panicked keeps a fault in a dump from ending the process.
func (s *Server) panicked(ctx *fasthttp.RequestCtx, _ any) {
	s.count("panic")
	s.json(ctx, faultReply{Error: "the dump failed; this is a fault of siskinpathd"})
	ctx.SetStatusCode(fasthttp.StatusInternalServerError)
}

func (s *Server) json(ctx *fasthttp.RequestCtx, v any) {
	s.count("json")
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		ctx.Error(`{"error":"the dump can't be written as JSON"}`, fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(jsonType)
	ctx.SetBody(append(text, '\n'))
}

func (s *Server) count(kind string) {
	s.Counters.GetOrCreateCounter(`operator_requests_total{kind="` + kind + `"}`).Inc()
}

// quiet drops the server library's lines; the counters tell.
type quiet struct{}

// Printf drops a line.
func (quiet) Printf(string, ...any) {}
